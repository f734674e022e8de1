#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {

/// Busy endpoints a request may be turned away by before it waits at one.
inline constexpr std::uint32_t max_redirects = 3;

/// Tries that reach no target after which a request is refused.
inline constexpr std::uint32_t max_unavailable_attempts = 8;

/// What has become of a request's tries so far.
struct retry_state {
    bool idempotent = false;
    /// Targets the request may be sent to.
    std::uint32_t max_dispatches = 1;
    /// Tries that reached a target.
    std::uint32_t dispatches = 0;
    /// Tries that reached none.
    std::uint32_t redirects = 0;
    /// A try may have run, and its answer is not at hand.
    bool maybe_ran = false;
    bool timed_out = false;
    /// The last try's outcome.
    attempt_outcome last = attempt_outcome::unavailable;
    /// The last answer is a failure of the target.
    bool target_failed = false;
    /// The request waits where it is now, or gives up.
    bool accepts_queueing = false;
};

/// Notes a try.
/// @param target_failed the target answered with a failure of its own.
void record_attempt(retry_state& state, attempt_outcome outcome, bool target_failed);

/// What to do after a try.
enum class next_step : std::uint8_t {
    finish,
    /// Another endpoint, at no cost to the retry budget: no target was reached.
    redirect,
    /// Another endpoint, if the retry budget allows it.
    retry,
};

/// Decides after a try. A request that must not run twice is sent again only where it is sure not to have
/// run.
[[nodiscard]] next_step decide_next_step(const retry_state& state, time_point now, time_point deadline);

/// What a retry after a try counts as in the retry budget. A run that is repeated repeats its calls as well,
/// at services whose budgets it does not draw on.
[[nodiscard]] std::int64_t retry_cost(attempt_outcome last);

/// What a caller whose request was not answered by a target is told.
enum class final_status : std::uint8_t { not_run, lost, timed_out };

/// Decides what the caller is told; `not_run` only where no try can have run.
[[nodiscard]] final_status decide_final_status(const retry_state& state, time_point now, time_point deadline);

/// Longest wait for a slot that a sender accepts: short while there may be a free one elsewhere, else as long
/// as the answer can still come in time.
[[nodiscard]] milliseconds max_queue_wait(bool accepts_queueing, time_point started, time_point soft_deadline,
                                          time_point now);

/// Whether a request has looked for a free slot for long enough, by endpoints asked or by time. Answers
/// overload on slow links: what the search takes is missing from the wait at the best endpoint.
[[nodiscard]] bool is_search_exhausted(const retry_state& state, time_point started, time_point soft_deadline,
                                       time_point now);

/// Whether a request waits where it is sent rather than look for a free slot. Answers overload: where even
/// the best endpoint is believed to be busy for nearly half of the aim, asking others in turn fills their
/// links with requests that they refuse. Below that, what is believed is too old to give up on the others.
/// @param shortest_wait wait expected at the endpoint that answers first.
[[nodiscard]] bool is_busy_everywhere(milliseconds shortest_wait, time_point started,
                                      time_point soft_deadline);

/// When a caller that was refused should come back: about when a slot will be free, spread so that those
/// refused together do not return together.
[[nodiscard]] milliseconds retry_after(milliseconds expected_wait, std::uint64_t random);

} // namespace pomeloloft::sidecar
