#pragma once

#include <atomic>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/traffic/outcome.hpp"

namespace pomeloloft {

/// Maximum number of attempts of a request, counting only those that reached an endpoint.
inline constexpr std::uint32_t max_attempts = 3;

/// Maximum number of unreachable endpoints that a request may try. After the loss of a data centre, a request
/// may be sent to this many of its endpoints before all of them have been detected as lost.
inline constexpr std::uint32_t max_unreachable_endpoints = 8;

/// Summary of the attempts of one request.
struct attempt_history {
    /// Attempts that reached an endpoint.
    std::uint32_t sent = 0;
    /// Attempts on endpoints that could not be reached.
    std::uint32_t unreachable = 0;
    /// At least one attempt may have run.
    bool may_have_run = false;
};

/// Counts an attempt.
/// @param state run state after the attempt.
/// @return whether any part of the request was sent to the endpoint.
bool count_attempt(attempt_history& history, run_state state, bool unreachable);

/// Whether the number of unreachable endpoints permits another attempt.
[[nodiscard]] bool is_below_unreachable_limit(const attempt_history& history);

/// The run state to report to the caller if the last attempt ended with `last`. It is `unknown` instead of
/// `not_run` if an earlier attempt may have run.
[[nodiscard]] run_state reported_run_state(const attempt_history& history, run_state last);

/// Inputs of a retry decision.
struct retry_inputs {
    /// Run state after the last attempt.
    run_state last = run_state::unknown;
    /// The target crashed while it was running the request.
    bool crashed_target = false;
    bool idempotent = false;
    /// The body is still available from its first byte.
    bool replayable = false;
    /// A proxy further up the call chain retries the request, so this one does not.
    bool retried_above = false;
    /// Attempts that reached an endpoint.
    std::uint32_t attempts_made = 1;
    time_point deadline;
};

/// Whether another attempt is safe and allowed. The retry budget is checked separately.
[[nodiscard]] bool may_retry(const retry_inputs& inputs, time_point now);

/// Time for which a request can be held back and still get its response: the time left without the time that
/// an endpoint takes to respond.
/// @param response_time observed response time; zero if unknown.
[[nodiscard]] milliseconds spare_time(time_point deadline, time_point now,
                                      std::chrono::microseconds response_time);

/// Backoff before the retry of a request that was refused because of load: exponential with full jitter, so
/// that requests refused at the same time are not retried at the same time. The upper bound doubles with each
/// attempt.
/// @param spare upper bound on the backoff, by `spare_time`.
/// @param random independent random bits.
[[nodiscard]] milliseconds retry_backoff(std::uint32_t attempts_made, milliseconds spare,
                                         std::uint64_t random);

/// Limits retries to a share of requests: each request adds a tenth of a retry to the budget, up to a
/// reserve. Thread-safe.
class retry_budget {
public:
    /// @param reserve maximum number of retries in the budget, which is also the initial number.
    explicit retry_budget(std::int64_t reserve = default_reserve) : retry_budget(reserve, reserve) {}

    /// @param initial number of retries in the budget at first.
    retry_budget(std::int64_t reserve, std::int64_t initial)
        : tenths(initial * retry_tenths), max_tenths(reserve * retry_tenths)
    {}

    /// Changes the maximum number of retries in the budget, which is reduced to it.
    void set_reserve(std::int64_t reserve);

    /// Adds a tenth of a retry for a request.
    void deposit();

    /// Takes a retry from the budget if at least one whole retry is left.
    /// @param cost number of retries to charge. The budget may become negative; deposits must make up for
    /// that before the next retry.
    /// @return whether the retry is allowed.
    [[nodiscard]] bool withdraw(std::int64_t cost = 1);

    /// Whether a retry would be allowed now.
    [[nodiscard]] bool has_retry() const { return this->tenths >= retry_tenths; }
    /// Same, but only if nothing has been spent that was not made up for, so that enough is left for others.
    [[nodiscard]] bool withdraw_if_full(std::int64_t cost);

private:
    bool withdraw_above(std::int64_t least_tenths, std::int64_t cost);

    static constexpr std::int64_t default_reserve = 10;
    static constexpr std::int64_t retry_tenths = 10;

    /// Budget in tenths of a retry.
    std::atomic<std::int64_t> tenths;
    std::atomic<std::int64_t> max_tenths;
};

} // namespace pomeloloft
