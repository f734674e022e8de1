#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// One start of a target. The same id may be used again by a later start.
struct instance_key {
    std::string id;
    /// Start time by the target's wall clock, in Unix milliseconds; 0 when not told.
    std::int64_t started_at_ms = 0;

    bool operator==(const instance_key&) const = default;
};

/// What a target says of itself.
struct target_report {
    instance_key instance;
    std::string service;
    std::string address;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Time for which the target is still slow after its start.
    milliseconds slow_start_remaining{0};
    /// Grows with each report of one start.
    std::uint64_t sequence = 0;
};

/// What is known of the target beside this process.
enum class target_state : std::uint8_t {
    /// Not heard of yet.
    unknown,
    serving,
    /// Has said that it leaves.
    leaving,
};

/// Names of `target_state` in logs and records.
inline constexpr name_table<target_state, 3> target_state_names{{
    {target_state::unknown, "unknown"},
    {target_state::serving, "serving"},
    {target_state::leaving, "leaving"},
}};

/// The target beside this process.
struct target_record {
    target_state state = target_state::unknown;
    instance_key instance;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    time_point slow_start_until;
    /// From when on nothing may be sent to a target that leaves; set when its report is acknowledged.
    time_point dispatch_until = no_deadline;
    /// Starts that have left, newest last.
    std::deque<instance_key> departed;
};

/// What a report changed.
enum class report_effect : std::uint8_t {
    /// An older report, or one of another start: nothing changes.
    stale,
    refreshed,
    /// A new start of the target.
    started,
    /// The target leaves.
    leaving,
};

/// Names of `report_effect` in logs.
inline constexpr name_table<report_effect, 4> report_effect_names{{
    {report_effect::stale, "stale"},
    {report_effect::refreshed, "refreshed"},
    {report_effect::started, "started"},
    {report_effect::leaving, "leaving"},
}};

/// Takes in a report. Reports that arrive late, of an earlier start or of one that left, change nothing.
report_effect apply_report(target_record& target, const target_report& report, time_point now);

/// Takes in that a start of the target leaves without having drained.
/// @param instance `started_at_ms` 0 when it was not told.
report_effect apply_deregistration(target_record& target, const instance_key& instance);

/// Takes in that the target answered a health check: it is `id`, healthy, and does not leave.
/// @return whether the target is serving by that.
bool apply_health_check(target_record& target, const std::string& id, std::uint32_t slots);

/// Notes that a start has left, as of a record from before this process started.
void record_departure(target_record& target, const instance_key& instance);

/// Whether a start has left.
[[nodiscard]] bool has_departed(const target_record& target, const instance_key& instance);

/// Whether a request may be sent to the target now.
[[nodiscard]] bool may_dispatch(const target_record& target, time_point now);

} // namespace pomeloloft::sidecar
