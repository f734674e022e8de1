#pragma once

#include <cstdint>
#include <string>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// State of a node, in order of precedence: within one sequence number, the later state wins.
enum class member_state : std::uint8_t { idle, serving, draining, gone };

/// Names of `member_state` in status output and metrics.
inline constexpr name_table<member_state, 4> member_state_names{{
    {member_state::idle, "idle"},
    {member_state::serving, "serving"},
    {member_state::draining, "draining"},
    {member_state::gone, "gone"},
}};

/// Membership entry of one node: a proxy and, once it has registered, its target.
struct member {
    std::string node;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each change that the node makes to its own entry.
    std::uint64_t sequence = 0;
    member_state state = member_state::idle;
    std::string data_centre;
    /// Service of the target; empty without a target.
    std::string service;
    /// Address to which other proxies send requests for the target.
    std::string peer_address;
    /// Address of the control port, to which other proxies connect for configuration and membership.
    std::string control_address;
    /// Node that holds the lease of this one through the link between them; empty for a log reader.
    std::string owner;
    /// Id of the current run of the target, if the target reports one.
    std::string instance;
    /// Start of that run, in Unix milliseconds; 0 if not reported.
    std::int64_t instance_started_at_ms = 0;
    /// Software version of the target; empty where roll-outs are off or no target has reported.
    std::string version;
    /// Bandwidth of the network link of the VM, in Mbit/s; 0 if not reported.
    std::uint32_t link_mbps = 0;
    /// Whether the node can reach the platform's store.
    bool reaches_store = true;
};

/// Whether `a` replaces `b` for the same node. This is a total order, so that merging is commutative. Entries
/// with the same incarnation and sequence are ordered by `member_state`; the later enumerator wins.
[[nodiscard]] bool supersedes(const member& a, const member& b);

/// Hash of all fields, for digests.
[[nodiscard]] std::uint64_t hash_of(const member& m);

/// Hash that determines the position of a node in the distribution tree of its data centre; nodes with
/// smaller values are closer to the log.
[[nodiscard]] std::uint64_t tree_weight(const std::string& node);

} // namespace pomeloloft
