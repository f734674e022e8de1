#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/mesh/spread.hpp"
#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"
#include "pomeloloft/sidecar/member_record.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// Keeps the member table equal to those of the other sidecars: announces this node's entry to relays, acts
/// as a relay when asked to, and exchanges digests with random nodes. Belongs to one event loop.
class member_sync {
public:
    /// @param peers connections to the other sidecars.
    member_sync(net::event_loop& io_loop, sidecar_state& process_state, config_feed& configs,
                net::client_pool& peers);

    /// Handles a message from another sidecar.
    [[nodiscard]] net::reply serve(const net::request& received);

    /// Updates this node's entry in the member table, and announces it unless it is unchanged and known to
    /// a peer.
    void publish_self(member_state state);

    /// Sends new crash observations and clearances to the relays, which pass them on to the fleet.
    void announce_suspects();

    /// Sends changed states of roll-outs to the relays, which pass them on to the fleet.
    void announce_rollouts() { this->announce_suspects(); }

    /// Merges member entries into the table and updates the endpoints if it changed.
    void merge_members(const std::vector<member>& incoming);

    /// Exchanges digests with a random peer at intervals.
    [[nodiscard]] net::task<void> keep_in_sync();

    /// Whether an exchange with a peer has succeeded. The response of a peer that knew an earlier process of
    /// this node includes the entry of that process.
    [[nodiscard]] bool has_synced_with_peer() const { return this->has_synced; }

    /// Whether a peer has confirmed the current entry of this node.
    [[nodiscard]] bool peer_knows_self() const
    {
        return this->acknowledged_sequence == this->shared.self.sequence;
    }

    /// Whether the first announcement has been confirmed and the table compared with that of a peer.
    [[nodiscard]] bool has_caught_up() const { return this->caught_up; }

    /// Number of messages of announcements in progress.
    [[nodiscard]] std::uint32_t announcements_in_progress() const { return this->active_announcements; }

    /// Called when an entry from an earlier process of this node is received.
    std::function<void(const member& earlier)> on_earlier_incarnation;

private:
    /// One announcement of this node's entry; its lanes share the candidates.
    struct announcement;

    void announce();
    net::task<void> announce_to_next(std::shared_ptr<announcement> started);
    /// Compares digests with a peer and exchanges the entries that differ.
    net::task<void> reconcile(std::string node);
    net::task<void> reconcile_with_random_peer();
    /// Sends a message and applies the response.
    net::task<std::optional<sync_message>> exchange(std::string node, sync_message message);
    net::task<std::optional<sync_message>> exchange_encoded(std::string node,
                                                            std::shared_ptr<const std::string> body);
    net::task<void> send(std::string node, sync_message message);
    net::task<void> send_to_first(std::vector<std::string> nodes, std::shared_ptr<const std::string> body);
    net::task<void> send_pending();
    void send_batch(const spread_batch& batch);
    /// Applies a message; what changed this node's tables is passed on within the scope of the message.
    void apply(const sync_message& message);
    /// Merges the roll-outs of a message.
    /// @return whether any has changed.
    bool apply_rollouts(const sync_message& message);
    /// @return the nodes whose entries changed.
    std::vector<std::string> merge_entries(const std::vector<member>& incoming);
    void schedule_spread(const std::vector<std::string>& changed, bool observations_changed,
                         spread_scope scope);
    [[nodiscard]] sync_message make_message(observation_selection selection) const;
    net::task<void> announce_after_batch_window();
    [[nodiscard]] const member* random_peer() const;
    /// The entry held for an earlier process of the sender, which tells the sender what that process had
    /// announced.
    [[nodiscard]] std::optional<member> entry_of_earlier_process(const std::vector<member>& incoming) const;

    net::event_loop& loop;
    sidecar_state& shared;
    config_feed& feed;
    net::client_pool& pool;
    spread_options options;
    unresponsive_nodes unresponsive{options};
    pending_spread pending;
    bool send_scheduled = false;
    bool announcement_scheduled = false;
    std::uint32_t active_announcements = 0;
    /// Newest sequence number of this node's entry that a peer has confirmed.
    std::optional<std::uint64_t> acknowledged_sequence;
    bool has_synced = false;
    /// Whether the table was compared with that of a peer after the first announcement.
    bool caught_up = false;
    time_point started_at;
};

} // namespace pomeloloft::sidecar
