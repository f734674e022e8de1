#include "pomeloloft/sidecar/target.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {
namespace {

/// Maximum number of departed instances kept: more than one VM sees within the maximum delay of a report.
constexpr std::size_t max_departed = 32;

/// How an instance relates to the present one of a target.
enum class instance_order : std::uint8_t {
    /// It is the present one.
    present,
    /// It has started later.
    later,
    /// It may be an earlier one whose report was delayed.
    uncertain,
};

/// Whether two keys identify the same instance. An instance found by a health check has no start time yet.
bool is_same_instance(const instance_key& known, const instance_key& reported)
{
    return known.id == reported.id &&
           (known.started_at_ms == reported.started_at_ms || known.started_at_ms == 0);
}

bool is_departure_of(const departure& left, const instance_key& instance)
{
    if (left.instance.id != instance.id) {
        return false;
    }
    const std::int64_t started = left.instance.started_at_ms;
    return instance.started_at_ms == 0 || instance.started_at_ms == started ||
           (started == 0 && instance.started_at_ms <= left.started_by_ms);
}

/// Whether an instance under this id has left so recently that reports of the ones before it may still
/// arrive.
bool has_left_recently(const target_record& target, const std::string& id, time_point now)
{
    return std::any_of(target.departed.begin(), target.departed.end(), [&id, now](const departure& left) {
        return left.instance.id == id && now < left.left_at + max_report_delay;
    });
}

instance_order order_of(const target_record& target, const instance_key& instance, time_point now)
{
    if (target.state == target_state::unknown) {
        return instance_order::later;
    }
    const instance_key& known = target.instance;
    const bool is_known =
        is_same_instance(known, instance) || (instance.started_at_ms == 0 && known.id == instance.id);
    if (target.state == target_state::serving && is_known) {
        return instance_order::present;
    }
    const bool started_before = instance.started_at_ms < known.started_at_ms || instance == target.previous;
    const bool may_be_late = started_before && now < target.known_since + max_report_delay;
    return may_be_late || instance.started_at_ms == 0 ? instance_order::uncertain : instance_order::later;
}

void begin_instance(target_record& target, const instance_key& instance, time_point now)
{
    target.previous = target.state == target_state::unknown ? instance_key{} : target.instance;
    target.state = target_state::serving;
    target.instance = instance;
    target.known_since = now;
    target.dispatch_until = no_deadline;
}

/// Records the departure of the present instance.
/// @param was_serving whether the instance has got requests; otherwise it gets none while it drains.
report_effect mark_departed(target_record& target, departure left, bool was_serving)
{
    if (target.instance.started_at_ms == 0) {
        target.instance.started_at_ms = left.instance.started_at_ms;
    }
    target.state = target_state::leaving;
    target.dispatch_until = {};
    left.instance = target.instance;
    record_departure(target, left);
    return was_serving ? report_effect::leaving : report_effect::left;
}

/// Records a departure beside the present instance, unless requests for that would reach the one that leaves.
void record_other_departure(target_record& target, const departure& left)
{
    const bool gets_requests =
        target.state == target_state::serving && target.instance.id == left.instance.id;
    if (!gets_requests) {
        record_departure(target, left);
    }
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

void record_departure(target_record& target, const departure& left)
{
    const auto known = std::find_if(target.departed.begin(), target.departed.end(),
                                    [&left](const departure& d) { return d.instance == left.instance; });
    if (known != target.departed.end()) {
        if (left.instance.started_at_ms != 0) {
            return;
        }
        // Another instance that has not reported its start time either.
        target.departed.erase(known);
    }
    target.departed.push_back(left);
    if (target.departed.size() > max_departed) {
        target.departed.pop_front();
    }
    if (target.state == target_state::serving && is_same_instance(target.instance, left.instance)) {
        // The drain period began when an earlier process acknowledged the report, so it is treated as
        // expired.
        target.state = target_state::leaving;
        target.dispatch_until = {};
    }
}

const departure* departure_of(const target_record& target, const instance_key& instance)
{
    const auto found =
        std::find_if(target.departed.rbegin(), target.departed.rend(),
                     [&instance](const departure& left) { return is_departure_of(left, instance); });
    return found == target.departed.rend() ? nullptr : &*found;
}

bool has_departed(const target_record& target, const instance_key& instance)
{
    return departure_of(target, instance) != nullptr;
}

report_effect apply_report(target_record& target, const target_report& report, time_point now)
{
    if (has_departed(target, report.instance)) {
        return report_effect::stale;
    }
    const instance_order order = order_of(target, report.instance, now);
    const bool same = order == instance_order::present;
    if (order == instance_order::uncertain || (!same && has_left_recently(target, report.instance.id, now))) {
        if (report.draining) {
            record_other_departure(target, {report.instance, now});
        }
        return report_effect::stale;
    }
    if (same && report.sequence <= target.sequence) {
        return report_effect::stale;
    }
    if (!same) {
        begin_instance(target, report.instance, now);
    }
    target.instance = report.instance;
    target.version = report.version;
    target.sequence = report.sequence;
    target.slots = std::max(report.slots, 1U);
    target.slow_start_until = now + report.slow_start_remaining;
    if (report.draining) {
        return mark_departed(target, {report.instance, now}, same);
    }
    return same ? report_effect::refreshed : report_effect::started;
}

bool hides_shutdown(const target_record& target, const target_report& report)
{
    return report.draining && !has_departed(target, report.instance);
}

report_effect apply_deregistration(target_record& target, const departure& left)
{
    // Without a start time, a departure of an earlier instance under the same id tells nothing of this one.
    if (left.instance.started_at_ms != 0 && has_departed(target, left.instance)) {
        return report_effect::stale;
    }
    if (target.state == target_state::unknown) {
        record_departure(target, left);
        return report_effect::left;
    }
    const instance_order order = order_of(target, left.instance, left.left_at);
    if (order == instance_order::uncertain) {
        record_other_departure(target, left);
        return report_effect::stale;
    }
    const bool same = order == instance_order::present;
    if (!same) {
        // The reports of this instance have not arrived yet.
        begin_instance(target, left.instance, left.left_at);
    }
    return mark_departed(target, left, same);
}

bool apply_health_check(target_record& target, const std::string& id, std::uint32_t slots, time_point now)
{
    if (target.state == target_state::serving) {
        return target.instance.id == id;
    }
    if (!is_valid_instance_id(id) || has_departed(target, {id, 0})) {
        return false;
    }
    begin_instance(target, {id, 0}, now);
    target.version.clear();
    target.sequence = 0;
    target.slots = slots;
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
