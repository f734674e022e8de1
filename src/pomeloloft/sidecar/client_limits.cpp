#include "pomeloloft/sidecar/client_limits.hpp"

#include <string>

#include "pomeloloft/base/memory_account.hpp"
#include "pomeloloft/sidecar/attempt.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"

namespace pomeloloft::sidecar {

std::shared_ptr<net::client_account> limit_clients(net::event_loop& loop, const settings& local_settings,
                                                   net::server& outbound, net::server& inbound)
{
    constexpr std::size_t descriptors_per_connection = 1;
    auto clients = std::make_shared<net::client_account>(
        loop,
        memory_limits{client_bytes_of(local_settings.memory_mb),
                      client_connections_of(local_settings.max_descriptors, descriptors_per_connection)});
    outbound.account = clients;
    inbound.account = clients;
    outbound.on_refusal = [id = local_settings.headers.request_id](const net::request& head,
                                                                   net::response& refusal) {
        if (head.find(id) != head.end()) {
            refusal.set(id, head[id]);
        }
    };
    inbound.on_refusal = [echo_id = outbound.on_refusal](const net::request& head, net::response& refusal) {
        echo_id(head, refusal);
        refusal.set(peer_header::outcome, name_of(attempt_outcome_names, attempt_outcome::refused));
    };
    return clients;
}

} // namespace pomeloloft::sidecar
