#pragma once

#include <cstdint>
#include <string>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// What a node is good for at the moment.
enum class member_state : std::uint8_t { idle, serving, draining, gone };

/// Names of `member_state` in status output and metrics.
inline constexpr name_table<member_state, 4> member_state_names{{
    {member_state::idle, "idle"},
    {member_state::serving, "serving"},
    {member_state::draining, "draining"},
    {member_state::gone, "gone"},
}};

/// One node of the fleet: a proxy and, once announced, the target beside it.
struct member {
    std::string node;
    /// Grows with each start of the process.
    std::uint64_t incarnation = 0;
    /// Grows with each change the node makes to its own entry.
    std::uint64_t sequence = 0;
    member_state state = member_state::idle;
    std::string data_centre;
    /// Service of the target; empty without one.
    std::string service;
    /// Where other proxies send requests for the target.
    std::string peer_address;
    /// Where other proxies subscribe.
    std::string control_address;
    /// The node whose link keeps this one's lease; empty for a log reader.
    std::string owner;
    /// Id of the target's start, where targets tell one.
    std::string instance;
    /// When that start began, in Unix milliseconds; 0 when not told.
    std::int64_t instance_started_at_ms = 0;
    /// Bandwidth of the VM's link; 0 when not told.
    std::uint32_t link_mbps = 0;
    /// Whether the node reaches the platform's store.
    bool reaches_store = true;
};

/// Whether `a` replaces `b` for the same node: a total order, so merging commutes.
/// Within one (incarnation, sequence) the later `member_state` wins.
[[nodiscard]] bool supersedes(const member& a, const member& b);

/// Hash of every field, for digests.
[[nodiscard]] std::uint64_t hash_of(const member& m);

/// Place of a node in its data centre's distribution tree: smaller is nearer the log.
[[nodiscard]] std::uint64_t tree_weight(const std::string& node);

} // namespace pomeloloft
