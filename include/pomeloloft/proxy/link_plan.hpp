#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/mesh/tree.hpp"
#include "pomeloloft/sync/link_hub.hpp"

namespace pomeloloft {

/// A neighbour that was lost, until it is declared gone or heard of again.
struct suspicion {
    time_point deadline;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// A link to it could not be opened since, or it was this node's child and must come back by itself.
    bool confirmed = false;
};

/// What planning needs of the member table, kept until the table changes.
struct member_overview {
    /// Nodes of this data centre by growing tree weight.
    std::vector<member> ranked;
    /// Readers of every data centre.
    std::vector<member> reader_peers;
    /// Control addresses of live nodes.
    std::unordered_set<std::string> addresses;
    std::uint64_t as_of_change = 0;
    std::size_t as_of_size = 0;
};

/// What the link planner remembers from step to step.
struct link_planner_state {
    /// Addresses to join through, from the settings and the log.
    std::vector<std::string> bootstrap;
    std::size_t next_bootstrap = 0;
    time_point second_bootstrap_at;
    /// Whom to dial next when the parent is lost.
    std::size_t next_candidate = 0;
    /// Candidates that failed since the last established parent.
    std::size_t failed_candidates = 0;
    time_point dial_not_before;
    milliseconds backoff{0};
    /// When to look next whether the parent still suits this node's place in the tree.
    time_point next_parent_review;
    member_overview members;
    time_point next_orphan_check;
    std::map<std::string, time_point> peer_not_before;
    std::map<std::string, suspicion> suspects;
};

/// What a step is decided on.
struct link_inputs {
    const shared_state* state = nullptr;
    std::vector<link_summary> links;
    bool joined = false;
    /// More nodes must confirm the configuration before this one takes requests.
    bool needs_confirmation = false;
    time_point now;
    std::uint64_t random = 0;
};

/// One link to open.
struct dial_request {
    std::string address;
    std::string node;
    link_kind kind = link_kind::child;
};

/// What is to be done about the links.
struct link_plan {
    bool reader = false;
    /// No parent can be reached: read the log until one can.
    bool acting_reader = false;
    /// The node whose link keeps this node's lease; empty for readers.
    std::string parent;
    std::vector<dial_request> dials;
    std::vector<std::uint64_t> closes;
    std::vector<std::string> declare_gone;
};

/// Decides which links to open and close and whom to declare gone.
[[nodiscard]] link_plan plan_links(const link_inputs& inputs, link_planner_state& planner_state);

/// Notes that a link ended.
/// @param reached whether the remote ever answered on it.
void record_link_closed(link_planner_state& planner_state, const shared_state& state, const peer_link& ended,
                        bool reached, time_point now);

} // namespace pomeloloft
