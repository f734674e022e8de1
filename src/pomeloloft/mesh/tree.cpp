#include "pomeloloft/mesh/tree.hpp"

#include <algorithm>
#include <map>

namespace pomeloloft {
namespace {

void sort_by_weight(std::vector<member>& members)
{
    const auto has_smaller_weight = [](const member& a, const member& b) {
        return tree_weight(a.node) < tree_weight(b.node);
    };
    std::sort(members.begin(), members.end(), has_smaller_weight);
}

std::size_t rank_of(const std::vector<member>& ranked, const std::string& node)
{
    const auto is_node = [&node](const member& m) { return m.node == node; };
    return static_cast<std::size_t>(std::find_if(ranked.begin(), ranked.end(), is_node) - ranked.begin());
}

/// Rank of the planned parent of a node that is not a reader; the tree is laid out like a heap in which each
/// node has `fan_out` children.
std::size_t parent_rank(std::size_t rank, std::size_t fan_out)
{
    return (rank - readers_per_data_centre) / fan_out;
}

} // namespace

std::vector<member> ranked_members(const member_table& table, const std::string& data_centre)
{
    std::vector<member> ranked;
    for (const auto& [node, entry] : table.entries) {
        if (entry.value.data_centre == data_centre && entry.value.state != member_state::gone) {
            ranked.push_back(entry.value);
        }
    }
    sort_by_weight(ranked);
    return ranked;
}

bool is_reader(const std::vector<member>& ranked, const std::string& node)
{
    return rank_of(ranked, node) < std::min(readers_per_data_centre, ranked.size());
}

std::vector<member> parent_candidates(const std::vector<member>& ranked, const std::string& node,
                                      std::size_t fan_out)
{
    const std::size_t rank = rank_of(ranked, node);
    if (rank < readers_per_data_centre || rank >= ranked.size()) {
        return {};
    }
    std::vector<member> candidates;
    const std::size_t planned_rank = parent_rank(rank, fan_out);
    for (std::size_t step = 0; step < fan_out && planned_rank + step < rank; ++step) {
        candidates.push_back(ranked[planned_rank + step]);
    }
    for (std::size_t reader = 0; reader < std::min(readers_per_data_centre, planned_rank); ++reader) {
        candidates.push_back(ranked[reader]);
    }
    return candidates;
}

bool is_acceptable_parent(const std::vector<member>& ranked, const std::string& node,
                          const std::string& parent, std::size_t fan_out)
{
    const std::size_t rank = rank_of(ranked, node);
    const std::size_t current_rank = rank_of(ranked, parent);
    if (rank < readers_per_data_centre || rank >= ranked.size() || current_rank >= rank) {
        return false;
    }
    const std::size_t expected_rank = parent_rank(rank, fan_out);
    const std::size_t rank_difference =
        current_rank > expected_rank ? current_rank - expected_rank : expected_rank - current_rank;
    return rank_difference <= (current_rank < readers_per_data_centre ? 0 : 1);
}

std::vector<member> reader_peers(const member_table& table, const std::string& node)
{
    std::map<std::string, std::vector<member>> by_data_centre;
    for (const auto& [name, entry] : table.entries) {
        if (entry.value.state != member_state::gone) {
            by_data_centre[entry.value.data_centre].push_back(entry.value);
        }
    }
    std::vector<member> peers;
    for (auto& [unused, members] : by_data_centre) {
        sort_by_weight(members);
        members.resize(std::min(readers_per_data_centre, members.size()));
        std::copy_if(members.begin(), members.end(), std::back_inserter(peers),
                     [&node](const member& m) { return m.node != node; });
    }
    return peers;
}

} // namespace pomeloloft
