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

/// What this proxy has learned about one endpoint from its own requests; kept across views.
struct endpoint_load {
    /// Requests this proxy has under way there.
    std::atomic<std::uint32_t> in_flight{0};
    /// Running and queued requests by the endpoint's last answer.
    std::atomic<std::uint32_t> reported_load{0};
    /// Smoothed time its target takes to answer, in microseconds, by the endpoint's last answer; 0 when
    /// unknown.
    std::atomic<std::uint32_t> response_time_us{0};
    /// When that was told, in steady clock ticks.
    std::atomic<time_point::rep> response_time_updated_at{0};
    /// Failures to reach it since the last success.
    std::atomic<std::uint32_t> consecutive_failures{0};
    /// Until when it is passed over, in steady clock ticks.
    std::atomic<time_point::rep> ejected_until{0};
};

/// One target as requests see it.
struct endpoint {
    std::string node;
    std::string peer_address;
    std::string data_centre;
    bool draining = false;
    /// When it began serving, as far as this proxy knows.
    time_point serving_since;
    std::shared_ptr<endpoint_load> load;
};

/// One service with its endpoints, split by distance.
struct service_view {
    std::string name;
    service limits;
    std::vector<endpoint> local;
    std::vector<endpoint> remote;
};

/// A route bound to its service.
struct bound_route {
    std::string name;
    route rule;
    const service_view* target = nullptr;
};

/// The routing state of one moment: a whole configuration joined with the members known, closed under
/// reference, immutable once published.
struct view {
    std::shared_ptr<const config_version> config;
    std::map<std::string, service_view> services;
    std::vector<bound_route> routes;
    /// Positions in `routes` by prefix.
    std::unordered_map<std::string, std::vector<std::size_t>> by_prefix;
};

/// Loads by node, carried from view to view.
using load_table = std::unordered_map<std::string, std::shared_ptr<endpoint_load>>;

/// What `build_view` joins.
struct view_inputs {
    std::shared_ptr<const config_version> config;
    const member_table* members = nullptr;
    std::string own_node;
    std::string own_data_centre;
    /// Endpoints of one service a proxy uses in its own data centre; bounds connections a target sees.
    std::size_t subset_size = 16;
};

/// Joins a configuration with the members. Endpoints of undeclared services are left out.
[[nodiscard]] std::shared_ptr<const view> build_view(const view_inputs& inputs, load_table& loads);

/// Checks that every route holds its service and every service and endpoint stands in the configuration.
[[nodiscard]] result<void> check_references(const view& v);

/// The route of a request: longest prefix by whole path segments, then the method.
/// @param path request target without its query.
/// @param internal whether the request came in by the internal listener.
/// @return null when none matches.
[[nodiscard]] const bound_route* match_route(const view& v, std::string_view method, std::string_view path,
                                             bool internal);

} // namespace pomeloloft
