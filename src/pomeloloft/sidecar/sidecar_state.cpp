#include "pomeloloft/sidecar/sidecar_state.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/sidecar/aperture.hpp"

namespace pomeloloft::sidecar {

std::shared_ptr<const routing::route_table> routes_of(const sidecar_state& shared)
{
    return shared.config.load();
}

std::uint64_t config_version(const sidecar_state& shared)
{
    const auto current = shared.config.load();
    return current ? current->version : 0;
}

std::vector<const member*> other_members(const sidecar_state& shared)
{
    std::vector<const member*> out;
    for (const auto& [node, entry] : shared.members.entries) {
        if (node != shared.local_settings.node && entry.value.state != member_state::gone) {
            out.push_back(&entry.value);
        }
    }
    return out;
}

bool adopt_config(sidecar_state& shared, std::shared_ptr<const routing::route_table> next)
{
    const std::uint64_t before = config_version(shared);
    if (shared.config.load() && next->version <= before) {
        return false;
    }
    log_info("config-applied", {{"version", next->version},
                                {"before", before},
                                {"routes", static_cast<std::uint64_t>(next->routes.size())}});
    shared.config.store(std::move(next));
    return true;
}

namespace {

/// Order of nodes on which all senders agree.
bool precedes(const std::string& a, const std::string& b)
{
    return std::pair(tree_weight(a), std::string_view(a)) < std::pair(tree_weight(b), std::string_view(b));
}

/// Position of this node among the members of its data centre, and their number.
std::pair<std::size_t, std::size_t> sender_position(const sidecar_state& shared)
{
    std::size_t position = 0;
    std::size_t senders = 0;
    for (const auto& [node, entry] : shared.members.entries) {
        if (entry.value.data_centre != shared.local_settings.data_centre ||
            entry.value.state == member_state::gone) {
            continue;
        }
        ++senders;
        position += precedes(node, shared.local_settings.node) ? 1 : 0;
    }
    return {position, senders};
}

/// Marks the endpoints outside this node's aperture: all but a few of its data centre, if it has more.
void mark_aperture(const sidecar_state& shared, endpoint_list& list)
{
    std::vector<candidate*> local;
    for (candidate& c : list.candidates) {
        if (c.same_data_centre) {
            local.push_back(&c);
        }
    }
    if (local.size() <= aperture_size) {
        return;
    }
    std::sort(local.begin(), local.end(),
              [](const candidate* a, const candidate* b) { return precedes(a->node, b->node); });
    for (candidate& c : list.candidates) {
        c.in_aperture = c.is_own_target;
    }
    const auto [position, senders] = sender_position(shared);
    for (const std::size_t i : aperture_positions(position, senders, local.size(), aperture_size)) {
        local[i]->in_aperture = true;
    }
}

} // namespace

void rebuild_endpoints(sidecar_state& shared)
{
    shared.endpoints.clear();
    for (const auto& [node, entry] : shared.members.entries) {
        const member& m = entry.value;
        const bool is_own_target = node == shared.local_settings.node;
        if (m.state != member_state::serving || m.service.empty()) {
            continue;
        }
        const auto address = net::parse_endpoint(m.peer_address, "member " + node);
        if (!address) {
            log_warning("member-ignored", {{"member", node}, {"reason", to_string(address.error())}});
            continue;
        }
        endpoint_list& list = shared.endpoints[m.service];
        list.candidates.push_back({node, is_own_target, m.data_centre == shared.local_settings.data_centre,
                                   &shared.endpoint_loads[node]});
        list.addresses.push_back(address.value());
    }
    for (auto& [service, list] : shared.endpoints) {
        mark_aperture(shared, list);
    }
}

retry_budget& retry_budget_of(sidecar_state& shared, const std::string& service)
{
    auto& budget = shared.retry_budgets[service];
    if (!budget) {
        const auto nodes = static_cast<double>(std::max<std::size_t>(shared.members.entries.size(), 1));
        const auto share = static_cast<std::int64_t>(shared.local_settings.retry_reserve / nodes);
        budget = std::make_unique<retry_budget>(std::max<std::int64_t>(share, 1));
    }
    return *budget;
}

} // namespace pomeloloft::sidecar
