#include "pomeloloft/mesh/view.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

std::shared_ptr<endpoint_load> find_or_add_load(load_table& loads, const std::string& node)
{
    std::shared_ptr<endpoint_load>& load = loads[node];
    if (!load) {
        load = std::make_shared<endpoint_load>();
    }
    return load;
}

bool accepts_requests(const member& m)
{
    return !m.service.empty() && m.state == member_state::serving;
}

void remove_unknown_loads(load_table& loads, const member_table& members)
{
    std::erase_if(loads, [&members](const auto& item) { return !members.entries.contains(item.first); });
}

void add_endpoint(const view_inputs& inputs, const table_entry& entry, service_view& target,
                  load_table& loads)
{
    const member& m = entry.value;
    endpoint out;
    out.node = m.node;
    out.peer_address = m.peer_address;
    out.data_centre = m.data_centre;
    out.serving_since = entry.state_since;
    out.load = find_or_add_load(loads, m.node);
    auto& list = m.data_centre == inputs.own_data_centre ? target.local : target.remote;
    list.push_back(std::move(out));
}

/// Keeps the `size` endpoints that rendezvous hashing assigns to this node, so that callers are spread
/// evenly. The endpoint of this node itself, if there is one, is always kept.
void keep_subset(std::vector<endpoint>& endpoints, const std::string& own_node, std::size_t size)
{
    const std::uint64_t seed = hash_bytes(own_node);
    const auto has_smaller_hash = [seed](const endpoint& a, const endpoint& b) {
        return hash_bytes(a.node, seed) < hash_bytes(b.node, seed);
    };
    std::sort(endpoints.begin(), endpoints.end(), has_smaller_hash);
    const auto own = std::find_if(endpoints.begin(), endpoints.end(),
                                  [&own_node](const endpoint& e) { return e.node == own_node; });
    if (own != endpoints.end()) {
        std::rotate(endpoints.begin(), own, own + 1);
    }
    endpoints.resize(std::min(endpoints.size(), size));
}

void add_services(const view_inputs& inputs, view& out, load_table& loads)
{
    for (const auto& [name, limits] : inputs.config->doc.services) {
        out.services.emplace(name, service_view{name, limits, {}, {}});
    }
    for (const auto& [node, entry] : inputs.members->entries) {
        const auto found = out.services.find(entry.value.service);
        if (found != out.services.end() && accepts_requests(entry.value)) {
            add_endpoint(inputs, entry, found->second, loads);
        }
    }
    for (auto& [name, target] : out.services) {
        keep_subset(target.local, inputs.own_node, inputs.subset_size);
        keep_subset(target.remote, inputs.own_node, inputs.subset_size);
    }
}

void add_routes(view& out)
{
    for (const auto& [name, rule] : out.config->doc.routes) {
        const auto target = out.services.find(rule.service);
        if (target == out.services.end()) {
            continue;
        }
        out.by_prefix[rule.prefix].push_back(out.routes.size());
        out.routes.push_back({name, rule, &target->second});
    }
}

bool allows_method(const route& rule, std::string_view method)
{
    return std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
}

/// Result of matching a request against the routes of one prefix.
struct prefix_match {
    const bound_route* found = nullptr;
    /// The prefix has only internal routes and the request is public. The search stops here, because a
    /// shorter public prefix must not expose a path that a longer prefix keeps internal.
    bool is_internal_only = false;
};

prefix_match match_prefix(const view& v, const std::string& prefix, std::string_view method, bool internal)
{
    const auto indices = v.by_prefix.find(prefix);
    if (indices == v.by_prefix.end()) {
        return {};
    }
    prefix_match match;
    match.is_internal_only = !internal;
    for (const std::size_t index : indices->second) {
        const bound_route& candidate = v.routes[index];
        const bool reachable = internal || !candidate.rule.internal;
        match.is_internal_only = match.is_internal_only && !reachable;
        if (reachable && allows_method(candidate.rule, method)) {
            match.found = &candidate;
        }
    }
    return match;
}

/// Returns the next shorter prefix: `/a/b` → `/a/` → `/a` → `/`; empty after the root.
std::string_view shorter_prefix(std::string_view prefix)
{
    if (prefix.size() <= 1) {
        return {};
    }
    if (prefix.back() == '/') {
        return prefix.substr(0, prefix.size() - 1);
    }
    const auto slash = prefix.rfind('/');
    return slash == std::string_view::npos ? std::string_view{} : prefix.substr(0, slash + 1);
}

} // namespace

std::shared_ptr<const view> build_view(const view_inputs& inputs, load_table& loads)
{
    auto out = std::make_shared<view>();
    out->config = inputs.config;
    remove_unknown_loads(loads, *inputs.members);
    add_services(inputs, *out, loads);
    add_routes(*out);
    return out;
}

result<void> check_references(const view& v)
{
    if (v.routes.size() != v.config->doc.routes.size()) {
        return error{error_code::corrupt, "routes", "a route refers to a service that is not declared"};
    }
    for (const bound_route& entry : v.routes) {
        const auto service_entry = v.services.find(entry.rule.service);
        if (service_entry == v.services.end() || entry.target != &service_entry->second) {
            return error{error_code::corrupt, "routes/" + entry.name,
                         "the service of the route is not in the view"};
        }
    }
    for (const auto& [name, unused] : v.services) {
        if (!v.config->doc.services.contains(name)) {
            return error{error_code::corrupt, "services/" + name, "is not declared"};
        }
    }
    return success();
}

const bound_route* match_route(const view& v, std::string_view method, std::string_view path, bool internal)
{
    for (std::string_view prefix = path; !prefix.empty(); prefix = shorter_prefix(prefix)) {
        const prefix_match match = match_prefix(v, std::string(prefix), method, internal);
        if (match.found != nullptr || match.is_internal_only) {
            return match.found;
        }
    }
    return nullptr;
}

} // namespace pomeloloft
