#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// Parameters of the adaptive concurrency limit, which finds the number of slots of a target if the declared
/// number is only a ceiling.
struct limit_options {
    /// Length of a measurement window.
    milliseconds window{200};
    /// Responses that a window needs before it can end; fewer are not significant.
    std::uint32_t min_responses = 8;
    /// Ratio of the mean response time to the best one above which the target counts as overloaded.
    double overload_ratio = 2.0;
    /// Windows for which the limit does not grow after the target shed a request.
    std::uint32_t growth_hold_windows = 10;
    /// Factor by which the limit is decreased if the target is overloaded.
    double decrease_factor = 0.9;
    /// Every so many windows, one runs with a reduced limit to measure the current unloaded response time.
    std::uint32_t probe_interval_windows = 300;
    /// Share of the limit that is used in a probe window.
    double probe_share = 0.25;
};

/// State of the concurrency limit of one target.
struct limit_state {
    /// Upper bound of the limit.
    std::uint32_t ceiling = 1;
    /// Current limit, in slots.
    double limit = 1;
    /// The limit doubles per window until the target is overloaded for the first time (slow start).
    bool doubling = true;
    /// Lowest mean response time of a window since the last probe, in microseconds; 0 before the first
    /// window.
    double best_mean_us = 0;
    /// Number of windows that have ended.
    std::uint32_t windows = 0;
    /// Number of the window from which the limit may grow again.
    std::uint32_t growth_allowed_from = 0;
    /// The current window is a probe window.
    bool probing = false;
    /// Earliest end of the current window. The fields below are its statistics.
    time_point window_end;
    /// Sum of the response times of requests that were not shed, in microseconds.
    double sum_us = 0;
    std::uint32_t responses = 0;
    std::uint32_t shed = 0;
    std::uint32_t max_running = 0;
};

/// Measurement taken from one response of a target.
struct limit_sample {
    std::chrono::microseconds response_time{0};
    /// The target refused the request because of its own load.
    bool shed = false;
    /// Requests that were running when the response arrived, including this one.
    std::uint32_t running = 1;
};

/// Returns the initial state, with a limit of one slot.
[[nodiscard]] limit_state make_initial_limit(std::uint32_t ceiling, time_point now);

/// Updates the limit with a response (additive increase, multiplicative decrease). A shed request lowers the
/// limit at once below the number of requests that were running: a slot whose requests are shed is soon free
/// again and would attract one request after the other. At the end of a window, the limit grows if it was
/// fully used and the target was not slow, and is reduced if responses took much longer than the best ones.
void update_limit(limit_state& state, const limit_sample& sample, time_point now,
                  const limit_options& options = {});

/// The limit in force, in whole slots; at least 1.
[[nodiscard]] std::uint32_t effective_slots(const limit_state& state, const limit_options& options = {});

/// Concurrency limit of one target. Thread-safe.
class concurrency_limit {
public:
    /// Sets the ceiling. The limit is reset if the ceiling has changed.
    /// @return the current number of slots.
    std::uint32_t set_ceiling(std::uint32_t ceiling, time_point now);

    /// Discards all measurements, for example because the target was replaced.
    void reset();

    /// Updates the limit with a response.
    /// @return the new number of slots.
    std::uint32_t add_sample(const limit_sample& sample, time_point now);

private:
    std::mutex mutex;
    limit_state state;
};

} // namespace pomeloloft
