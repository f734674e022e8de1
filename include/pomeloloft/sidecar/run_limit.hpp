#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Limit on the concurrent runs of one route.
struct run_limit {
    /// The limit when it was last lowered.
    double lowered_to = 0;
    time_point lowered_at;
};

/// Limits the concurrent runs of each route at a target by what the services behind it can finish: a run
/// whose call finds no room there is wasted. The limit is halved when a call is refused, at most once in the
/// time of a run, and grows by one run in that time (additive increase, multiplicative decrease). A route
/// without refused calls has no limit. Belongs to one event loop.
class run_limits {
public:
    /// Records that a call of a run was refused because the called service had no room.
    /// @param slots slots of the target.
    /// @param service_time mean time of a run.
    void record_refused_call(const std::string& route, std::uint32_t slots,
                             std::chrono::microseconds service_time, time_point now);

    /// Whether a further run of the route may begin.
    /// @param running runs of the route in progress.
    [[nodiscard]] bool admits(const std::string& route, std::uint32_t running, std::uint32_t slots,
                              std::chrono::microseconds service_time, time_point now) const;

    /// Forgets limits that have grown beyond the slots.
    void sweep(std::uint32_t slots, std::chrono::microseconds service_time, time_point now);

    /// Whether no route is limited.
    [[nodiscard]] bool empty() const { return this->limits.empty(); }

private:
    std::unordered_map<std::string, run_limit> limits;
};

/// A limit at `now`, in runs.
[[nodiscard]] double grown_limit(const run_limit& limit, std::chrono::microseconds service_time,
                                 time_point now);

} // namespace pomeloloft::sidecar
