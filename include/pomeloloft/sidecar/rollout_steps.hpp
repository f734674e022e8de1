#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomeloloft/mesh/member_table.hpp"
#include "pomeloloft/sidecar/rollout.hpp"
#include "pomeloloft/sidecar/rollout_evidence.hpp"

namespace pomeloloft::sidecar {

/// What decides about the next step of a roll-out.
struct rollout_facts {
    rollout state;
    rollout_complaint complaint = rollout_complaint::none;
    rollout_coverage coverage;
    /// Targets of the service that other sidecars send requests to.
    std::uint32_t serving_targets = 0;
    /// Largest share of requests that an unproven version may get, of all that reach the service between the
    /// order and its deadline.
    double max_exposed_share = 0;
};

/// Phase and share that a roll-out should have.
struct rollout_step {
    rollout_phase phase = rollout_phase::ordered;
    std::uint32_t share = 0;

    bool operator==(const rollout_step&) const = default;
};

/// Decides the next step. A small share goes to the new version for half of the time, so that a version that
/// turns bad late is found before it gets more; then two larger shares show it under load; then it gets all
/// requests, and completes when none is left at the old targets. The exposure before the last step stays
/// below `max_exposed_share` of all requests under steady load.
///
/// A bad version is rolled back at once. A share is only raised by a node that hears from most targets, as
/// it would miss bad answers otherwise.
[[nodiscard]] rollout_step next_rollout_step(const rollout_facts& facts, time_point now);

/// Interval at which targets' sidecars report, so that a version is rolled back in time although a report is
/// lost and its decider has to be replaced.
[[nodiscard]] milliseconds report_interval(milliseconds rollback_time);

/// Nodes that may decide about a service's roll-out, in this order: the one that decided last, then those
/// that read the store, which have wide links and reach it.
[[nodiscard]] std::vector<std::string>
rollout_deciders(const member_table& members, const std::string& service, const std::string& last_decider);

} // namespace pomeloloft::sidecar
