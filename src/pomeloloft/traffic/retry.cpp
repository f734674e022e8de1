#include "pomeloloft/traffic/retry.hpp"

#include <algorithm>

namespace pomeloloft {

bool count_attempt(attempt_history& history, run_state state, bool unreachable)
{
    const bool nothing_sent = unreachable && state == run_state::not_run;
    ++(nothing_sent ? history.unreachable : history.sent);
    history.may_have_run = history.may_have_run || state != run_state::not_run;
    return !nothing_sent;
}

bool is_below_unreachable_limit(const attempt_history& history)
{
    return history.unreachable < max_unreachable_endpoints;
}

run_state reported_run_state(const attempt_history& history, run_state last)
{
    return history.may_have_run && last == run_state::not_run ? run_state::unknown : last;
}

bool may_retry(const retry_inputs& inputs, time_point now)
{
    const bool safe =
        inputs.last == run_state::not_run || (inputs.last == run_state::unknown && inputs.idempotent);
    return safe && !inputs.crashed_target && inputs.replayable && !inputs.retried_above &&
           inputs.attempts_made < max_attempts && now < inputs.deadline;
}

milliseconds spare_time(time_point deadline, time_point now, std::chrono::microseconds response_time)
{
    return deadline == no_deadline ? milliseconds::max() : remaining(deadline - response_time, now);
}

milliseconds retry_backoff(std::uint32_t attempts_made, milliseconds spare, std::uint64_t random)
{
    constexpr milliseconds first_bound{10};
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings = std::min(attempts_made - std::min(attempts_made, 1U), max_doublings);
    const milliseconds bound = std::min(first_bound * (1U << doublings), spare);
    return milliseconds(random % static_cast<std::uint64_t>(bound.count() + 1));
}

void retry_budget::set_reserve(std::int64_t reserve)
{
    const std::int64_t limit = reserve * retry_tenths;
    this->max_tenths.store(limit, std::memory_order_relaxed);
    std::int64_t available_tenths = this->tenths.load(std::memory_order_relaxed);
    while (available_tenths > limit &&
           !this->tenths.compare_exchange_weak(available_tenths, limit, std::memory_order_relaxed)) {
    }
}

void retry_budget::deposit()
{
    if (this->tenths.load(std::memory_order_relaxed) < this->max_tenths.load(std::memory_order_relaxed)) {
        this->tenths.fetch_add(1, std::memory_order_relaxed);
    }
}

bool retry_budget::withdraw(std::int64_t cost)
{
    return this->withdraw_above(retry_tenths, cost);
}

bool retry_budget::withdraw_if_full(std::int64_t cost)
{
    const std::int64_t full = this->max_tenths.load(std::memory_order_relaxed);
    return this->withdraw_above(std::max(full, retry_tenths), cost);
}

bool retry_budget::withdraw_above(std::int64_t least_tenths, std::int64_t cost)
{
    std::int64_t available_tenths = this->tenths.load(std::memory_order_relaxed);
    while (available_tenths >= least_tenths) {
        const std::int64_t remaining_tenths = available_tenths - cost * retry_tenths;
        if (this->tenths.compare_exchange_weak(available_tenths, remaining_tenths,
                                               std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace pomeloloft
