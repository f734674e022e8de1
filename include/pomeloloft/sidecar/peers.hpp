#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/inbound_bodies.hpp"
#include "pomeloloft/sidecar/member_record.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"
#include "pomeloloft/traffic/attempt_registry.hpp"

namespace pomeloloft::sidecar {

/// Communicates with the sidecars on other VMs: forwards requests and exchanges member entries. Belongs to
/// one event loop.
class peer_links {
public:
    /// @param peers connections to the other sidecars.
    peer_links(net::event_loop& io_loop, sidecar_state& process_state, target_gate& gate, config_feed& feed,
               net::client_pool& peers);

    /// Forwards a request to the sidecar of the chosen target.
    [[nodiscard]] net::task<target_call_result> forward(net::request& sent, const candidate& to,
                                                        net::tcp::endpoint address, target_call call);

    /// Handles a request from another sidecar.
    [[nodiscard]] net::task<net::reply> handle(net::request& received);

    /// Decides whether the body of a forwarded request is accepted.
    [[nodiscard]] net::task<net::expect_continue_decision> screen_body(net::request& header,
                                                                       std::uint64_t body_bytes);

    /// Updates this node's entry in the member table and sends it to every known peer.
    void publish_self(member_state state);

    /// Merges member entries into the table and updates the endpoints if it changed.
    void merge_members(const std::vector<member>& incoming);

    /// Synchronises member entries and configuration versions with a random peer at intervals.
    [[nodiscard]] net::task<void> keep_in_sync();

    /// Whether an exchange with a peer has succeeded. The response of a peer that knew an earlier process of
    /// this node includes the entry of that process.
    [[nodiscard]] bool has_synced_with_peer() const { return this->has_synced; }

    /// Number of exchanges with peers that are in progress.
    [[nodiscard]] std::uint32_t syncs_in_progress() const { return this->active_syncs; }

    /// Called when an entry from an earlier process of this node is received.
    std::function<void(const member& earlier)> on_earlier_incarnation;

private:
    /// An attempt of a non-idempotent request and the process it was sent to.
    struct sent_attempt {
        std::string id;
        std::string process;
    };

    void apply_sync_message(const sync_message& update);
    net::task<net::reply> serve_forwarded(net::request& received);
    /// A request that another sidecar forwards to this sidecar's target.
    struct forwarded;
    /// The refusal of a request that would be refused even after its body has been transferred; nothing if
    /// the body may be accepted.
    [[nodiscard]] std::optional<target_call_result> find_body_refusal(const forwarded& forwarded_request,
                                                                      std::uint64_t body_bytes) const;
    [[nodiscard]] forwarded read_forwarded(const net::request& received) const;
    /// Builds the response with the outcome of the attempt and this node's load report.
    [[nodiscard]] net::response make_response_to_peer(const std::string& request_id,
                                                      target_call_result call_result) const;
    net::reply serve_sync(const net::request& received);
    net::reply serve_fence(const net::request& received);
    net::task<std::optional<sync_message>>
    exchange_sync_messages(std::string node, net::tcp::endpoint address, sync_message update);
    net::task<void> push_to(std::string node, net::tcp::endpoint address);
    net::task<void> reconcile(std::string node, net::tcp::endpoint address);
    [[nodiscard]] const member* random_peer() const;
    net::task<attempt_state> fence_attempt(net::tcp::endpoint address, sent_attempt sent);
    net::task<target_call_result> resolve_lost_attempt(net::tcp::endpoint address, sent_attempt sent,
                                                       bool timed_out);
    [[nodiscard]] sync_message make_sync_message() const;
    /// The entry held for an earlier process of the sender, which tells the sender what that process had
    /// announced.
    std::optional<member> entry_of_earlier_process(const std::vector<member>& incoming) const;

    net::event_loop& loop;
    sidecar_state& shared;
    target_gate& gate;
    config_feed& feed;
    net::client_pool& pool;
    attempt_registry attempts;
    inbound_bodies bodies;
    std::uint32_t active_syncs = 0;
    bool has_synced = false;
};

} // namespace pomeloloft::sidecar
