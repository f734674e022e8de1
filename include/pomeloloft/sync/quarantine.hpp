#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// Report that a target crashed while it ran a request with this fingerprint.
struct crash_report {
    std::uint64_t fingerprint = 0;
    /// Identifies the crash: the node, its incarnation and the number of the crash there.
    std::string crash_id;
    time_point expires_at;
    /// Sequence number in the order in which this process added reports.
    std::uint64_t change = 0;
};

/// Crash reports from all nodes, merged as a set. Not thread-safe; the owner holds a lock.
struct quarantine_table {
    std::map<std::uint64_t, std::vector<crash_report>> by_fingerprint;
    /// Sequence number of the newest report.
    std::uint64_t last_change = 0;
};

/// Number of crashes after which all proxies refuse a request.
inline constexpr std::size_t quarantine_threshold = 2;

/// Time until a crash report expires.
inline constexpr milliseconds crash_report_ttl{600'000};

/// Maximum number of reports in a table.
inline constexpr std::size_t max_crash_reports = 1024;

/// Adds a report, unless the table is full or holds a report of the same crash.
/// @return whether the report was added.
bool add_crash_report(quarantine_table& table, std::uint64_t fingerprint, const std::string& crash_id,
                      time_point expires_at);

/// Whether requests with this fingerprint are to be refused.
[[nodiscard]] bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now);

/// Reports added after `cursor`.
/// @param cursor moved to the newest report.
[[nodiscard]] std::vector<crash_report> reports_after(const quarantine_table& table, std::uint64_t& cursor);

/// Removes expired reports.
void expire_reports(quarantine_table& table, time_point now);

} // namespace pomeloloft
