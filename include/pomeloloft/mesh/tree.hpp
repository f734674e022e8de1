#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft {

/// Log readers in each data centre.
inline constexpr std::size_t readers_per_data_centre = 2;

/// Nodes of one data centre that are not gone, by growing tree weight.
[[nodiscard]] std::vector<member> ranked_members(const member_table& table, const std::string& data_centre);

/// Whether a node is one of its data centre's log readers.
[[nodiscard]] bool is_reader(const std::vector<member>& ranked, const std::string& node);

/// Parents for a node, best first: its place in the tree, then the rest of that level, then the readers.
/// Every candidate has a smaller weight than the node, so links never form a cycle.
/// @param fan_out children a parent is planned for.
[[nodiscard]] std::vector<member> parent_candidates(const std::vector<member>& ranked,
                                                    const std::string& node, std::size_t fan_out);

/// Whether a node may stay below its parent: a reader's children are exactly those planned for it, while
/// others may be one place off, so that a coming or going elsewhere in the order moves few links.
[[nodiscard]] bool is_acceptable_parent(const std::vector<member>& ranked, const std::string& node,
                                        const std::string& parent, std::size_t fan_out);

/// The readers of every data centre other than the node's own entry: whom a reader exchanges entries with.
[[nodiscard]] std::vector<member> reader_peers(const member_table& table, const std::string& node);

} // namespace pomeloloft
