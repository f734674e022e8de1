#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pomeloloft/sidecar/choose.hpp"
#include "pomeloloft/traffic/hedge.hpp"

namespace pomeloloft::sidecar {

/// Counters of second attempts.
struct hedge_counters {
    std::uint64_t begun = 0;
    /// Second attempts whose response was returned to the caller.
    std::uint64_t won = 0;
    /// Attempts that were cancelled because the other one was answered.
    std::uint64_t cancelled = 0;
    /// Second attempts that were due and not made, by `hedge_verdict`.
    std::array<std::uint64_t, hedge_verdict_names.size()> held_back{};
};

/// Whether an endpoint can be asked for a slot that is free now: it is not known to be full. Its gate
/// decides.
[[nodiscard]] bool may_have_free_slot(const endpoint_load& load, time_point now,
                                      const choice_options& options);

/// State of hedged requests in one process. Belongs to one event loop.
class hedging {
public:
    /// @param limit_share second attempts by request; 0 switches them off.
    explicit hedging(double limit_share) : share(limit_share), limit(limit_share) {}

    [[nodiscard]] bool enabled() const { return this->share > 0; }

    /// Counts an idempotent request.
    void count_request() { this->limit.deposit(); }

    /// Adds a response time of a service, or the time without a response after which an attempt was
    /// cancelled, so that the delay does not shrink by its own effect.
    void add_response(const std::string& service, std::chrono::microseconds elapsed);

    /// Time of the second attempt of a request; nothing while the service's response times are unknown.
    [[nodiscard]] std::optional<time_point> second_attempt_at(const std::string& service,
                                                              time_point sent) const;

    /// Takes a second attempt from the limit and the service's retry budget.
    [[nodiscard]] hedge_verdict take(retry_budget& budget);

    /// Gives back a second attempt that its endpoint has refused.
    void refund() { this->limit.refund(); }

    hedge_counters counters;

private:
    double share = 0;
    hedge_limit limit;
    std::map<std::string, response_times> observed;
};

} // namespace pomeloloft::sidecar
