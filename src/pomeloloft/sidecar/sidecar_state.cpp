#include "pomeloloft/sidecar/sidecar_state.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"

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
}

retry_budget& retry_budget_of(sidecar_state& shared, const std::string& service)
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(shared.members.entries.size(), 1));
    const auto share = static_cast<std::int64_t>(shared.local_settings.retry_reserve / nodes);
    // Before it has joined, a process does not know how many share the reserve.
    const std::int64_t reserve = shared.joined ? std::max<std::int64_t>(share, 1) : 1;
    auto& budget = shared.retry_budgets[service];
    if (!budget) {
        // What an earlier process of this node has spent is not known.
        budget = std::make_unique<retry_budget>(reserve, 0);
    }
    budget->set_reserve(reserve);
    return *budget;
}

} // namespace pomeloloft::sidecar
