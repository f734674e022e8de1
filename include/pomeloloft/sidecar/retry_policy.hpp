#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {

/// Number of busy endpoints that may refuse a request before it queues at one of them.
inline constexpr std::uint32_t max_redirects = 3;

/// Number of attempts that reach no target after which a request is refused.
inline constexpr std::uint32_t max_unavailable_attempts = 8;

/// State of a request's attempts so far.
struct retry_state {
    bool idempotent = false;
    /// Maximum number of attempts that reach a target.
    std::uint32_t max_dispatches = 1;
    /// Attempts that reached a target.
    std::uint32_t dispatches = 0;
    /// Attempts that did not reach a target.
    std::uint32_t redirects = 0;
    /// An attempt may have run, and its response was not received.
    bool may_have_run = false;
    bool timed_out = false;
    /// Outcome of the last attempt.
    attempt_outcome last = attempt_outcome::unavailable;
    /// The last response is a server error of the target.
    bool target_failed = false;
    /// The next attempt queues at its endpoint, and the request is refused if it gets no slot there.
    bool accepts_queueing = false;
};

/// Records the outcome of an attempt.
/// @param target_failed the target responded with a server error.
void record_attempt(retry_state& state, attempt_outcome outcome, bool target_failed);

/// Next step after an attempt.
enum class next_step : std::uint8_t {
    finish,
    /// Try another endpoint without charging the retry budget: no target was reached.
    redirect,
    /// Try another endpoint if the retry budget allows it.
    retry,
};

/// Decides the next step after an attempt. A non-idempotent request is sent again only if it certainly did
/// not run.
[[nodiscard]] next_step decide_next_step(const retry_state& state, time_point now, time_point deadline);

/// Cost of a retry in the retry budget. Repeating a run repeats its downstream calls as well, at services
/// whose budgets are not charged.
[[nodiscard]] std::int64_t retry_cost(attempt_outcome last);

/// Status reported to a caller when no target has responded to the request.
enum class final_status : std::uint8_t { not_run, lost, timed_out };

/// Decides the status reported to the caller; `not_run` only if no attempt can have run.
[[nodiscard]] final_status decide_final_status(const retry_state& state, time_point now, time_point deadline);

/// Longest queue wait that the sender accepts: short while another endpoint may have a free slot, otherwise
/// as long as the response can still arrive in time.
[[nodiscard]] milliseconds max_queue_wait(bool accepts_queueing, time_point started, time_point soft_deadline,
                                          time_point now);

/// Whether the search for a free slot is over, by endpoints asked or by time spent. This matters under
/// overload on slow links: the time spent on the search is not available for queueing at the best endpoint.
[[nodiscard]] bool is_search_exhausted(const retry_state& state, time_point started, time_point soft_deadline,
                                       time_point now);

/// Whether a request queues at the first endpoint instead of searching for a free slot. Under overload, when
/// even the best endpoint is estimated to be busy for nearly half of the time to the soft deadline, asking
/// other endpoints in turn fills their links with requests that they refuse. Below that threshold the
/// estimates are too old to rule out the other endpoints.
/// @param shortest_wait expected wait at the endpoint with the lowest expected response time.
[[nodiscard]] bool is_busy_everywhere(milliseconds shortest_wait, time_point started,
                                      time_point soft_deadline);

/// Delay after which a refused caller should retry: about the time until a slot is free, randomised so that
/// callers refused together do not return together.
[[nodiscard]] milliseconds retry_after(milliseconds expected_wait, std::uint64_t random);

} // namespace pomeloloft::sidecar
