#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft {

/// Number of nodes in each data centre that read the log.
inline constexpr std::size_t readers_per_data_centre = 2;

/// Returns the nodes of one data centre that are not gone, sorted by ascending tree weight.
[[nodiscard]] std::vector<member> ranked_members(const member_table& table, const std::string& data_centre);

/// Whether a node is one of the log readers of its data centre.
/// @param ranked nodes of the data centre, from `ranked_members`.
[[nodiscard]] bool is_reader(const std::vector<member>& ranked, const std::string& node);

/// Returns the possible parents of a node in order of preference: its planned parent, then the nodes that
/// follow it in rank, then the readers. Every candidate has a smaller weight than the node, so that links
/// never form a cycle.
/// @param fan_out planned number of children of a parent.
[[nodiscard]] std::vector<member> parent_candidates(const std::vector<member>& ranked,
                                                    const std::string& node, std::size_t fan_out);

/// Whether a node may keep its current parent. A reader keeps exactly its planned children. The rank of any
/// other parent may differ by one from that of the planned parent, so that nodes that join or leave elsewhere
/// in the order move few links.
[[nodiscard]] bool is_acceptable_parent(const std::vector<member>& ranked, const std::string& node,
                                        const std::string& parent, std::size_t fan_out);

/// Returns the readers of all data centres except the node itself. A reader exchanges membership entries with
/// them.
[[nodiscard]] std::vector<member> reader_peers(const member_table& table, const std::string& node);

} // namespace pomeloloft
