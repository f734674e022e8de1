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

namespace pomeloloft::routing {

/// One part of a traffic split.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// How requests of one host with one path prefix are served.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Services by share of the requests; at least one.
    std::vector<weighted_service> split;
    /// May run more than once.
    bool idempotent = false;
    /// Longest time a caller is kept waiting.
    milliseconds timeout{5000};
    /// Answers within this time are worth most to callers.
    milliseconds target_latency{1000};
    /// Rank among routes; 0 is served first.
    std::uint32_t priority = 0;
    /// Targets that one request may be sent to.
    std::uint32_t max_attempts = 1;
};

/// What is declared for the targets of a service.
struct service {
    std::string name;
    /// Path of the health check.
    std::string health_path;
    /// Connections a target accepts.
    std::uint32_t max_connections = 100;
};

/// Bounds on what callers may send.
struct request_limits {
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 64U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// A whole configuration version, immutable once built.
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    request_limits limits;
    /// Positions in `routes` by host and prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> index;
};

/// Checks references and builds the index.
/// @return the table, or every fault found, one per line, each led by the route or service.
[[nodiscard]] result<std::shared_ptr<const route_table>> build_table(route_table source);

/// The route with the longest prefix that begins the path; null when none matches.
/// @param host as sent, with or without a port.
/// @param target request target, with or without a query.
[[nodiscard]] const route* match_route(const route_table& table, std::string_view host,
                                       std::string_view target);

/// Spreads the requests of a route over its split by smooth weighted round robin, so that shares hold over
/// short spans too. Belongs to one event loop.
class split_picker {
public:
    /// The service for the next request of a route.
    [[nodiscard]] const std::string& pick(const route& r);

private:
    struct state {
        std::vector<weighted_service> split;
        std::vector<std::int64_t> credit;
    };
    std::unordered_map<std::string, state> states;
};

} // namespace pomeloloft::routing
