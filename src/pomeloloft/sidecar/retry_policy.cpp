#include "pomeloloft/sidecar/retry_policy.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {

void record_attempt(retry_state& state, attempt_outcome outcome, bool target_failed)
{
    state.last = outcome;
    state.target_failed = target_failed;
    switch (outcome) {
    case attempt_outcome::answered:
    case attempt_outcome::rejected:
        ++state.dispatches;
        break;
    case attempt_outcome::lost:
    case attempt_outcome::cancelled:
        ++state.dispatches;
        state.may_have_run = true;
        break;
    case attempt_outcome::timed_out:
        ++state.dispatches;
        state.may_have_run = true;
        state.timed_out = true;
        break;
    case attempt_outcome::refused:
    case attempt_outcome::unavailable:
        ++state.redirects;
        break;
    case attempt_outcome::abandoned:
    case attempt_outcome::quarantined:
        break;
    }
}

next_step decide_next_step(const retry_state& state, time_point now, time_point deadline)
{
    if (now >= deadline) {
        return next_step::finish;
    }
    switch (state.last) {
    case attempt_outcome::answered:
        if (!state.target_failed || !state.idempotent) {
            return next_step::finish;
        }
        break;
    case attempt_outcome::lost:
        if (!state.idempotent) {
            return next_step::finish;
        }
        break;
    case attempt_outcome::timed_out:
    case attempt_outcome::cancelled:
    case attempt_outcome::abandoned:
    case attempt_outcome::quarantined:
        return next_step::finish;
    case attempt_outcome::rejected:
        break;
    case attempt_outcome::refused:
        if (state.refused_because == refusal_cause::too_late) {
            return next_step::finish;
        }
        [[fallthrough]];
    case attempt_outcome::unavailable:
        return state.redirects < max_redirects ? next_step::redirect : next_step::finish;
    }
    return state.dispatches < state.max_dispatches ? next_step::retry : next_step::finish;
}

std::int64_t retry_cost(attempt_outcome last)
{
    // The repeated run and the two downstream calls that most deployed services make.
    constexpr std::int64_t run_and_downstream_calls = 3;
    return last == attempt_outcome::rejected ? 1 : run_and_downstream_calls;
}

final_status decide_final_status(const retry_state& state, time_point now, time_point deadline)
{
    if (!state.may_have_run) {
        return final_status::not_run;
    }
    return state.timed_out || now >= deadline ? final_status::timed_out : final_status::lost;
}

milliseconds max_queue_wait(const chosen_endpoint& chosen, time_point now, time_point deadline)
{
    const milliseconds left = remaining(deadline, now);
    return std::min(chosen.max_wait.value_or(left), left);
}

refusal_cause cause_of_refusal(milliseconds expected_wait, milliseconds max_wait)
{
    if (expected_wait > max_wait) {
        return refusal_cause::slower_than_others;
    }
    return expected_wait.count() > 0 ? refusal_cause::too_late : refusal_cause::other;
}

milliseconds retry_after(milliseconds expected_wait, std::uint64_t random)
{
    const milliseconds base = std::max(expected_wait, milliseconds{1});
    return base / 2 + milliseconds(random % static_cast<std::uint64_t>(base.count()));
}

} // namespace pomeloloft::sidecar
