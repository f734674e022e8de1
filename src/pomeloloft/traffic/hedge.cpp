#include "pomeloloft/traffic/hedge.hpp"

#include <algorithm>
#include <cmath>

namespace pomeloloft {
namespace {

/// Second attempts that may follow each other at once after a time without any.
constexpr double max_available = 2.0;
/// Responses above the delay in one window; fewer give no stable delay.
constexpr double slow_responses_in_window = 5.0;

} // namespace

hedge_verdict decide_hedge(const hedge_facts& facts, time_point now)
{
    if (!facts.caller_connected) {
        return hedge_verdict::caller_gone;
    }
    if (facts.crash_suspect) {
        return hedge_verdict::suspect;
    }
    if (facts.dispatches >= facts.max_dispatches) {
        return hedge_verdict::attempts_used;
    }
    if (!facts.has_free_slot) {
        return hedge_verdict::no_room;
    }
    return now + facts.expected_response < facts.deadline ? hedge_verdict::send : hedge_verdict::too_late;
}

void hedge_limit::deposit()
{
    this->available = std::min(this->available + this->share, max_available);
}

bool hedge_limit::withdraw()
{
    if (this->available < 1.0) {
        return false;
    }
    this->available -= 1.0;
    return true;
}

void hedge_limit::refund()
{
    this->available = std::min(this->available + 1.0, max_available);
}

hedge_verdict take_hedge(hedge_limit& limit, retry_budget& budget, std::int64_t cost)
{
    if (!limit.withdraw()) {
        return hedge_verdict::over_limit;
    }
    if (!budget.withdraw_if_full(cost)) {
        limit.refund();
        return hedge_verdict::budget_reserved;
    }
    return hedge_verdict::send;
}

std::uint32_t hedge_window(double limit_share)
{
    return static_cast<std::uint32_t>(std::ceil(slow_responses_in_window / limit_share));
}

std::optional<time_point> hedge_time(const response_times& observed, double limit_share, time_point sent)
{
    const auto delay = observed.quantile(1.0 - limit_share);
    return delay ? std::optional(sent + *delay) : std::nullopt;
}

} // namespace pomeloloft
