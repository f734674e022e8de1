#include "pomeloloft/sidecar/crash_check.hpp"

namespace pomeloloft::sidecar {

std::uint64_t record_target_crash(target_liveness& target, time_point now)
{
    if (target.crashes == 0 || target.last_alive_at > target.last_crash_at) {
        ++target.crashes;
    }
    target.last_crash_at = now;
    return target.crashes;
}

bool counts_against(const lost_run& lost, const survived_requests& survived, time_point now)
{
    return !survived.contains(lost.fingerprint, lost.crash - 1, now);
}

bool record_status(const target_liveness& target, survived_requests& survived, crash_suspects& suspects,
                   std::uint64_t fingerprint, int status, time_point now)
{
    if (shows_survival(status)) {
        survived.add(fingerprint, target.crashes, now);
    }
    return clear_by_response(suspects, fingerprint, status, now);
}

target_check judge_loss(const loss_evidence& evidence)
{
    if (evidence.has_responded_since) {
        return target_check::running;
    }
    switch (evidence.connection) {
    case connect_check::stayed_open:
    case connect_check::closed:
        return target_check::running;
    case connect_check::refused:
        return evidence.has_older_exchanges ? target_check::running : target_check::ended;
    case connect_check::timed_out:
        // The connections of a VM that has lost power stay open.
        break;
    }
    return target_check::ended;
}

} // namespace pomeloloft::sidecar
