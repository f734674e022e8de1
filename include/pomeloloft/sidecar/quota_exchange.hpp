#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/mesh/spread.hpp"
#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/quota_bucket.hpp"
#include "pomeloloft/sidecar/quota_credit.hpp"
#include "pomeloloft/sidecar/quota_message.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// Keeps the requests of organisations within their limits over the whole fleet: gets credits for the
/// requests that begin on this VM, and grants credits for the organisations that this node is a holder of.
/// Organisations without a limit, and those without requests here, have no state and cause no message.
/// Belongs to one event loop.
class quota_exchange {
public:
    /// @param peers connections to the other sidecars.
    quota_exchange(net::event_loop& io_loop, sidecar_state& process_state, net::client_pool& peers);

    /// Takes a credit for a request that begins here.
    /// @param limited an organisation with a limit.
    /// @return nothing if the request is over the quota, or if no credit arrived in time.
    [[nodiscard]] net::task<std::optional<quota_token>> acquire(const routing::organisation& limited,
                                                                time_point deadline);

    /// Returns the credit of a request that was refused before it ran.
    void give_back(const std::string& organisation, const quota_token& token);

    /// Handles the asks of another sidecar.
    [[nodiscard]] net::reply serve(const net::request& received);

    /// Records when the number of known nodes has changed: new holders begin to grant some time after it.
    void update_members(time_point now);

private:
    /// State of an organisation whose requests arrive here.
    struct held_credit {
        quota_credit credit;
        quota_limit limit;
        /// Waiting requests, which are woken when a response has arrived.
        std::vector<net::timer*> waiters;
        std::vector<std::string> holders;
        /// Number of members for which `holders` was computed.
        std::size_t members = 0;
        /// Time of the last response of a holder, or of the first ask.
        time_point holder_reached_at;
        std::optional<quota_bucket> isolated;
        quota_limit isolated_limit;
    };
    /// Part of an organisation's limit that this node grants.
    struct held_bucket {
        quota_bucket bucket;
        quota_limit limit;
        bool is_holder = false;
        /// Number of members for which `is_holder` was computed.
        std::size_t members = 0;
        time_point last_ask;
    };
    struct waiting_request;
    struct pending_ask;

    held_credit& credit_of(const routing::organisation& limited, time_point now);
    void start_refill(const std::string& organisation, held_credit& state);
    /// Asks the holders of an organisation in turn until the need is met.
    net::task<void> refill(std::string organisation);
    /// Sends what is due for a holder: for one organisation, if any, and for all others that need credits of
    /// that holder or give some back.
    /// @return whether the next holder of the organisation is asked at once.
    net::task<bool> ask(std::string holder, std::string organisation);
    [[nodiscard]] std::vector<pending_ask> collect(const std::string& holder, const std::string& organisation,
                                                   time_point now);
    bool apply_answer(const std::string& holder, const pending_ask& sent, std::uint32_t granted, bool reached,
                      time_point asked_at);
    /// Wakes the requests that wait for an answer.
    static void finish_ask(held_credit& state);
    net::task<void> send_due(std::string holder);
    void add_isolated_share(const std::string& organisation, held_credit& state, time_point now);
    /// @return the grants in the order of the asks; nothing without a response.
    net::task<std::optional<std::vector<std::uint32_t>>> send(std::string holder,
                                                              std::vector<quota_ask> asks);
    std::vector<std::uint32_t> grant_all(const std::vector<quota_ask>& asks);
    std::uint32_t grant_one(const quota_ask& received, time_point now);
    held_bucket& bucket_of(const routing::organisation& limited, time_point now);
    [[nodiscard]] const routing::organisation* organisation_named(const std::string& name);
    void start_renewing();
    /// Renews credits and gives back unused ones until no state is left.
    net::task<void> renew();
    void renew_credits(time_point now);
    void remove_idle(time_point now);
    /// Share of the known nodes that are not known to be unreachable.
    [[nodiscard]] double reachable_share() const;
    void log_over_quota(const std::string& organisation, const held_credit& state, time_point now);

    net::event_loop& loop;
    sidecar_state& shared;
    net::client_pool& pool;
    quota_options options;
    std::unordered_map<std::string, held_credit> credits;
    std::unordered_map<std::string, held_bucket> buckets;
    /// The configuration for which `organisations` was built.
    std::shared_ptr<const routing::route_table> indexed;
    std::unordered_map<std::string, const routing::organisation*> organisations;
    unresponsive_nodes unresponsive;
    bool renewing = false;
    /// Number of known nodes since `members_changed_at`; 0 before this process has joined the fleet.
    std::size_t known_members = 0;
    time_point members_changed_at;
    log_rate_limiter over_quota_log_limiter;
};

} // namespace pomeloloft::sidecar
