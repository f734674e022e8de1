#include "pomeloloft/sidecar/rollout_steps.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"

namespace pomeloloft::sidecar {
namespace {

/// One step: the part of the roll-out's time at which it begins, and its share in units of the largest
/// exposed share.
struct planned_step {
    double begins;
    double units;
};

/// The exposure before the last step sums up to 0.7 of the largest exposed share.
constexpr std::array<planned_step, 3> planned_steps{{{0.0, 0.5}, {0.5, 1.5}, {0.6, 3.0}}};
/// Part of the time at which the new version gets all requests. What is left must suffice for the requests
/// at the old targets to end.
constexpr double full_begins = 0.7;
/// Part of the time at which requests at old targets no longer delay the completion.
constexpr double completion_begins = 0.92;
/// Shortest step, as a part of the time, where steps were missed.
constexpr double min_step = 0.06;
/// Time in which all nodes learn a step and requests on their way have arrived.
constexpr milliseconds step_arrival_time{800};
constexpr milliseconds min_report_interval{100};
constexpr milliseconds max_report_interval{1000};
/// Reports within the time for a roll-back.
constexpr int reports_per_rollback = 10;

std::uint32_t planned_share(const planned_step& step, double max_exposed_share)
{
    const double share = std::min(step.units * max_exposed_share, 1.0) * full_share;
    return std::max(static_cast<std::uint32_t>(share), 1U);
}

/// The share after the current one, if its time has come; otherwise the current one.
std::uint32_t next_share(const rollout_facts& facts, double elapsed, double step_age)
{
    const rollout& r = facts.state;
    if (r.share > 0 && step_age < min_step) {
        return r.share;
    }
    for (const planned_step& step : planned_steps) {
        const std::uint32_t share = planned_share(step, facts.max_exposed_share);
        if (share > r.share) {
            return elapsed >= step.begins ? share : r.share;
        }
    }
    return elapsed >= full_begins ? full_share : r.share;
}

} // namespace

rollout_step next_rollout_step(const rollout_facts& facts, time_point now)
{
    const rollout& r = facts.state;
    if (is_final(r)) {
        return {r.phase, r.share};
    }
    if (r.halted || facts.complaint != rollout_complaint::none) {
        return {rollout_phase::rolled_back, 0};
    }
    const rollout_step stay{r.phase, r.share};
    const std::uint32_t heard = facts.coverage.next_targets + facts.coverage.current_targets;
    if (2 * heard <= facts.serving_targets) {
        return stay;
    }
    const auto whole = std::chrono::duration<double>(r.deadline - r.started_at);
    const double elapsed = std::chrono::duration<double>(now - r.started_at) / whole;
    const double step_age = std::chrono::duration<double>(now - r.changed_at) / whole;
    if (r.phase == rollout_phase::ordered) {
        return {rollout_phase::running, planned_share(planned_steps.front(), facts.max_exposed_share)};
    }
    if (facts.coverage.next_targets == 0) {
        return stay;
    }
    if (r.share < full_share) {
        return {rollout_phase::running, next_share(facts, elapsed, step_age)};
    }
    const bool arrived = now - r.changed_at >= step_arrival_time;
    const bool old_targets_idle = facts.coverage.current_in_flight == 0;
    return arrived && (old_targets_idle || elapsed >= completion_begins)
               ? rollout_step{rollout_phase::completed, full_share}
               : stay;
}

milliseconds report_interval(milliseconds rollback_time)
{
    return std::clamp(rollback_time / reports_per_rollback, min_report_interval, max_report_interval);
}

std::vector<std::string> rollout_deciders(const member_table& members, const std::string& service,
                                          const std::string& last_decider)
{
    std::set<std::string> data_centres;
    for (const auto& [node, entry] : members.entries) {
        data_centres.insert(entry.value.data_centre);
    }
    std::set<std::string> readers;
    for (const std::string& data_centre : data_centres) {
        for (std::string& reader : config_readers(members, data_centre)) {
            readers.insert(std::move(reader));
        }
    }
    std::vector<std::string> out(readers.begin(), readers.end());
    // Services differ in the order, so that their roll-outs do not meet at one node.
    const std::uint64_t seed = hash_bytes(service);
    std::sort(out.begin(), out.end(), [seed](const std::string& a, const std::string& b) {
        return hash_bytes(a, seed) < hash_bytes(b, seed);
    });
    if (!last_decider.empty()) {
        std::erase(out, last_decider);
        out.insert(out.begin(), last_decider);
    }
    return out;
}

} // namespace pomeloloft::sidecar
