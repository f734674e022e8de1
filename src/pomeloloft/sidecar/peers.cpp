#include "pomeloloft/sidecar/peers.hpp"

#include <utility>

#include "pomeloloft/sidecar/peer_headers.hpp"

namespace pomeloloft::sidecar {

peer_links::peer_links(net::event_loop& io_loop, sidecar_state& process_state, target_gate& local_gate,
                       config_feed& configs, member_sync& member_updates, quota_exchange& quota_credits,
                       net::client_pool& peers)
    : shared(process_state), gate(local_gate), feed(configs), members(member_updates), quotas(quota_credits),
      pool(peers), bodies(io_loop, process_state.local_settings.link_mbps)
{}

net::task<net::reply> peer_links::handle(net::request& received, net::client_watch& sender)
{
    if (received.find(peer_header::service) != received.end()) {
        co_return co_await this->serve_forwarded(received, sender);
    }
    if (received.target() == peer_header::sync_path) {
        co_return this->members.serve(received);
    }
    if (received.target() == peer_header::config_path) {
        co_return this->feed.handle(received);
    }
    if (received.target() == peer_header::quota_path) {
        co_return this->quotas.serve(received);
    }
    if (received.target() == peer_header::fence_path) {
        co_return this->serve_fence(received);
    }
    co_return net::reply{net::make_response(net::http::status::not_found)};
}

} // namespace pomeloloft::sidecar
