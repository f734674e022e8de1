#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "pomeloloft/base/rcu_cell.hpp"
#include "pomeloloft/mesh/member_table.hpp"
#include "pomeloloft/net/stream.hpp"
#include "pomeloloft/routing/route_table.hpp"
#include "pomeloloft/sidecar/choose.hpp"
#include "pomeloloft/sidecar/control_counters.hpp"
#include "pomeloloft/sidecar/hedging.hpp"
#include "pomeloloft/sidecar/link_meter.hpp"
#include "pomeloloft/sidecar/rollout.hpp"
#include "pomeloloft/sidecar/settings.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "pomeloloft/traffic/retry.hpp"

namespace pomeloloft::sidecar {

/// Endpoints of a service.
struct endpoint_list {
    std::vector<candidate> candidates;
    /// Addresses of the endpoints' sidecars, at the same positions.
    std::vector<net::tcp::endpoint> addresses;
    /// Position of the first endpoint of the version that is being rolled out; those before it are of other
    /// versions.
    std::size_t next_begin = std::numeric_limits<std::size_t>::max();
    /// Share of requests that go to endpoints from `next_begin` on, in thousandths.
    std::uint32_t next_share = 0;
};

/// The endpoints that a request may be sent to.
/// @param draw a random number below `full_share`, the same for all attempts of a request.
[[nodiscard]] std::span<const candidate> usable_endpoints(const endpoint_list& list, std::uint32_t draw);

/// Counters of callers' requests by outcome, and of their further attempts.
struct request_counters {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t timed_out = 0;
    /// Cancelled because the caller closed its connection.
    std::uint64_t cancelled = 0;
    std::uint64_t not_found = 0;
    /// Refused because their key belongs to no organisation.
    std::uint64_t unauthorized = 0;
    /// Refused because their organisation was over its quota.
    std::uint64_t over_quota = 0;
    std::uint64_t redirected = 0;
    std::uint64_t retried = 0;
    std::uint64_t quarantined = 0;
    /// Requests that were taken to be calls of runs at the own target, and those refused for lack of room.
    std::uint64_t calls = 0;
    std::uint64_t calls_refused = 0;
};

/// State shared by the controllers and the request path of one process. Belongs to one event loop; only the
/// configuration is read from other threads.
struct sidecar_state {
    settings local_settings;
    rcu_cell<routing::route_table> config;
    member_table members;
    /// This process's own entry in `members`.
    member self;
    /// Whether the members have been read from the store or from peers, so that the entry of an earlier
    /// process of this node is known.
    bool joined = false;
    /// Whether the process is shutting down.
    bool stopping = false;
    /// Time from which callers' new requests are refused because the process ends soon.
    time_point callers_refused_from = no_deadline;
    /// Time from which requests from other sidecars are refused.
    time_point peers_refused_from = no_deadline;
    /// Latest deadline of requests read while the process shuts down, so that all have been responded to when
    /// it ends.
    time_point serve_until = no_deadline;
    std::unordered_map<std::string, endpoint_load> endpoint_loads;
    std::unordered_map<std::string, endpoint_list> endpoints;
    /// Nodes to whose sidecars the last connection attempt failed.
    std::unordered_set<std::string> unreachable_peers;
    rollout_table rollouts;
    /// Versions of the targets of each service; empty where there are no roll-outs.
    std::unordered_map<std::string, seen_versions> versions;
    /// Time at which the use of endpoints changes although no member does.
    time_point rebuild_endpoints_at = no_deadline;
    std::unordered_map<std::string, std::unique_ptr<retry_budget>> retry_budgets;
    request_counters counters;
    control_counters control;
    link_meter link{local_settings.link_mbps};
    hedging hedges{local_settings.hedge_share};
    crash_suspects suspects{crash_suspect_options{}};
};

/// The route table in force; null before the first version.
[[nodiscard]] std::shared_ptr<const routing::route_table> routes_of(const sidecar_state& shared);

/// The configuration version in force; 0 before the first.
[[nodiscard]] std::uint64_t config_version(const sidecar_state& shared);

/// The other nodes that are not known to be gone.
[[nodiscard]] std::vector<const member*> other_members(const sidecar_state& shared);

/// Adopts a configuration unless its version is not newer than the one in force.
/// @return whether it is now in force.
bool adopt_config(sidecar_state& shared, std::shared_ptr<const routing::route_table> next);

/// Merges states of roll-outs, and changes the use of endpoints accordingly.
/// @return whether any has changed.
bool merge_rollouts(sidecar_state& shared, const std::vector<rollout>& incoming, time_point now);

/// Rebuilds the endpoint lists from the member table and the roll-outs.
void rebuild_endpoints(sidecar_state& shared);

/// The retry budget of a service: this process's share of the budget of the whole fleet.
[[nodiscard]] retry_budget& retry_budget_of(sidecar_state& shared, const std::string& service);

} // namespace pomeloloft::sidecar
