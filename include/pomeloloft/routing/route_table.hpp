#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/routing/organisation.hpp"

namespace pomeloloft::routing {

/// One service of a traffic split with its weight.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Route for requests to one host with one path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Services among which requests are split by weight; at least one.
    std::vector<weighted_service> split;
    /// Whether a request may safely run more than once.
    bool idempotent = false;
    /// Maximum time until the caller gets a response.
    milliseconds timeout{5000};
    /// Intended response time; responses within it are worth most to callers.
    milliseconds target_latency{1000};
    /// Priority class of the requests; 0 is the highest.
    std::uint32_t priority = 0;
    /// Maximum number of targets to which one request is sent.
    std::uint32_t max_attempts = 1;
    /// Whether callers need no key.
    bool is_public = false;
};

/// Declared properties of the targets of a service.
struct service {
    std::string name;
    /// Path of the health check endpoint.
    std::string health_path;
    /// Maximum number of connections that a target accepts.
    std::uint32_t max_connections = 100;
};

/// Limits for requests and connections of callers.
struct request_limits {
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 64U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// Complete version of the configuration; immutable once built.
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    request_limits limits;
    /// Whether callers need the key of an organisation, except on public routes. Set by `build_table` if
    /// there are organisations; without any, a configuration may still require keys and so admits none.
    bool requires_keys = false;
    std::vector<organisation> organisations;
    /// Indices in `organisations` by key.
    key_index organisations_by_key;
    /// Indices in `routes` by host and prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> index;
};

/// Validates a table and builds its indices.
/// @return the table, or `invalid` with all errors, one per line, each beginning with the route or the
/// organisation. Errors never contain a key.
[[nodiscard]] result<std::shared_ptr<const route_table>> build_table(route_table source);

/// Finds the route of the host with the longest prefix that matches the path.
/// @param host host as sent by the caller, with or without a port.
/// @param target request target, with or without a query.
/// @return null if no route matches.
[[nodiscard]] const route* match_route(const route_table& table, std::string_view host,
                                       std::string_view target);

/// Distributes the requests of a route over the services of its split by smooth weighted round robin, so that
/// the weights hold over short sequences, too. Not thread-safe; each event loop has its own picker.
class split_picker {
public:
    /// Returns the service for the next request of a route.
    [[nodiscard]] const std::string& pick(const route& r);

private:
    struct state {
        std::vector<weighted_service> split;
        /// Current weight of each service in the smooth weighted round robin.
        std::vector<std::int64_t> current_weights;
    };
    std::unordered_map<std::string, state> states;
};

} // namespace pomeloloft::routing
