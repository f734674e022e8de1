#include "pomeloloft/routing/table_codec.hpp"

#include <algorithm>
#include <bit>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::routing {
namespace {

using nlohmann::json;

std::uint64_t hash_route(const route& r)
{
    std::uint64_t hash = hash_bytes(r.name, r.idempotent ? 1 : 0);
    hash = hash_combine(hash, hash_bytes(r.host));
    hash = hash_combine(hash, hash_bytes(r.prefix));
    for (const weighted_service& part : r.split) {
        hash = hash_combine(hash, hash_bytes(part.service, part.weight));
    }
    hash = hash_combine(hash, static_cast<std::uint64_t>(r.timeout.count()));
    hash = hash_combine(hash, static_cast<std::uint64_t>(r.target_latency.count()));
    hash = hash_combine(hash, r.priority);
    hash = hash_combine(hash, r.max_attempts);
    // Earlier versions do not know public routes; without one, the hash is the same as theirs.
    return r.is_public ? hash_combine(hash, 1) : hash;
}

std::uint64_t hash_services(const std::map<std::string, service>& services)
{
    std::uint64_t hash = 0;
    for (const auto& [name, s] : services) {
        hash = hash_combine(hash, hash_bytes(name, s.max_connections));
        hash = hash_combine(hash, hash_bytes(s.health_path));
    }
    return hash;
}

std::uint64_t hash_organisation(const organisation& o)
{
    std::uint64_t hash =
        hash_combine(hash_bytes(o.name, o.priority), std::bit_cast<std::uint64_t>(o.rate_per_s));
    hash = hash_combine(hash, std::bit_cast<std::uint64_t>(o.burst));
    for (const std::string& key : o.keys) {
        hash = hash_combine(hash, hash_bytes(key));
    }
    return hash;
}

std::uint64_t hash_limits(const request_limits& limits)
{
    std::uint64_t hash = hash_combine(limits.max_header_bytes, limits.max_body_bytes);
    hash = hash_combine(hash, static_cast<std::uint64_t>(limits.header_timeout.count()));
    return hash_combine(hash, static_cast<std::uint64_t>(limits.idle_timeout.count()));
}

const route* find_route(const route_table& table, const route& key)
{
    const auto host = table.index.find(key.host);
    if (host == table.index.end()) {
        return nullptr;
    }
    const auto found = host->second.find(key.prefix);
    return found == host->second.end() ? nullptr : &table.routes[found->second];
}

json to_json(const route& r)
{
    json split = json::array();
    for (const weighted_service& part : r.split) {
        split.push_back(json::array({part.service, part.weight}));
    }
    return json::array({r.name, r.host, r.prefix, std::move(split), r.idempotent, r.timeout.count(),
                        r.target_latency.count(), r.priority, r.max_attempts, r.is_public});
}

route route_from(const json& in)
{
    route out;
    out.name = in.at(0).get<std::string>();
    out.host = in.at(1).get<std::string>();
    out.prefix = in.at(2).get<std::string>();
    for (const json& part : in.at(3)) {
        out.split.push_back({part.at(0).get<std::string>(), part.at(1).get<std::uint32_t>()});
    }
    std::size_t at = 4;
    out.idempotent = in.at(at++).get<bool>();
    out.timeout = milliseconds(in.at(at++).get<std::int64_t>());
    out.target_latency = milliseconds(in.at(at++).get<std::int64_t>());
    out.priority = in.at(at++).get<std::uint32_t>();
    out.max_attempts = in.at(at++).get<std::uint32_t>();
    // Earlier versions do not send it.
    out.is_public = in.size() > at && in.at(at).get<bool>();
    return out;
}

json to_json(const organisation& o)
{
    return json::array({o.name, o.keys, o.priority, o.rate_per_s, o.burst});
}

organisation organisation_from(const json& in)
{
    organisation out;
    out.name = in.at(0).get<std::string>();
    out.keys = in.at(1).get<std::vector<std::string>>();
    out.priority = in.at(2).get<std::uint32_t>();
    out.rate_per_s = in.at(3).get<double>();
    out.burst = in.at(4).get<double>();
    return out;
}

std::unordered_map<std::string_view, const organisation*>
organisations_by_name(const std::vector<organisation>& organisations)
{
    std::unordered_map<std::string_view, const organisation*> out;
    for (const organisation& o : organisations) {
        out.emplace(o.name, &o);
    }
    return out;
}

void add_organisation_changes(const route_table& from, const route_table& to, table_delta& out)
{
    const auto earlier = organisations_by_name(from.organisations);
    for (const organisation& o : to.organisations) {
        const auto before = earlier.find(o.name);
        if (before == earlier.end() || hash_organisation(*before->second) != hash_organisation(o)) {
            out.changed_organisations.push_back(o);
        }
    }
    const auto later = organisations_by_name(to.organisations);
    for (const organisation& o : from.organisations) {
        if (!later.contains(o.name)) {
            out.removed_organisations.push_back(o.name);
        }
    }
}

void apply_organisation_changes(const table_delta& delta, std::vector<organisation>& organisations)
{
    std::erase_if(organisations, [&delta](const organisation& o) {
        const auto& removed = delta.removed_organisations;
        return std::find(removed.begin(), removed.end(), o.name) != removed.end();
    });
    for (const organisation& changed : delta.changed_organisations) {
        const auto same_name = [&changed](const organisation& o) { return o.name == changed.name; };
        const auto before = std::find_if(organisations.begin(), organisations.end(), same_name);
        if (before == organisations.end()) {
            organisations.push_back(changed);
        } else {
            *before = changed;
        }
    }
}

json limits_to_json(const request_limits& limits)
{
    return json::array({limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout.count(),
                        limits.idle_timeout.count()});
}

request_limits limits_from(const json& in)
{
    request_limits out;
    out.max_header_bytes = in.at(0).get<std::uint32_t>();
    out.max_body_bytes = in.at(1).get<std::uint64_t>();
    out.header_timeout = milliseconds(in.at(2).get<std::int64_t>());
    out.idle_timeout = milliseconds(in.at(3).get<std::int64_t>());
    return out;
}

} // namespace

std::uint64_t hash_of(const route_table& table)
{
    std::uint64_t routes = 0;
    for (const route& r : table.routes) {
        routes ^= hash_route(r);
    }
    const std::uint64_t rest = hash_combine(hash_services(table.services), hash_limits(table.limits));
    std::uint64_t organisations = 0;
    for (const organisation& o : table.organisations) {
        organisations ^= hash_organisation(o);
    }
    if (table.requires_keys && table.organisations.empty()) {
        // Earlier versions do not know this state; in all others, the hash is the same as theirs.
        organisations = hash_combine(organisations, 1);
    }
    return hash_combine(hash_combine(routes, rest), table.version) ^ organisations;
}

table_delta make_delta(const route_table& from, const route_table& to)
{
    table_delta out;
    out.base_version = from.version;
    out.version = to.version;
    out.hash = hash_of(to);
    for (const route& r : to.routes) {
        const route* before = find_route(from, r);
        if (before == nullptr || hash_route(*before) != hash_route(r)) {
            out.changed.push_back(r);
        }
    }
    for (const route& r : from.routes) {
        if (find_route(to, r) == nullptr) {
            route removed_route;
            removed_route.host = r.host;
            removed_route.prefix = r.prefix;
            out.removed.push_back(std::move(removed_route));
        }
    }
    out.services_changed = hash_services(from.services) != hash_services(to.services);
    if (out.services_changed) {
        out.services = to.services;
    }
    out.limits = to.limits;
    out.requires_keys = to.requires_keys;
    add_organisation_changes(from, to, out);
    return out;
}

result<std::shared_ptr<const route_table>> apply_delta(const route_table& base, const table_delta& delta)
{
    if (base.version != delta.base_version) {
        return error{error_code::stale, "delta",
                     "is from version " + std::to_string(delta.base_version) + ", held is " +
                         std::to_string(base.version)};
    }
    route_table next = base;
    next.version = delta.version;
    next.limits = delta.limits;
    next.requires_keys = delta.requires_keys;
    if (delta.services_changed) {
        next.services = delta.services;
    }
    for (const route& r : delta.changed) {
        const route* before = find_route(base, r);
        if (before == nullptr) {
            next.routes.push_back(r);
        } else {
            next.routes[static_cast<std::size_t>(before - base.routes.data())] = r;
        }
    }
    for (const route& removed_route : delta.removed) {
        std::erase_if(next.routes, [&removed_route](const route& r) {
            return r.host == removed_route.host && r.prefix == removed_route.prefix;
        });
    }
    apply_organisation_changes(delta, next.organisations);
    BOOST_OUTCOME_TRY(auto built, build_table(std::move(next)));
    if (hash_of(*built) != delta.hash) {
        return error{error_code::corrupt, "delta", "leads to another table than it was made from"};
    }
    return built;
}

std::string encode_delta(const table_delta& delta)
{
    json changed = json::array();
    for (const route& r : delta.changed) {
        changed.push_back(to_json(r));
    }
    json removed = json::array();
    for (const route& r : delta.removed) {
        removed.push_back(json::array({r.host, r.prefix}));
    }
    json out{{"base", delta.base_version},
             {"version", delta.version},
             {"hash", delta.hash},
             {"changed", std::move(changed)},
             {"removed", std::move(removed)},
             {"limits", limits_to_json(delta.limits)}};
    if (delta.services_changed) {
        json services = json::array();
        for (const auto& [name, s] : delta.services) {
            services.push_back(json::array({name, s.health_path, s.max_connections}));
        }
        out["services"] = std::move(services);
    }
    if (delta.requires_keys) {
        out["requires_keys"] = true;
    }
    if (!delta.changed_organisations.empty()) {
        json organisations = json::array();
        for (const organisation& o : delta.changed_organisations) {
            organisations.push_back(to_json(o));
        }
        out["organisations"] = std::move(organisations);
    }
    if (!delta.removed_organisations.empty()) {
        out["removed_organisations"] = delta.removed_organisations;
    }
    return to_json_text(out);
}

result<table_delta> decode_delta(std::string_view text)
{
    try {
        const json in = parse_json(text);
        table_delta out;
        out.base_version = in.at("base").get<std::uint64_t>();
        out.version = in.at("version").get<std::uint64_t>();
        out.hash = in.at("hash").get<std::uint64_t>();
        for (const json& r : in.at("changed")) {
            out.changed.push_back(route_from(r));
        }
        for (const json& r : in.at("removed")) {
            route removed_route;
            removed_route.host = r.at(0).get<std::string>();
            removed_route.prefix = r.at(1).get<std::string>();
            out.removed.push_back(std::move(removed_route));
        }
        out.limits = limits_from(in.at("limits"));
        out.services_changed = in.contains("services");
        if (out.services_changed) {
            for (const json& s : in.at("services")) {
                const auto name = s.at(0).get<std::string>();
                out.services[name] = {name, s.at(1).get<std::string>(), s.at(2).get<std::uint32_t>()};
            }
        }
        out.requires_keys = in.contains("requires_keys") && in.at("requires_keys").get<bool>();
        if (const auto organisations = in.find("organisations"); organisations != in.end()) {
            for (const json& o : *organisations) {
                out.changed_organisations.push_back(organisation_from(o));
            }
        }
        if (const auto names = in.find("removed_organisations"); names != in.end()) {
            out.removed_organisations = names->get<std::vector<std::string>>();
        }
        return out;
    } catch (const json::exception& e) {
        return error{error_code::corrupt, "delta", e.what()};
    }
}

} // namespace pomeloloft::routing
