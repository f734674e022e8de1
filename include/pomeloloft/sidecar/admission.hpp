#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// State of the target's slots and queue at one moment.
struct gate_snapshot {
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    /// Waiting requests that are served before the one to be decided.
    std::uint32_t queued_ahead = 0;
    /// Smoothed time a request occupies a slot; zero while none has been observed, and then the queue is no
    /// reason to refuse a request.
    std::chrono::microseconds service_time{0};
    /// Time that few runs exceed.
    std::chrono::microseconds max_service_time{0};
    /// Time since the queue was last empty.
    std::chrono::microseconds queued_for{0};
};

/// A request for a slot of the target.
struct slot_request {
    /// Priority class; 0 is served first.
    std::uint32_t priority = 0;
    time_point deadline = no_deadline;
    /// Longest wait that the sender accepts here before it tries another endpoint.
    milliseconds max_wait{0};
};

/// Whether a waiting request is served before another: by priority, then by earliest deadline.
[[nodiscard]] bool is_served_before(const slot_request& first, const slot_request& second);

/// Rank in the queue of a target: calls of runs come before all other requests, as a refused call wastes the
/// run that made it.
/// @param rank rank among requests that are no calls, 0 first.
[[nodiscard]] std::uint32_t queue_rank(std::uint32_t rank, bool is_call_of_run);

/// Admission decision for a request.
enum class admission_verdict : std::uint8_t { run, wait, refuse_full, refuse_deadline };

/// Names of `admission_verdict` in logs and traces.
inline constexpr name_table<admission_verdict, 4> admission_verdict_names{{
    {admission_verdict::run, "run"},
    {admission_verdict::wait, "wait"},
    {admission_verdict::refuse_full, "refuse-full"},
    {admission_verdict::refuse_deadline, "refuse-deadline"},
}};

/// Whether requests have waited without a break for longer than this one can: more arrive than the slots can
/// run, and not only in a burst. Such a queue delays all requests and no more of them are served.
[[nodiscard]] bool is_queue_standing(const gate_snapshot& snapshot, const slot_request& request,
                                     time_point now);

/// Expected time until a request gets a slot; zero when one is free.
[[nodiscard]] std::chrono::microseconds expected_wait(const gate_snapshot& snapshot);

/// Time until which a request must get its slot for its run to end by the deadline, even if the run takes
/// longer than most. The outcome of a run that does not end in time is unknown to its caller.
[[nodiscard]] time_point latest_start(const gate_snapshot& snapshot, const slot_request& request);

/// Admission control under overload: a request runs if a slot is free, waits if the expected wait fits both
/// the sender's limit and the deadline, and is refused immediately otherwise. In a standing queue
/// it waits for the mean time of a run at most, which keeps the slots in use.
[[nodiscard]] admission_verdict admit_request(const gate_snapshot& snapshot, const slot_request& request,
                                              time_point now);

} // namespace pomeloloft::sidecar
