#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/net/client_watch.hpp"
#include "pomeloloft/sidecar/settings.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "pomeloloft/traffic/dispatch.hpp"

namespace pomeloloft::sidecar {

/// Outcome of one attempt to run a request at a target.
enum class attempt_outcome : std::uint8_t {
    /// The target's complete response was received, whatever its status.
    answered,
    /// Not sent to the target: no slot was free in time, or the deadline had passed.
    refused,
    /// Not sent: the target is shutting down, unknown or unreachable.
    unavailable,
    /// The target reported that it did not run the request.
    rejected,
    /// Sent, but no valid response was received; whether the request ran is unknown.
    lost,
    /// No response by the deadline; the request may have run.
    timed_out,
    /// Cancelled because the caller closed its connection; the request may have run.
    cancelled,
    /// Not sent: the caller had closed its connection.
    abandoned,
    /// Not sent: targets have crashed while they ran the request.
    quarantined,
};

/// Whether an attempt with this outcome was not sent to a target.
[[nodiscard]] bool was_withheld(attempt_outcome outcome);

/// Names of `attempt_outcome` in headers between sidecars, in logs and in metrics.
inline constexpr name_table<attempt_outcome, 9> attempt_outcome_names{{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::refused, "refused"},
    {attempt_outcome::unavailable, "unavailable"},
    {attempt_outcome::rejected, "rejected"},
    {attempt_outcome::lost, "lost"},
    {attempt_outcome::timed_out, "timed-out"},
    {attempt_outcome::cancelled, "cancelled"},
    {attempt_outcome::abandoned, "abandoned"},
    {attempt_outcome::quarantined, "quarantined"},
}};

/// Parameters of one attempt to run a request at a target.
struct target_call {
    std::string service;
    /// Name of the request's route; empty if it is not known.
    std::string route;
    std::uint32_t priority = 0;
    time_point deadline = no_deadline;
    milliseconds max_wait{0};
    bool idempotent = false;
    /// Whether the sender repeats the request at another target if this attempt is given up.
    bool repeatable = false;
    /// The caller, or the sidecar that forwards its request; null if the request has none.
    net::client_watch* caller = nullptr;
};

/// Result of one attempt to run a request at a target.
struct target_call_result {
    attempt_outcome outcome = attempt_outcome::unavailable;
    net::response response;
    /// Expected wait for a slot at the endpoint.
    milliseconds wait{0};
    /// Detail for the log; empty where the outcome is sufficient.
    std::string_view detail;
    /// Identifies the crash of the target while it ran the request; empty if it is not known to have crashed.
    std::string crash;
    /// The sidecar of the target did not respond in time.
    bool peer_timed_out = false;
    /// Time until which a run that was given up may go on.
    time_point may_run_until;
};

/// Fingerprint for `crash_suspects` of a request that states the service of its caller.
[[nodiscard]] std::uint64_t fingerprint_of(const net::request& sent, const header_names& names);

/// Decides whether a request may be written now to another sidecar or to the target.
[[nodiscard]] dispatch_verdict decide_dispatch(const net::request& sent, const target_call& call,
                                               const crash_suspects& suspects, const header_names& names);

/// Outcome of an attempt that was withheld.
[[nodiscard]] attempt_outcome outcome_of(dispatch_verdict withheld);

} // namespace pomeloloft::sidecar
