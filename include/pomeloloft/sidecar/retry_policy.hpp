#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/sidecar/attempt.hpp"
#include "pomeloloft/sidecar/choose.hpp"

namespace pomeloloft::sidecar {

/// Number of attempts that reach no target after which a request is refused. A safeguard against requests
/// that are passed on without end; a search for a free slot ends sooner, as each refusal reports a load.
inline constexpr std::uint32_t max_redirects = 16;

/// Why an endpoint has refused a request.
enum class refusal_cause : std::uint8_t {
    /// Another endpoint is expected to respond sooner.
    slower_than_others,
    /// The run could not end by the deadline, at the endpoint that is expected to respond first.
    too_late,
    /// Neither: for example, the target accepts no further connection.
    other,
};

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
    /// Why the last attempt was refused.
    refusal_cause refused_because = refusal_cause::other;
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

/// Longest wait for a slot that suits a caller at the chosen endpoint: until another endpoint is expected to
/// respond sooner, and no longer than the caller waits for the response.
[[nodiscard]] milliseconds max_queue_wait(const chosen_endpoint& chosen, time_point now, time_point deadline);

/// Determines why an endpoint has refused a request for which it could take `max_wait`.
[[nodiscard]] refusal_cause cause_of_refusal(milliseconds expected_wait, milliseconds max_wait);

/// Delay after which a refused caller should retry: about the time until a slot is free, randomised so that
/// callers refused together do not return together.
[[nodiscard]] milliseconds retry_after(milliseconds expected_wait, std::uint64_t random);

} // namespace pomeloloft::sidecar
