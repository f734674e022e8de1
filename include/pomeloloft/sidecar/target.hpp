#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// Identifies one process instance of a target. A later instance may reuse the same id.
struct instance_key {
    std::string id;
    /// Start time by the target's wall clock, in Unix milliseconds; 0 when not reported.
    std::int64_t started_at_ms = 0;

    bool operator==(const instance_key&) const = default;
};

/// Longest time from the sending of a report to its arrival: targets report every few seconds, and their
/// platforms promise no more than that a report is late by seconds.
inline constexpr milliseconds max_report_delay{5000};

/// An instance that has announced its shutdown or deregistered.
struct departure {
    instance_key instance;
    /// When that was learned.
    time_point left_at;
    /// Wall clock time in Unix milliseconds by which the instance had started; used if its start time was not
    /// reported.
    std::int64_t started_by_ms = 0;

    bool operator==(const departure&) const = default;
};

/// Heartbeat report of a target.
struct target_report {
    instance_key instance;
    std::string service;
    /// Version of the target's software.
    std::string version;
    std::string address;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Remaining slow-start time of the target.
    milliseconds slow_start_remaining{0};
    /// Sequence number; increases with each report of one instance.
    std::uint64_t sequence = 0;
};

/// Lifecycle state of the target that this sidecar serves.
enum class target_state : std::uint8_t {
    /// No report or successful health check yet.
    unknown,
    serving,
    /// The target has reported that it is shutting down.
    leaving,
};

/// Names of `target_state` in logs and records.
inline constexpr name_table<target_state, 3> target_state_names{{
    {target_state::unknown, "unknown"},
    {target_state::serving, "serving"},
    {target_state::leaving, "leaving"},
}};

/// State of the target that this sidecar serves.
struct target_record {
    target_state state = target_state::unknown;
    instance_key instance;
    /// Version of the target's software; empty until it has reported.
    std::string version;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    time_point slow_start_until;
    /// Time after which nothing is sent to a target that is shutting down; set when its report is
    /// acknowledged.
    time_point dispatch_until = no_deadline;
    /// When the instance was first heard of.
    time_point known_since;
    /// The instance before it.
    instance_key previous;
    /// Newest last.
    std::deque<departure> departed;
};

/// Effect of a report.
enum class report_effect : std::uint8_t {
    /// An outdated report or one of another instance; nothing changes.
    stale,
    refreshed,
    /// A new instance of the target.
    started,
    /// The target, which has got requests, is shutting down; the caller sets `dispatch_until`.
    leaving,
    /// A target that has got no requests is shutting down.
    left,
};

/// Names of `report_effect` in logs.
inline constexpr name_table<report_effect, 5> report_effect_names{{
    {report_effect::stale, "stale"},
    {report_effect::refreshed, "refreshed"},
    {report_effect::started, "started"},
    {report_effect::leaving, "leaving"},
    {report_effect::left, "left"},
}};

/// Applies a report. Delayed reports of an earlier instance, or of one that has announced its shutdown, have
/// no effect. Start times tell which of two instances is the later one only while the reports of the earlier
/// one may still arrive, as the clock of a VM can be set back; after that, the instance that reports is the
/// one that runs.
report_effect apply_report(target_record& target, const target_report& report, time_point now);

/// Whether a report, already applied, announces a shutdown that has no effect. Such a report must not be
/// acknowledged.
[[nodiscard]] bool hides_shutdown(const target_record& target, const target_report& report);

/// Applies the deregistration of an instance that did not drain first. It may only be acknowledged if
/// `has_departed` holds afterwards.
/// @param left `instance.started_at_ms` is 0 when it was not reported.
report_effect apply_deregistration(target_record& target, const departure& left);

/// Applies a successful health check: instance `id` is healthy and is not shutting down.
/// @return whether the target is serving as a result.
bool apply_health_check(target_record& target, const std::string& id, std::uint32_t slots, time_point now);

/// Whether an instance id can be stored and sent in headers: 1 to 256 graphic ASCII characters.
[[nodiscard]] bool is_valid_instance_id(std::string_view id);

/// Whether a version can be kept in member entries: 1 to 64 graphic ASCII characters.
[[nodiscard]] bool is_valid_version(std::string_view version);

/// Records that an instance has announced its shutdown; used also for records from before this process
/// started.
void record_departure(target_record& target, const departure& left);

/// The newest departure that an instance key matches; null if it has not announced its shutdown or
/// deregistered. A key without a start time matches any instance under its id. Valid until the record
/// changes.
[[nodiscard]] const departure* departure_of(const target_record& target, const instance_key& instance);

/// Whether an instance has announced its shutdown or deregistered.
[[nodiscard]] bool has_departed(const target_record& target, const instance_key& instance);

/// Whether a request may be sent to the target at `now`.
[[nodiscard]] bool may_dispatch(const target_record& target, time_point now);

} // namespace pomeloloft::sidecar
