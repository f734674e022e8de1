#include "pomeloloft/sidecar/board.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft::sidecar {

std::shared_ptr<const routing::route_table> routes_of(const board& b)
{
    return b.config.load();
}

std::uint64_t config_version(const board& b)
{
    const auto held = b.config.load();
    return held ? held->version : 0;
}

std::vector<const member*> other_members(const board& b)
{
    std::vector<const member*> out;
    for (const auto& [node, entry] : b.members.entries) {
        if (node != b.own.node && entry.value.state != member_state::gone) {
            out.push_back(&entry.value);
        }
    }
    return out;
}

bool adopt_config(board& b, std::shared_ptr<const routing::route_table> next)
{
    const std::uint64_t before = config_version(b);
    if (b.config.load() && next->version <= before) {
        return false;
    }
    log_info("config-applied", {{"version", next->version},
                                {"before", before},
                                {"routes", static_cast<std::uint64_t>(next->routes.size())}});
    b.config.store(std::move(next));
    return true;
}

void rebuild_endpoints(board& b)
{
    b.endpoints.clear();
    for (const auto& [node, entry] : b.members.entries) {
        const member& m = entry.value;
        const bool own = node == b.own.node;
        if (m.state != member_state::serving || m.service.empty()) {
            continue;
        }
        const auto address = net::parse_endpoint(m.peer_address, "member " + node);
        if (!address) {
            log_warning("member-ignored", {{"member", node}, {"reason", to_string(address.error())}});
            continue;
        }
        endpoint_list& list = b.endpoints[m.service];
        list.candidates.push_back({node, own, m.data_centre == b.own.data_centre, &b.loads[node]});
        list.addresses.push_back(address.value());
    }
}

retry_budget& budget_of(board& b, const std::string& service)
{
    auto& held = b.budgets[service];
    if (!held) {
        const auto nodes = static_cast<double>(std::max<std::size_t>(b.members.entries.size(), 1));
        const auto share = static_cast<std::int64_t>(b.own.retry_reserve / nodes);
        held = std::make_unique<retry_budget>(std::max<std::int64_t>(share, 1));
    }
    return *held;
}

} // namespace pomeloloft::sidecar
