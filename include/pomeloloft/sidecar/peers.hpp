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
#include "pomeloloft/sidecar/member_sync.hpp"
#include "pomeloloft/sidecar/quota_exchange.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"
#include "pomeloloft/traffic/attempt_registry.hpp"

namespace pomeloloft::sidecar {

/// Forwards requests to the sidecars on other VMs and handles their messages. Belongs to one event loop.
class peer_links {
public:
    /// @param peers connections to the other sidecars.
    peer_links(net::event_loop& io_loop, sidecar_state& process_state, target_gate& gate, config_feed& feed,
               member_sync& members, quota_exchange& quotas, net::client_pool& peers);

    /// Forwards a request to the sidecar of the chosen target.
    [[nodiscard]] net::task<target_call_result> forward(net::request& sent, const candidate& to,
                                                        net::tcp::endpoint address, target_call call);

    /// Handles a request from another sidecar.
    [[nodiscard]] net::task<net::reply> handle(net::request& received, net::client_watch& sender);

    /// Decides whether the body of a forwarded request is accepted.
    [[nodiscard]] net::task<net::expect_continue_decision> screen_body(net::request& header,
                                                                       std::uint64_t body_bytes);

private:
    /// An attempt of a non-idempotent request and the process it was sent to.
    struct sent_attempt {
        std::string id;
        std::string process;
    };

    net::task<net::reply> serve_forwarded(net::request& received, net::client_watch& sender);
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
    net::reply serve_fence(const net::request& received);
    net::task<attempt_state> fence_attempt(net::tcp::endpoint address, sent_attempt sent);
    net::task<target_call_result> resolve_lost_attempt(net::tcp::endpoint address, sent_attempt sent,
                                                       bool timed_out);

    sidecar_state& shared;
    target_gate& gate;
    config_feed& feed;
    member_sync& members;
    quota_exchange& quotas;
    net::client_pool& pool;
    attempt_registry attempts;
    inbound_bodies bodies;
};

} // namespace pomeloloft::sidecar
