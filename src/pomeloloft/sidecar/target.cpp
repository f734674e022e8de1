#include "pomeloloft/sidecar/target.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {
namespace {

/// Maximum number of departed instances kept: more than one VM sees within the maximum delay of a report.
constexpr std::size_t max_departed = 32;

/// Whether a report comes from an earlier instance than the known one.
bool is_earlier_instance(const target_record& target, const instance_key& reported)
{
    return target.state != target_state::unknown && reported.started_at_ms > 0 &&
           reported.started_at_ms < target.instance.started_at_ms;
}

/// Whether two keys identify the same instance. An instance found by a health check has no start time yet.
bool is_same_instance(const instance_key& known, const instance_key& reported)
{
    return known.id == reported.id &&
           (known.started_at_ms == reported.started_at_ms || known.started_at_ms == 0);
}

/// Whether two keys can identify the same instance; a missing start time matches any.
bool may_be_same_instance(const instance_key& a, const instance_key& b)
{
    const bool both_known = a.started_at_ms != 0 && b.started_at_ms != 0;
    return a.id == b.id && (!both_known || a.started_at_ms == b.started_at_ms);
}

void begin_instance(target_record& target, const target_report& report)
{
    target.state = target_state::serving;
    target.instance = report.instance;
    target.dispatch_until = no_deadline;
}

void mark_leaving(target_record& target)
{
    target.state = target_state::leaving;
    record_departure(target, target.instance);
}

/// Whether a text has 1 to `max_bytes` graphic ASCII characters.
bool is_graphic_text(std::string_view text, std::size_t max_bytes)
{
    const auto is_graphic = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= max_bytes && std::all_of(text.begin(), text.end(), is_graphic);
}

} // namespace

bool is_valid_instance_id(std::string_view id)
{
    constexpr std::size_t max_id_bytes = 256;
    return is_graphic_text(id, max_id_bytes);
}

bool is_valid_version(std::string_view version)
{
    constexpr std::size_t max_version_bytes = 64;
    return is_graphic_text(version, max_version_bytes);
}

void record_departure(target_record& target, const instance_key& instance)
{
    if (std::find(target.departed.begin(), target.departed.end(), instance) != target.departed.end()) {
        return;
    }
    target.departed.push_back(instance);
    if (target.departed.size() > max_departed) {
        target.departed.pop_front();
    }
    if (target.state == target_state::serving && is_same_instance(target.instance, instance)) {
        // The drain period began when an earlier process acknowledged the report, so it is treated as
        // expired.
        target.state = target_state::leaving;
        target.dispatch_until = {};
    }
}

bool has_departed(const target_record& target, const instance_key& instance)
{
    return std::any_of(target.departed.begin(), target.departed.end(), [&instance](const instance_key& gone) {
        return may_be_same_instance(gone, instance);
    });
}

report_effect apply_report(target_record& target, const target_report& report, time_point now)
{
    if (is_earlier_instance(target, report.instance) || has_departed(target, report.instance)) {
        return report_effect::stale;
    }
    const bool same =
        target.state != target_state::unknown && is_same_instance(target.instance, report.instance);
    if (same && report.sequence <= target.sequence) {
        return report_effect::stale;
    }
    if (!same) {
        begin_instance(target, report);
    }
    target.instance = report.instance;
    target.version = report.version;
    target.sequence = report.sequence;
    target.slots = std::max(report.slots, 1U);
    target.slow_start_until = now + report.slow_start_remaining;
    if (report.draining) {
        mark_leaving(target);
        return report_effect::leaving;
    }
    return same ? report_effect::refreshed : report_effect::started;
}

bool hides_shutdown(const target_record& target, const target_report& report)
{
    return report.draining && target.state == target_state::serving &&
           may_be_same_instance(target.instance, report.instance);
}

report_effect apply_deregistration(target_record& target, const instance_key& instance)
{
    if (target.state == target_state::unknown) {
        record_departure(target, instance);
        return report_effect::leaving;
    }
    if (may_be_same_instance(target.instance, instance)) {
        if (target.state == target_state::leaving) {
            return report_effect::stale;
        }
        mark_leaving(target);
        return report_effect::leaving;
    }
    if (instance.started_at_ms > target.instance.started_at_ms) {
        // The reports of this later instance have not arrived yet.
        target.state = target_state::leaving;
        target.instance = instance;
        record_departure(target, instance);
        return report_effect::leaving;
    }
    if (instance.id != target.instance.id) {
        record_departure(target, instance);
    }
    return report_effect::stale;
}

bool apply_health_check(target_record& target, const std::string& id, std::uint32_t slots)
{
    if (target.state == target_state::serving) {
        return target.instance.id == id;
    }
    if (!is_valid_instance_id(id) || has_departed(target, {id, 0})) {
        return false;
    }
    target.state = target_state::serving;
    target.instance = {id, 0};
    target.version.clear();
    target.sequence = 0;
    target.slots = slots;
    target.dispatch_until = no_deadline;
    return true;
}

bool may_dispatch(const target_record& target, time_point now)
{
    switch (target.state) {
    case target_state::unknown:
        return false;
    case target_state::serving:
        return true;
    case target_state::leaving:
        return now < target.dispatch_until;
    }
    return false;
}

} // namespace pomeloloft::sidecar
