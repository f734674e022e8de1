#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "pomeloloft/traffic/crash_evidence.hpp"

namespace pomeloloft::sidecar {

/// Evidence that the target responds, and the crashes observed.
struct target_liveness {
    /// Last response, accepted connection or report of a new start.
    time_point last_alive_at;
    time_point last_crash_at;
    std::uint64_t crashes = 0;
};

/// Records that the target has crashed while it ran a request.
/// @return the number of the crash: the same for all requests lost in it, a new one if the target has been
/// alive since the last.
std::uint64_t record_target_crash(target_liveness& target, time_point now);

/// A request that was in progress at the target when that crashed.
struct lost_run {
    std::uint64_t fingerprint = 0;
    /// Result of `record_target_crash`.
    std::uint64_t crash = 0;
};

/// Whether a crash counts against a request: not if the target has run the same request to a successful end
/// since the crash before.
[[nodiscard]] bool counts_against(const lost_run& lost, const survived_requests& survived, time_point now);

/// Records the status with which the target has responded to a request; a success clears the request.
/// @return whether the request was a suspect until now.
bool record_status(const target_liveness& target, survived_requests& survived, crash_suspects& suspects,
                   std::uint64_t fingerprint, int status, time_point now);

/// Result of a check whether the target still runs.
enum class target_check : std::uint8_t { running, ended };

/// How a connection to the target, opened after an exchange was lost, went.
enum class connect_check : std::uint8_t {
    /// Accepted, and still open after a while.
    stayed_open,
    /// Accepted and closed at once: the target is ending, or at its limit of connections.
    closed,
    refused,
    timed_out,
};

/// What is known of the target after an exchange was lost.
struct loss_evidence {
    connect_check connection = connect_check::stayed_open;
    /// The target has responded to another request since.
    bool has_responded_since = false;
    /// Exchanges that began before the loss are still in progress. They end with the target's process.
    bool has_older_exchanges = false;
};

/// Decides whether the target has ended. A target that is busy or at its limit of connections also refuses
/// further ones, but its other connections stay open.
[[nodiscard]] target_check judge_loss(const loss_evidence& evidence);

/// Counters of a gate.
struct gate_counters {
    /// Crashes of the target observed by requests on new and on reused connections.
    std::uint64_t crashes_on_new_connections = 0;
    std::uint64_t crashes_on_reused_connections = 0;
    /// Crashes that did not count against a request, as the target had survived it before.
    std::uint64_t crashes_not_counted = 0;
    std::uint64_t suspects_cleared = 0;
    /// Requests withheld from the target by the reason.
    std::uint64_t withheld_abandoned = 0;
    std::uint64_t withheld_quarantined = 0;
    /// Requests given up because the target had not answered in time for a repeat.
    std::uint64_t given_up = 0;
    /// Requests refused because the services that their runs call have no room.
    std::uint64_t refused_for_calls = 0;
    /// Exchanges that ended because the target sent no valid response.
    std::uint64_t invalid_responses = 0;
};

} // namespace pomeloloft::sidecar
