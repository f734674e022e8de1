#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// One target seen to crash while it ran a request with this fingerprint.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::string node;
    time_point expires_at;
    /// Position in this process's order of reports.
    std::uint64_t change = 0;
};

/// Crash reports of the fleet, merged as a set. Not synchronised; its owner holds a lock.
struct quarantine_table {
    std::map<std::uint64_t, std::vector<crash_report>> by_fingerprint;
    std::uint64_t last_change = 0;
};

/// Crashes after which a request is refused everywhere.
inline constexpr std::size_t crashes_to_quarantine = 2;

/// Time a crash report counts.
inline constexpr milliseconds crash_report_ttl{600'000};

/// Reports kept at the most.
inline constexpr std::size_t max_crash_reports = 1024;

/// Takes in a report.
/// @return whether it was new.
bool add_crash_report(quarantine_table& table, std::uint64_t fingerprint, const std::string& node,
                      time_point expires_at);

/// Whether requests with this fingerprint are refused.
[[nodiscard]] bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Reports newer than `cursor`, which is moved past them.
[[nodiscard]] std::vector<crash_report> reports_after(const quarantine_table& table, std::uint64_t& cursor);

/// Drops expired reports.
void expire_reports(quarantine_table& table, time_point now);

} // namespace pomeloloft
