#include "pomeloloft/sidecar/run_calls.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Times left are rounded to milliseconds on the way to the target and back.
constexpr milliseconds rounding{2};
/// Time that a request and its call may take between the target and its sidecar.
constexpr milliseconds max_handover{4};
/// Requests over which the share of a route is smoothed.
constexpr std::uint32_t max_samples = 64;
/// Calls can miss it only if their run has just ended.
constexpr double min_call_share = 0.9;
/// Routes that evidence is held of, so that a configuration of any size costs bounded memory.
constexpr std::size_t max_routes = 1024;

} // namespace

const std::string* find_parent_run(time_point deadline, const runs_in_progress& runs)
{
    const auto first = runs.lower_bound(deadline - max_handover);
    return first != runs.end() && first->first <= deadline + rounding ? &first->second : nullptr;
}

bool may_be_call(time_point deadline, const runs_in_progress& runs)
{
    return !runs.empty() && deadline <= runs.rbegin()->first + max_handover;
}

detected_call run_call_detector::record(const std::string& route, time_point deadline,
                                        const runs_in_progress& runs)
{
    if (this->evidence.size() >= max_routes && this->evidence.find(route) == this->evidence.end()) {
        this->evidence.clear();
    }
    const bool possible = may_be_call(deadline, runs);
    call_evidence& of_route = this->evidence[route];
    of_route.samples = of_route.samples < max_samples ? of_route.samples + 1 : max_samples;
    of_route.share += ((possible ? 1.0 : 0.0) - of_route.share) / of_route.samples;
    if (!possible || of_route.share < min_call_share) {
        return {};
    }
    return {true, find_parent_run(deadline, runs)};
}

} // namespace pomeloloft::sidecar
