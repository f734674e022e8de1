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

/// A neighbour whose link was lost and that is suspected to be gone, until it is declared gone or refutes the
/// suspicion by a newer entry or a new link.
struct suspicion {
    /// When the neighbour is declared gone if the suspicion is confirmed.
    time_point deadline;
    /// Incarnation and sequence of its entry when the link was lost.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// A new link to it could not be opened, or it was a child of this node: a child has to reconnect by
    /// itself.
    bool confirmed = false;
};

/// Data derived from the member table for planning, cached until the table changes.
struct member_overview {
    /// Nodes of this data centre in ascending order of tree weight.
    std::vector<member> ranked;
    /// Readers of every data centre.
    std::vector<member> reader_peers;
    /// Control addresses of live nodes.
    std::unordered_set<std::string> addresses;
    /// Last change and size of the table that this was derived from.
    std::uint64_t as_of_change = 0;
    std::size_t as_of_size = 0;
};

/// State that the link planner keeps between steps.
struct link_planner_state {
    /// Addresses to join through, from the settings and the log.
    std::vector<std::string> bootstrap;
    std::size_t next_bootstrap = 0;
    /// Earliest time at which a second bootstrap link may be opened while the first is still open.
    time_point second_bootstrap_at;
    /// Index of the parent candidate to dial next after the parent is lost.
    std::size_t next_candidate = 0;
    /// Failed dials since the last established parent link.
    std::size_t failed_candidates = 0;
    /// Earliest time of the next dial of a bootstrap address or parent candidate.
    time_point dial_not_before;
    milliseconds backoff{0};
    /// When to check next whether the parent still suits this node's place in the tree.
    time_point next_parent_review;
    member_overview members;
    time_point next_orphan_check;
    /// Earliest time of the next dial of a peer link, by node name or bootstrap address.
    std::map<std::string, time_point> peer_not_before;
    /// Suspected neighbours by node name.
    std::map<std::string, suspicion> suspects;
};

/// Inputs of one planning step.
struct link_inputs {
    const sync_state* state = nullptr;
    std::vector<link_summary> links;
    bool joined = false;
    /// Other nodes must confirm the configuration before this one accepts requests, as the log is
    /// unavailable.
    bool needs_confirmation = false;
    time_point now;
    /// Random number for jitter.
    std::uint64_t random = 0;
};

/// A link to open.
struct dial_request {
    std::string address;
    /// Name of the remote node; empty if only its address is known.
    std::string node;
    link_kind kind = link_kind::child;
};

/// Links to open and close, and members to declare gone.
struct link_plan {
    /// This node is an assigned log reader of its data centre.
    bool reader = false;
    /// This node reads the log for now, as no parent is reachable or the distribution mode is `poll`.
    bool acting_reader = false;
    /// The node whose link renews this node's lease; empty for readers.
    std::string parent;
    std::vector<dial_request> dials;
    /// Ids of links to close.
    std::vector<std::uint64_t> closes;
    /// Nodes to declare gone.
    std::vector<std::string> declare_gone;
};

/// Decides which links to open and close, and which members to declare gone.
[[nodiscard]] link_plan plan_links(const link_inputs& inputs, link_planner_state& planner_state);

/// Records that a link has closed; the remote node becomes suspected if it is in this data centre.
/// @param reached whether the remote node had sent its hello frame.
void record_link_closed(link_planner_state& planner_state, const sync_state& state, const link_state& ended,
                        bool reached, time_point now);

} // namespace pomeloloft
