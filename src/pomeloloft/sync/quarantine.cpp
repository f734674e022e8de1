#include "pomeloloft/sync/quarantine.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

std::size_t count_reports(const quarantine_table& table)
{
    std::size_t count = 0;
    for (const auto& [unused, reports] : table.by_fingerprint) {
        count += reports.size();
    }
    return count;
}

} // namespace

bool add_crash_report(quarantine_table& table, std::uint64_t fingerprint, const std::string& crash_id,
                      time_point expires_at)
{
    if (count_reports(table) >= max_crash_reports) {
        return false;
    }
    std::vector<crash_report>& reports = table.by_fingerprint[fingerprint];
    const auto same_crash = [&crash_id](const crash_report& known) { return known.crash_id == crash_id; };
    if (std::any_of(reports.begin(), reports.end(), same_crash)) {
        return false;
    }
    reports.push_back({fingerprint, crash_id, expires_at, ++table.last_change});
    return true;
}

bool is_quarantined(const quarantine_table& table, std::uint64_t fingerprint, time_point now)
{
    const auto found = table.by_fingerprint.find(fingerprint);
    if (found == table.by_fingerprint.end()) {
        return false;
    }
    const auto is_live = [now](const crash_report& report) { return report.expires_at > now; };
    const auto live = std::count_if(found->second.begin(), found->second.end(), is_live);
    return static_cast<std::size_t>(live) >= quarantine_threshold;
}

std::vector<crash_report> reports_after(const quarantine_table& table, std::uint64_t& cursor)
{
    std::vector<crash_report> out;
    for (const auto& [unused, reports] : table.by_fingerprint) {
        std::copy_if(reports.begin(), reports.end(), std::back_inserter(out),
                     [cursor](const crash_report& report) { return report.change > cursor; });
    }
    cursor = table.last_change;
    return out;
}

void expire_reports(quarantine_table& table, time_point now)
{
    for (auto& [unused, reports] : table.by_fingerprint) {
        std::erase_if(reports, [now](const crash_report& report) { return report.expires_at <= now; });
    }
    std::erase_if(table.by_fingerprint, [](const auto& item) { return item.second.empty(); });
}

} // namespace pomeloloft
