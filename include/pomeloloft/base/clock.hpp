#pragma once

#include <chrono>
#include <cstdint>

namespace pomeloloft {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using std::chrono::milliseconds;

/// The latest representable time point, used where there is no deadline.
inline constexpr time_point no_deadline = time_point::max();

/// Milliseconds since the Unix epoch by the system clock, for stored records and audit lines only.
[[nodiscard]] inline std::int64_t wall_clock_ms()
{
    using std::chrono::duration_cast;
    return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Time left until `deadline`, never negative.
[[nodiscard]] inline milliseconds remaining(time_point deadline, time_point now)
{
    using std::chrono::duration_cast;
    return deadline <= now ? milliseconds{0} : duration_cast<milliseconds>(deadline - now);
}

} // namespace pomeloloft
