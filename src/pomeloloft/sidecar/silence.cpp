#include "pomeloloft/sidecar/silence.hpp"

namespace pomeloloft::sidecar {

time_point give_up_at(time_point started, time_point deadline, std::chrono::microseconds max_service_time,
                      bool repeatable)
{
    if (!repeatable || deadline == no_deadline || max_service_time.count() == 0) {
        return deadline;
    }
    const time_point latest_repeat = deadline - max_service_time;
    return latest_repeat >= started + max_service_time ? latest_repeat : deadline;
}

} // namespace pomeloloft::sidecar
