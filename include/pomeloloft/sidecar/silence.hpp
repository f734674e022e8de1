#pragma once

#include <chrono>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Time at which a request that its target has not answered is given up, so that a repeat at another target
/// can still end by the deadline. A run gets at least the time that few runs exceed.
/// @param max_service_time time that few runs exceed; zero while no run was observed.
/// @param repeatable whether the sender would repeat the request.
/// @return the deadline if there is no time for a repeat, or none would be made.
[[nodiscard]] time_point give_up_at(time_point started, time_point deadline,
                                    std::chrono::microseconds max_service_time, bool repeatable);

} // namespace pomeloloft::sidecar
