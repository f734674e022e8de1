#include "pomeloloft/routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace pomeloloft::routing {
namespace {

std::string to_lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

void check_route(const route& r, const route_table& table, std::string& errors)
{
    if (r.prefix.empty() || r.prefix.front() != '/' || r.prefix.back() != '/') {
        errors += "route " + r.name + ": the prefix must begin and end with '/'\n";
    }
    if (r.split.empty()) {
        errors += "route " + r.name + ": the traffic split has no service\n";
    }
    for (const weighted_service& part : r.split) {
        if (!table.services.contains(part.service)) {
            errors += "route " + r.name + ": no such service: " + part.service + "\n";
        }
    }
    if (r.max_attempts == 0) {
        errors += "route " + r.name + ": allows no attempt\n";
    }
    if (r.timeout <= milliseconds{0}) {
        errors += "route " + r.name + ": the timeout must be positive\n";
    }
}

/// Builds the index of the organisations by key.
void index_keys(route_table& table, std::string& errors)
{
    table.organisations_by_key.clear();
    for (std::size_t i = 0; i < table.organisations.size(); ++i) {
        const organisation& owner = table.organisations[i];
        if (owner.name.empty()) {
            errors += "organisation " + std::to_string(i) + ": has no name\n";
        }
        for (const std::string& key : owner.keys) {
            const auto [entry, added] = table.organisations_by_key.emplace(key, i);
            if (key.empty()) {
                errors += "organisation " + owner.name + ": has an empty key\n";
            } else if (!added && entry->second != i) {
                errors += "organisation " + owner.name + ": shares a key with organisation " +
                          table.organisations[entry->second].name + "\n";
            }
        }
    }
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool same_split(const std::vector<weighted_service>& a, const std::vector<weighted_service>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& left, const auto& right) {
        return left.service == right.service && left.weight == right.weight;
    });
}

} // namespace

result<std::shared_ptr<const route_table>> build_table(route_table source)
{
    std::string errors;
    source.index.clear();
    for (std::size_t i = 0; i < source.routes.size(); ++i) {
        route& r = source.routes[i];
        check_route(r, source, errors);
        r.host = to_lower(without_port(r.host));
        if (!source.index[r.host].emplace(r.prefix, i).second) {
            errors += "route " + r.name + ": another route has the same host and prefix\n";
        }
    }
    source.requires_keys = source.requires_keys || !source.organisations.empty();
    index_keys(source, errors);
    if (!errors.empty()) {
        errors.pop_back();
        return error{error_code::invalid, "configuration", errors};
    }
    return std::make_shared<const route_table>(std::move(source));
}

const route* match_route(const route_table& table, std::string_view host, std::string_view target)
{
    const auto found = table.index.find(to_lower(without_port(host)));
    if (found == table.index.end()) {
        return nullptr;
    }
    std::string prefix(path_of(target));
    while (!prefix.empty()) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string::npos) {
            return nullptr;
        }
        prefix.resize(slash + 1);
        const auto match = found->second.find(prefix);
        if (match != found->second.end()) {
            return &table.routes[match->second];
        }
        prefix.pop_back();
    }
    return nullptr;
}

const std::string& split_picker::pick(const route& r)
{
    if (r.split.size() == 1) {
        return r.split.front().service;
    }
    state& split_state = this->states[r.name];
    if (!same_split(split_state.split, r.split)) {
        split_state = {r.split, std::vector<std::int64_t>(r.split.size(), 0)};
    }
    std::int64_t total_weight = 0;
    for (std::size_t i = 0; i < split_state.split.size(); ++i) {
        split_state.current_weights[i] += split_state.split[i].weight;
        total_weight += split_state.split[i].weight;
    }
    const auto chosen =
        std::max_element(split_state.current_weights.begin(), split_state.current_weights.end());
    *chosen -= total_weight;
    return r.split[static_cast<std::size_t>(chosen - split_state.current_weights.begin())].service;
}

} // namespace pomeloloft::routing
