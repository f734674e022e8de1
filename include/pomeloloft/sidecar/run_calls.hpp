#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Routes of the runs in progress at a target, by the deadline that was sent to the target.
using runs_in_progress = std::multimap<time_point, std::string>;

/// Finds a run that expires together with a request, apart from rounding and the time it takes to pass the
/// deadline on.
/// @return the route of the run; null if there is none. Valid until the run ends.
[[nodiscard]] const std::string* find_parent_run(time_point deadline, const runs_in_progress& runs);

/// Whether a request can be a call of a run in progress: a call expires with its run at the latest.
[[nodiscard]] bool may_be_call(time_point deadline, const runs_in_progress& runs);

/// Smoothed share of a route's requests that can be calls of runs in progress.
struct call_evidence {
    double share = 0;
    std::uint32_t samples = 0;
};

/// What is known about a request that was received on this VM.
struct detected_call {
    bool is_call = false;
    /// Route of the run that makes the call; null where several runs may make it. Valid until the run ends.
    const std::string* parent = nullptr;
};

/// Tells the calls that the target makes while it runs a request from the requests of other callers on the
/// VM. Other requests may also arrive while a run with a later deadline is in progress, so a request counts
/// as a call only if nearly all requests of its route did so. Belongs to one event loop.
class run_call_detector {
public:
    /// Records a request that was received on this VM.
    /// @param runs the runs in progress at the VM's own target.
    detected_call record(const std::string& route, time_point deadline, const runs_in_progress& runs);

    /// Number of routes that evidence is held of.
    [[nodiscard]] std::size_t routes() const { return this->evidence.size(); }

private:
    std::unordered_map<std::string, call_evidence> evidence;
};

} // namespace pomeloloft::sidecar
