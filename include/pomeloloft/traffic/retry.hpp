#pragma once

#include <atomic>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/traffic/outcome.hpp"

namespace pomeloloft {

/// Attempts a request may make in all.
inline constexpr std::uint32_t max_attempts = 3;

/// Endpoints a request may find unreachable. A lost data centre may have that many before all have noticed.
inline constexpr std::uint32_t max_unreachable = 8;

/// What the attempts of one request have come to.
struct attempt_history {
    /// Attempts that reached an endpoint.
    std::uint32_t sent = 0;
    /// Attempts at endpoints that nothing could be sent to.
    std::uint32_t unreachable = 0;
    /// One of them may have run.
    bool maybe_ran = false;
};

/// Counts an attempt.
/// @return whether anything was sent to its endpoint.
bool count_attempt(attempt_history& history, run_state ended, bool unreachable);

/// Whether endpoints may be tried further, as far as unreachable ones are concerned.
[[nodiscard]] bool has_attempts_left(const attempt_history& history);

/// What the caller is told of the run when the last attempt ended thus.
[[nodiscard]] run_state reported_run_state(const attempt_history& history, run_state last);

/// What a retry is decided by.
struct retry_inputs {
    run_state last = run_state::unknown;
    /// The target crashed while it ran the request.
    bool crashed_target = false;
    bool idempotent = false;
    /// The body can be sent again from the start.
    bool replayable = false;
    /// Another level of a deep call retries, so this one does not.
    bool retried_above = false;
    /// Attempts that reached an endpoint.
    std::uint32_t attempts_made = 1;
    time_point deadline;
};

/// Whether another attempt is safe and worthwhile, before asking the budget.
[[nodiscard]] bool may_retry(const retry_inputs& inputs, time_point now);

/// How long to wait before a retry of a request that was refused for load: anywhere up to a bound that
/// doubles with each attempt and leaves most of the time there is (full jitter), so that those refused
/// together do not come back together.
/// @param random an independent draw.
[[nodiscard]] milliseconds retry_backoff(std::uint32_t attempts_made, milliseconds left,
                                         std::uint64_t random);

/// Bounds retries to a share of requests: each request earns a tenth of a retry, up to a small reserve.
class retry_budget {
public:
    /// @param reserve retries that may be saved up, also at the start.
    explicit retry_budget(std::int64_t reserve = default_reserve)
        : tenths(reserve * retry_tenths), most_tenths(reserve * retry_tenths)
    {}

    /// Counts a request.
    void deposit();

    /// Takes one retry, if there is one.
    /// @param cost what it counts as; what is not there is owed, and earned before the next.
    [[nodiscard]] bool withdraw(std::int64_t cost = 1);

private:
    static constexpr std::int64_t default_reserve = 10;
    static constexpr std::int64_t retry_tenths = 10;

    std::atomic<std::int64_t> tenths;
    std::int64_t most_tenths;
};

} // namespace pomeloloft
