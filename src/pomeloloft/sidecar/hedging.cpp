#include "pomeloloft/sidecar/hedging.hpp"

#include "pomeloloft/sidecar/retry_policy.hpp"

namespace pomeloloft::sidecar {

bool may_have_free_slot(const endpoint_load& load, time_point now, const choice_options& options)
{
    const bool reported_lately = load.reported_at + options.load_decay_time > now;
    const bool is_full = load.reported_load + load.sent_since_report >= load.slots;
    return load.backoff_until <= now && !(reported_lately && is_full);
}

void hedging::add_response(const std::string& service, std::chrono::microseconds elapsed)
{
    if (this->enabled()) {
        this->observed.try_emplace(service, hedge_window(this->share)).first->second.add(elapsed);
    }
}

std::optional<time_point> hedging::second_attempt_at(const std::string& service, time_point sent) const
{
    const auto found = this->observed.find(service);
    return found == this->observed.end() ? std::nullopt : hedge_time(found->second, this->share, sent);
}

hedge_verdict hedging::take(retry_budget& budget)
{
    // A second attempt may run, as a repeat after a lost response may.
    return take_hedge(this->limit, budget, retry_cost(attempt_outcome::lost));
}

} // namespace pomeloloft::sidecar
