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
