#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/traffic/response_times.hpp"
#include "pomeloloft/traffic/retry.hpp"

namespace pomeloloft {

/// Whether a request that has no response yet is sent to a second endpoint (a hedged request), or why not.
enum class hedge_verdict : std::uint8_t {
    send,
    /// The caller has closed its connection.
    caller_gone,
    /// The request may be what crashed a target.
    suspect,
    /// The route allows no further attempt.
    attempts_used,
    /// The second endpoint is not expected to respond by the deadline.
    too_late,
    /// Every other endpoint is known to be full.
    no_room,
    /// The limit that the operators set is used up.
    over_limit,
    /// The retry budget is needed for repeats.
    budget_reserved,
};

/// Names of `hedge_verdict` in metrics.
inline constexpr name_table<hedge_verdict, 8> hedge_verdict_names{{
    {hedge_verdict::send, "send"},
    {hedge_verdict::caller_gone, "caller-gone"},
    {hedge_verdict::suspect, "suspect"},
    {hedge_verdict::attempts_used, "attempts-used"},
    {hedge_verdict::too_late, "too-late"},
    {hedge_verdict::no_room, "no-room"},
    {hedge_verdict::over_limit, "over-limit"},
    {hedge_verdict::budget_reserved, "budget-reserved"},
}};

/// What a second attempt of an idempotent request depends on, when the first has had no response for long.
struct hedge_facts {
    bool caller_connected = true;
    bool crash_suspect = false;
    /// Attempts that reached a target, the one in progress included, and the most that the route allows.
    std::uint32_t dispatches = 1;
    std::uint32_t max_dispatches = 1;
    /// Whether there is another endpoint that is not known to be full.
    bool has_free_slot = false;
    /// Expected time until that endpoint responds.
    milliseconds expected_response{0};
    time_point deadline = no_deadline;
};

/// Decides on a second attempt, limits aside.
[[nodiscard]] hedge_verdict decide_hedge(const hedge_facts& facts, time_point now);

/// Limits second attempts to a share of the requests of this process. It starts with none, so that the share
/// holds for the fleet whatever processes restart or cannot reach each other.
class hedge_limit {
public:
    /// @param limit_share second attempts by request; 0 for none.
    explicit hedge_limit(double limit_share) : share(limit_share) {}

    /// Counts a request.
    void deposit();

    /// Takes a second attempt.
    /// @return whether the limit allows it.
    [[nodiscard]] bool withdraw();

    /// Gives back a second attempt that reached no target.
    void refund();

private:
    double share = 0;
    double available = 0;
};

/// Takes a second attempt from the limit and from the retry budget, which must be full: repeats of failed
/// requests come first.
/// @param cost what the attempt costs in the retry budget.
/// @return `send`, or which of the two forbids it.
[[nodiscard]] hedge_verdict take_hedge(hedge_limit& limit, retry_budget& budget, std::int64_t cost);

/// Number of responses by which the delay is determined, so that the slowest ones are a few.
[[nodiscard]] std::uint32_t hedge_window(double limit_share);

/// Time at which a request gets a second attempt: when it has waited longer than all but the share of
/// requests that the limit allows. An earlier time would spend the limit on requests that are not among the
/// slowest.
/// @return nothing while too few responses are known.
[[nodiscard]] std::optional<time_point> hedge_time(const response_times& observed, double limit_share,
                                                   time_point sent);

} // namespace pomeloloft
