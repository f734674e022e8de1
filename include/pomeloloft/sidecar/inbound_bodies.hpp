#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::sidecar {

/// Large bodies on their way to this VM and those that wait to be sent. Answers loads of uploads near what
/// the VM's link carries: senders keep their bodies until it is their turn, so small messages never queue
/// behind more than a few bodies. Belongs to one event loop; holds must not outlive it.
class inbound_bodies {
public:
    /// @param mbps bandwidth of the link.
    inbound_bodies(net::event_loop& where, std::uint32_t mbps);

    /// Time until a body that is offered now may be sent.
    [[nodiscard]] milliseconds expected_wait() const;

    /// Time that a body takes on the free link.
    [[nodiscard]] milliseconds transfer_time(std::size_t bytes) const;

    /// Waits for a body's turn.
    /// @return counts the body as under way until released; null where its turn did not come in time.
    [[nodiscard]] net::task<std::shared_ptr<const void>> admit(std::size_t bytes, time_point give_up_at);

    /// Bodies under way and waiting.
    [[nodiscard]] std::uint32_t count() const;

private:
    struct waiter;
    class body_reservation;

    [[nodiscard]] bool has_room(std::size_t bytes) const;
    void grant_next();

    net::event_loop& loop;
    double bytes_per_ms;
    std::size_t bytes_in_transfer = 0;
    std::uint32_t bodies_in_transfer = 0;
    std::size_t bytes_waiting = 0;
    std::list<waiter*> waiting;
};

} // namespace pomeloloft::sidecar
