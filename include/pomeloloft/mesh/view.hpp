#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/config/fold.hpp"
#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft {

/// Load of one endpoint, as known from this proxy's own requests. It is shared by successive views.
struct endpoint_load {
    /// Requests of this proxy that are in flight to the endpoint.
    std::atomic<std::uint32_t> in_flight{0};
    /// Running and queued requests according to the last load report.
    std::atomic<std::uint32_t> reported_load{0};
    /// Smoothed response time of the target according to the last report that had one, in microseconds; 0 if
    /// unknown.
    std::atomic<std::uint32_t> response_time_us{0};
    /// Time at which `response_time_us` was reported, in steady clock ticks.
    std::atomic<time_point::rep> response_time_updated_at{0};
    /// Failures since the last success.
    std::atomic<std::uint32_t> consecutive_failures{0};
    /// End of the ejection of the endpoint, in steady clock ticks.
    std::atomic<time_point::rep> ejected_until{0};
};

/// Target to which requests of a service can be sent.
struct endpoint {
    std::string node;
    std::string peer_address;
    std::string data_centre;
    bool draining = false;
    /// Time at which this proxy first saw the endpoint serving.
    time_point serving_since;
    std::shared_ptr<endpoint_load> load;
};

/// Service with its endpoints, local and in other data centres.
struct service_view {
    std::string name;
    service limits;
    /// Endpoints in the data centre of this proxy.
    std::vector<endpoint> local;
    /// Endpoints in other data centres.
    std::vector<endpoint> remote;
};

/// Route with a reference to its service.
struct bound_route {
    std::string name;
    route rule;
    const service_view* target = nullptr;
};

/// Snapshot of the routing state: a complete configuration joined with the known members. All references stay
/// within the view. Immutable once published.
struct view {
    std::shared_ptr<const config_version> config;
    std::map<std::string, service_view> services;
    std::vector<bound_route> routes;
    /// Indices in `routes` by prefix.
    std::unordered_map<std::string, std::vector<std::size_t>> by_prefix;
};

/// Loads of endpoints by node, reused when the next view is built.
using load_table = std::unordered_map<std::string, std::shared_ptr<endpoint_load>>;

/// Inputs of `build_view`.
struct view_inputs {
    std::shared_ptr<const config_version> config;
    const member_table* members = nullptr;
    std::string own_node;
    std::string own_data_centre;
    /// Maximum number of endpoints of a service that a proxy uses in its own data centre, and in total in the
    /// others. It bounds the number of connections to a target.
    std::size_t subset_size = 16;
};

/// Builds a view from a configuration and the members. Endpoints of undeclared services are left out.
/// @param loads updated: loads of unknown nodes are removed and loads of new endpoints are added.
[[nodiscard]] std::shared_ptr<const view> build_view(const view_inputs& inputs, load_table& loads);

/// Checks that every route refers to a service of the view and that every service is declared in the
/// configuration.
/// @return `corrupt` with the route or service that fails the check.
[[nodiscard]] result<void> check_references(const view& v);

/// Finds the route of a request by the longest prefix of whole path segments, then by the method.
/// @param path request target without its query.
/// @param internal whether the request arrived at the internal listener.
/// @return null if no route matches.
[[nodiscard]] const bound_route* match_route(const view& v, std::string_view method, std::string_view path,
                                             bool internal);

} // namespace pomeloloft
