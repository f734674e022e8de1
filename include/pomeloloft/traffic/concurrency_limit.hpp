#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// How a target's slots are found where the declared number is only a ceiling.
struct limit_options {
    /// Answers are judged together over this time.
    milliseconds window{200};
    /// Fewer answers say too little; the window goes on.
    std::uint32_t least_answers = 8;
    /// Answer time, against the best seen, from which the target counts as overloaded.
    double slow_ratio = 2.0;
    /// Windows without growth after the target shed a request.
    std::uint32_t windows_held = 10;
    /// Share of the limit kept when the target is slow.
    double backoff = 0.9;
    /// After so many windows one is spent with few requests at a time, to learn how quick the target is now.
    std::uint32_t windows_to_probe = 300;
    /// Share of the limit used in that window.
    double probe_share = 0.25;
};

/// What is known of one target's limit.
struct limit_state {
    /// The most the limit may be.
    std::uint32_t ceiling = 1;
    double limit = 1;
    /// Until the target is first overloaded the limit doubles.
    bool doubling = true;
    /// Best mean answer time of a window since the last probe, in microseconds; 0 before the first.
    double best_us = 0;
    std::uint32_t windows = 0;
    /// Number of the window from which the limit may grow again.
    std::uint32_t grows_from = 0;
    bool probing = false;
    /// The window under way.
    time_point window_end;
    double sum_us = 0;
    std::uint32_t answers = 0;
    std::uint32_t shed = 0;
    std::uint32_t most_running = 0;
};

/// One answer of a target.
struct limit_sample {
    std::chrono::microseconds answer_time{0};
    /// The target refused the request because of its own load.
    bool shed = false;
    /// Requests that ran when it was answered, itself included.
    std::uint32_t running = 1;
};

/// Begins with one slot.
[[nodiscard]] limit_state begin_limit(std::uint32_t ceiling, time_point now);

/// Takes in an answer. A request that was shed brings the limit below what ran then, at once: a slot whose
/// requests are shed is soon free again and would take in one after the other. At the end of a window the
/// limit grows where it was used up and answers were as quick as ever, and shrinks where they took much
/// longer (additive increase, multiplicative decrease).
void update_limit(limit_state& state, const limit_sample& sample, time_point now,
                  const limit_options& options = {});

/// The limit as whole slots, at least 1.
[[nodiscard]] std::uint32_t slots_of(const limit_state& state, const limit_options& options = {});

/// The limit of one target, shared by the threads that serve it.
class concurrency_limit {
public:
    /// Sets the ceiling; the limit begins anew when it differs.
    /// @return the slots of this moment.
    std::uint32_t set_ceiling(std::uint32_t ceiling, time_point now);

    /// Forgets what was learned, as for a target that has just been replaced.
    void reset();

    /// Takes in an answer.
    /// @return the slots from now on.
    std::uint32_t add_sample(const limit_sample& sample, time_point now);

private:
    std::mutex mutex;
    limit_state state;
};

} // namespace pomeloloft
