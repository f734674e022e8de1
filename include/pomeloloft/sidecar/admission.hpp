#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// Slots and queue of the target beside this process at one moment.
struct gate_snapshot {
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    /// Requests waiting that are served before the one asked about.
    std::uint32_t queued_ahead = 0;
    /// Smoothed time a request holds a slot.
    std::chrono::microseconds service_time{0};
};

/// A request asking for a slot.
struct slot_request {
    /// 0 is served first.
    std::uint32_t priority = 0;
    time_point deadline = no_deadline;
    /// Longest wait the sender wants here before it tries elsewhere.
    milliseconds max_wait{0};
};

/// Whether a waiting request is served before another: by priority, then by deadline. Calls made by a running
/// request have short deadlines, and one that fails wastes the run that made it; large requests have long
/// ones.
[[nodiscard]] bool is_served_before(const slot_request& first, const slot_request& second);

/// What becomes of a request at the gate.
enum class admission_verdict : std::uint8_t { run, wait, refuse_full, refuse_deadline };

/// Names of `admission_verdict` in logs and traces.
inline constexpr name_table<admission_verdict, 4> admission_verdict_names{{
    {admission_verdict::run, "run"},
    {admission_verdict::wait, "wait"},
    {admission_verdict::refuse_full, "refuse-full"},
    {admission_verdict::refuse_deadline, "refuse-deadline"},
}};

/// Expected time until the request would get a slot; zero when one is free.
[[nodiscard]] std::chrono::microseconds expected_wait(const gate_snapshot& snapshot);

/// Decides on a request under overload: it runs in a free slot, waits where the expected wait is short enough
/// for its sender and its deadline, and is refused at once otherwise.
[[nodiscard]] admission_verdict admit_request(const gate_snapshot& snapshot, const slot_request& request,
                                              time_point now);

} // namespace pomeloloft::sidecar
