#include "pomeloloft/sidecar/inbound_bodies.hpp"

#include <algorithm>

#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Bytes per millisecond on a link of 1 Mbit/s.
constexpr double bytes_per_ms_per_mbps = 125.0;
/// Fraction of the link available for bodies; the rest is reserved for responses, small requests and member
/// updates.
constexpr double body_link_share = 0.8;
/// Limit on the total transfer time of the bodies in transfer, which bounds the wait of a small message
/// behind them.
constexpr milliseconds max_transfer_time{100};
/// Number of bodies admitted regardless of their transfer time, so that one can begin while another ends.
constexpr std::uint32_t min_bodies_in_transfer = 2;

} // namespace

struct inbound_bodies::waiter {
    waiter(net::event_loop& loop, std::size_t size) : bytes(size), ready(loop.get_executor()) {}

    std::size_t bytes;
    net::timer ready;
    std::shared_ptr<const void> granted;
};

/// Counts a body as in transfer during its lifetime.
class inbound_bodies::body_reservation {
public:
    body_reservation(inbound_bodies& all, std::size_t size) : bodies(all), bytes(size)
    {
        this->bodies.bytes_in_transfer += this->bytes;
        ++this->bodies.bodies_in_transfer;
    }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;
    ~body_reservation()
    {
        this->bodies.bytes_in_transfer -= this->bytes;
        --this->bodies.bodies_in_transfer;
        this->bodies.admit_waiting();
    }

private:
    inbound_bodies& bodies;
    std::size_t bytes;
};

inbound_bodies::inbound_bodies(net::event_loop& io_loop, std::uint32_t mbps)
    : loop(io_loop), bytes_per_ms(std::max(mbps, 1U) * bytes_per_ms_per_mbps * body_link_share)
{}

milliseconds inbound_bodies::transfer_time(std::size_t bytes) const
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(bytes) / this->bytes_per_ms));
}

milliseconds inbound_bodies::expected_wait() const
{
    if (this->waiting.empty() && this->has_room(0)) {
        return milliseconds{0};
    }
    return this->transfer_time(this->bytes_in_transfer + this->bytes_waiting);
}

std::uint32_t inbound_bodies::count() const
{
    return this->bodies_in_transfer + static_cast<std::uint32_t>(this->waiting.size());
}

bool inbound_bodies::has_room(std::size_t bytes) const
{
    const bool below_minimum = this->bodies_in_transfer < min_bodies_in_transfer;
    return below_minimum || this->transfer_time(this->bytes_in_transfer + bytes) <= max_transfer_time;
}

void inbound_bodies::admit_waiting()
{
    while (!this->waiting.empty() && this->has_room(this->waiting.front()->bytes)) {
        waiter* next = this->waiting.front();
        this->waiting.pop_front();
        this->bytes_waiting -= next->bytes;
        next->granted = std::make_shared<body_reservation>(*this, next->bytes);
        next->ready.cancel();
    }
}

net::task<std::shared_ptr<const void>> inbound_bodies::admit(std::size_t bytes, time_point deadline)
{
    if (this->waiting.empty() && this->has_room(bytes)) {
        co_return std::make_shared<body_reservation>(*this, bytes);
    }
    waiter self(this->loop, bytes);
    // Removes the waiter from the queue when the wait is cancelled or times out.
    struct queue_guard {
        inbound_bodies& all;
        waiter& self;
        ~queue_guard()
        {
            if (!this->self.granted) {
                this->all.bytes_waiting -= this->self.bytes;
                this->all.waiting.remove(&this->self);
            }
        }
    } guard{*this, self};
    this->waiting.push_back(&self);
    this->bytes_waiting += bytes;
    self.ready.expires_at(deadline);
    co_await self.ready.async_wait(net::use_task);
    co_return self.granted;
}

} // namespace pomeloloft::sidecar
