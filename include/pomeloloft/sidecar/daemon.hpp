#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/member_sync.hpp"
#include "pomeloloft/sidecar/outbound_router.hpp"
#include "pomeloloft/sidecar/peers.hpp"
#include "pomeloloft/sidecar/quota_exchange.hpp"
#include "pomeloloft/sidecar/rollout_controller.hpp"
#include "pomeloloft/sidecar/shared_store.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// A sidecar process: its listeners and the controllers that maintain its shared state. Belongs to one event
/// loop.
class sidecar_daemon {
public:
    sidecar_daemon(net::event_loop& io_loop, settings local_settings,
                   std::unique_ptr<shared_store> platform_store, config_decoder decode);

    /// Opens the listeners and starts the controllers.
    /// @param control handles reports of the target.
    /// @param ready handles readiness checks.
    result<void> start(net::handler control, net::handler ready);

    /// Handles a report of the target.
    /// @return whether it may be acknowledged.
    [[nodiscard]] net::task<bool> handle_report(target_report reported);

    /// Handles the deregistration of the target.
    /// @return whether it may be acknowledged.
    [[nodiscard]] net::task<bool> handle_deregistration(instance_key instance);

    /// Whether callers on this VM may send requests.
    [[nodiscard]] bool is_ready() const;

    /// Deregisters this node from the fleet, lets requests in flight finish and stops the event loop.
    void stop();

    /// Applies the settings that may change while the process runs.
    void reload(const settings& next);

    /// Whether the configuration or this process's settings name a service.
    [[nodiscard]] bool knows_service(const std::string& name) const;

    /// The metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    net::task<void> join();
    net::task<bool> register_self();
    net::task<void> discover_target();
    net::task<void> reconnect_target();
    /// Writes the departures of this node's targets to the store.
    /// @return whether a restarted process will know that of an instance.
    net::task<bool> persist_departure(instance_key instance);
    void begin_draining();
    net::task<void> shut_down();
    void publish();
    net::task<void> remove_expired();
    /// Keeps the quarantined requests that the own target has observed in the store.
    net::task<void> store_quarantine();
    /// Whether the records about the target from before this process started have been read, or the time to
    /// read them has passed.
    [[nodiscard]] bool trusts_target_state() const;
    void handle_earlier_incarnation(const member& earlier);
    /// Version of the own target for this node's entry; empty where it is unknown or there are no roll-outs.
    [[nodiscard]] std::string target_version() const;
    /// Connects the roll-outs, if there are any.
    void start_rollouts();
    void apply_record(const store_record& record);
    void apply_limits();

    net::event_loop& loop;
    sidecar_state shared;
    std::unique_ptr<shared_store> store;
    target_gate gate;
    net::client_pool peer_pool;
    config_feed feed;
    member_sync members;
    quota_exchange quotas;
    peer_links peers;
    /// Null where there are no roll-outs.
    std::unique_ptr<rollout_controller> rollouts;
    outbound_router router;
    /// Shared by the listeners for callers and for other sidecars.
    std::shared_ptr<net::client_account> clients;
    std::shared_ptr<net::server> outbound;
    std::shared_ptr<net::server> inbound;
    std::shared_ptr<net::server> control;
    std::shared_ptr<net::server> ready;
    time_point started_at;
    /// The departed instances recorded in the store, from which a restarted process reads them.
    std::deque<departure> persisted_departures;
    bool persisting_departures = false;
    /// The target that an earlier process of this node knew, and its version.
    instance_key earlier_instance;
    std::string earlier_version;
    /// Observations in this node's record of quarantined requests.
    std::vector<crash_observation> stored_quarantine;
    time_point quarantine_stored_at;
    bool reconnecting = false;
};

} // namespace pomeloloft::sidecar
