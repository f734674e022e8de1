#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::sidecar {

/// Flow control for large request bodies sent to this VM. When uploads approach the capacity of the VM's
/// link, senders hold their bodies back until they are admitted, so that small messages never queue behind
/// more than a few bodies. Belongs to one event loop; admission handles must not outlive it.
class inbound_bodies {
public:
    /// @param mbps bandwidth of the link in Mbit/s.
    inbound_bodies(net::event_loop& io_loop, std::uint32_t mbps);

    /// Expected time until a body offered now is admitted.
    [[nodiscard]] milliseconds expected_wait() const;

    /// Time to transfer a body over an otherwise idle link.
    [[nodiscard]] milliseconds transfer_time(std::size_t bytes) const;

    /// Waits until a body is admitted.
    /// @return a handle that counts the body as in transfer until it is released; null if the body was not
    /// admitted by `deadline`.
    [[nodiscard]] net::task<std::shared_ptr<const void>> admit(std::size_t bytes, time_point deadline);

    /// Number of bodies in transfer and waiting.
    [[nodiscard]] std::uint32_t count() const;

private:
    struct waiter;
    class body_reservation;

    [[nodiscard]] bool has_room(std::size_t bytes) const;
    void admit_waiting();

    net::event_loop& loop;
    double bytes_per_ms;
    std::size_t bytes_in_transfer = 0;
    std::uint32_t bodies_in_transfer = 0;
    std::size_t bytes_waiting = 0;
    std::list<waiter*> waiting;
};

} // namespace pomeloloft::sidecar
