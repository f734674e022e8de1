#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft::sidecar {

/// Returns the nodes that grant the credits of an organisation, in an order that all nodes with the same
/// members agree on: rendezvous hashing over the nodes whose links are not much narrower than the widest.
/// Nodes that do not respond remain holders of their part, so that no part is granted twice.
/// @param count number of holders; fewer are returned if fewer nodes are known.
[[nodiscard]] std::vector<std::string> quota_holders(const member_table& members,
                                                     const std::string& organisation, std::size_t count);

/// Position of a node among all nodes, in an order for an organisation that all nodes agree on.
[[nodiscard]] std::size_t quota_rank(const member_table& members, const std::string& organisation,
                                     const std::string& node);

} // namespace pomeloloft::sidecar
