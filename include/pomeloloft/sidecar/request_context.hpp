#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/sidecar/outbound_router.hpp"

namespace pomeloloft::sidecar {

/// Routing state of one request.
struct outbound_router::request_context {
    net::client_watch* caller = nullptr;
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route = nullptr;
    /// Organisation of the caller; null if it has none.
    const routing::organisation* organisation = nullptr;
    /// Credit of the organisation's quota that the request uses.
    std::optional<quota_token> credit;
    /// Whether the target of this VM makes the request while it runs another.
    bool is_call = false;
    /// Route of the run that makes this call; empty if it is not known.
    std::string parent_route;
    std::string service;
    /// Decides which version gets the request while one is rolled out.
    std::uint32_t version_draw = 0;
    time_point started;
    time_point deadline;
    std::vector<std::string> tried;
    retry_state state;
    /// The last response received from a target.
    std::optional<net::response> last_response;
    /// Shortest expected wait reported by an endpoint; zero when none reported one.
    milliseconds min_wait{0};
};

} // namespace pomeloloft::sidecar
