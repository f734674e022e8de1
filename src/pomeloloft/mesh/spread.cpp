#include "pomeloloft/mesh/spread.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace pomeloloft {
namespace {

/// A link this many times narrower than the best one of its data centre is not used to relay while others
/// are available.
constexpr std::uint32_t narrow_link_factor = 4;
constexpr std::uint64_t min_remote_exchange_period = 4;

/// Suitability as relay; lower is better.
using relay_rank = std::tuple<bool, bool, bool, std::uint64_t>;

std::uint32_t best_link_mbps(const std::vector<const member*>& members)
{
    std::uint32_t best = 0;
    for (const member* m : members) {
        best = std::max(best, m->link_mbps);
    }
    return best;
}

std::vector<const member*> members_of(const member_table& members, const std::string& data_centre)
{
    std::vector<const member*> out;
    for (const auto& [node, entry] : members.entries) {
        if (entry.value.data_centre == data_centre && entry.value.state != member_state::gone) {
            out.push_back(&entry.value);
        }
    }
    return out;
}

std::set<std::string> other_data_centres(const member_table& members, const std::string& own)
{
    std::set<std::string> out;
    for (const auto& [node, entry] : members.entries) {
        if (entry.value.data_centre != own && entry.value.state != member_state::gone) {
            out.insert(entry.value.data_centre);
        }
    }
    return out;
}

/// The first `count` nodes of `order` without `excluded`, rotated left by `shift`.
std::vector<std::string> take_from(std::vector<std::string> order, std::size_t shift, std::size_t count,
                                   const std::string& excluded)
{
    std::erase(order, excluded);
    order.resize(std::min(order.size(), count));
    if (!order.empty()) {
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(shift % order.size()),
                    order.end());
    }
    return order;
}

spread_batch local_batch(const member_table& members, const member& self, const pending_spread& pending,
                         const unresponsive_nodes& unresponsive, time_point now)
{
    spread_batch out;
    for (const auto& [node, scope] : pending.entries) {
        if (const member* changed = find_member(members, node)) {
            out.entries.push_back(*changed);
        }
    }
    for (const member* m : members_of(members, self.data_centre)) {
        const bool has_it_already = pending.entries.size() == 1 && pending.entries.contains(m->node) &&
                                    pending.observations == spread_scope::none;
        if (m->node != self.node && !has_it_already && !unresponsive.contains(m->node, now)) {
            out.receivers.push_back(m->node);
        }
    }
    return out;
}

} // namespace

void unresponsive_nodes::record_failure(const std::string& node, time_point now)
{
    constexpr std::uint32_t max_doublings = 8;
    backoff& of_node = this->nodes[node];
    const auto pause = this->options.initial_backoff * (1U << std::min(of_node.failures, max_doublings));
    of_node.until = now + std::min(pause, this->options.max_backoff);
    ++of_node.failures;
}

bool unresponsive_nodes::contains(const std::string& node, time_point now) const
{
    const auto found = this->nodes.find(node);
    return found != this->nodes.end() && now < found->second.until;
}

std::vector<std::string> relay_order(const member_table& members, const std::string& data_centre,
                                     const unresponsive_nodes& unresponsive, time_point now)
{
    const std::vector<const member*> eligible = members_of(members, data_centre);
    const std::uint32_t best = best_link_mbps(eligible);
    std::vector<std::pair<relay_rank, const member*>> ranked;
    ranked.reserve(eligible.size());
    for (const member* m : eligible) {
        const bool narrow = m->link_mbps * narrow_link_factor < best;
        ranked.push_back({{unresponsive.contains(m->node, now), m->state == member_state::draining, narrow,
                           tree_weight(m->node)},
                          m});
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (const auto& [rank, m] : ranked) {
        out.push_back(m->node);
    }
    return out;
}

std::vector<std::string> announcement_order(const member_table& members, const member& self,
                                            const unresponsive_nodes& unresponsive, time_point now,
                                            const spread_options& options)
{
    std::vector<std::string> out = take_from(relay_order(members, self.data_centre, unresponsive, now), 0,
                                             options.max_relay_candidates, self.node);
    for (const std::string& data_centre : other_data_centres(members, self.data_centre)) {
        const auto remote = take_from(relay_order(members, data_centre, unresponsive, now), 0,
                                      options.relays_per_data_centre, self.node);
        out.insert(out.end(), remote.begin(), remote.end());
    }
    return out;
}

std::vector<spread_batch> plan_spread(const member_table& members, const member& self,
                                      const pending_spread& pending, const unresponsive_nodes& unresponsive,
                                      time_point now, const spread_options& options)
{
    std::vector<spread_batch> out;
    if (pending.empty()) {
        return out;
    }
    out.push_back(local_batch(members, self, pending, unresponsive, now));
    spread_batch remote;
    remote.scope = spread_scope::data_centre;
    for (const auto& [node, scope] : pending.entries) {
        const member* changed = find_member(members, node);
        if (changed != nullptr && scope == spread_scope::fleet) {
            remote.entries.push_back(*changed);
        }
    }
    if (remote.entries.empty() && pending.observations != spread_scope::fleet) {
        return out;
    }
    // The relays of this data centre begin with different relays of the others, so that the loss of one
    // relay anywhere leaves a path.
    const std::vector<std::string> own_order = relay_order(members, self.data_centre, unresponsive, now);
    const auto own_position = static_cast<std::size_t>(
        std::find(own_order.begin(), own_order.end(), self.node) - own_order.begin());
    for (const std::string& data_centre : other_data_centres(members, self.data_centre)) {
        remote.candidates =
            take_from(relay_order(members, data_centre, unresponsive, now),
                      own_position % options.relays_per_data_centre, options.max_relay_candidates, self.node);
        out.push_back(remote);
    }
    return out;
}

std::uint64_t remote_exchange_period(std::size_t local_members)
{
    return std::max<std::uint64_t>(min_remote_exchange_period, local_members);
}

} // namespace pomeloloft
