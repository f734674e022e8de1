#include "pomeloloft/sidecar/sidecar_state.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Orders the endpoints of a service by their use in its roll-out, and leaves out unused ones while others
/// are there.
/// @param versions versions of the endpoints, at the same positions.
void split_by_version(endpoint_list& list, const std::vector<std::string>& versions, const rollout* current,
                      const seen_versions& seen, time_point now)
{
    const bool any_known = std::any_of(versions.begin(), versions.end(),
                                       [](const std::string& version) { return !version.empty(); });
    endpoint_list out;
    const auto append = [&](version_use wanted) {
        for (std::size_t i = 0; i < versions.size(); ++i) {
            version_use use = use_of(current, versions[i], now);
            const bool ordered = use == version_use::next;
            if ((versions[i].empty() && any_known) || (!ordered && awaits_order(seen, versions[i], now))) {
                use = version_use::unused;
            }
            if (use == wanted) {
                out.candidates.push_back(list.candidates[i]);
                out.addresses.push_back(list.addresses[i]);
            }
        }
    };
    append(version_use::current);
    const std::size_t next_begin = out.candidates.size();
    append(version_use::next);
    if (out.candidates.empty()) {
        return;
    }
    if (out.candidates.size() > next_begin) {
        out.next_begin = next_begin;
        out.next_share = share_in_force(*current);
    }
    list = std::move(out);
}

} // namespace

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
    const bool split = rollouts_enabled(shared.local_settings);
    std::unordered_map<std::string, std::vector<std::string>> versions;
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
        if (split) {
            versions[m.service].push_back(m.version);
        }
    }
    if (split) {
        shared.rebuild_endpoints_at = no_deadline;
        const time_point now = steady_clock::now();
        for (const auto& [service, present] : versions) {
            seen_versions& seen = shared.versions[service];
            const auto waits_until = update_seen(seen, present, now);
            shared.rebuild_endpoints_at =
                std::min(shared.rebuild_endpoints_at, waits_until.value_or(no_deadline));
            const auto current = shared.rollouts.find(service);
            split_by_version(shared.endpoints[service], present,
                             current == shared.rollouts.end() ? nullptr : &current->second, seen, now);
        }
    }
}

std::span<const candidate> usable_endpoints(const endpoint_list& list, std::uint32_t draw)
{
    const std::span<const candidate> all(list.candidates);
    if (list.next_begin >= all.size()) {
        return all;
    }
    const bool takes_next = list.next_begin == 0 || draw < list.next_share;
    return takes_next ? all.subspan(list.next_begin) : all.first(list.next_begin);
}

bool merge_rollouts(sidecar_state& shared, const std::vector<rollout>& incoming, time_point now)
{
    bool changed = false;
    for (const rollout& state : incoming) {
        if (!merge_rollout(shared.rollouts, state, now)) {
            continue;
        }
        changed = true;
        const rollout& known = shared.rollouts.at(state.service);
        log_info("rollout-state", {{"service", known.service},
                                   {"version", known.version},
                                   {"order", known.order},
                                   {"phase", name_of(rollout_phase_names, known.phase)},
                                   {"share", static_cast<std::uint64_t>(share_in_force(known))},
                                   {"halted", known.halted ? "yes" : "no"},
                                   {"decider", known.decider}});
    }
    if (changed) {
        rebuild_endpoints(shared);
    }
    return changed;
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
