#include "pomeloloft/sidecar/inbound_bodies.hpp"

#include <algorithm>

#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Bytes a link of 1 Mbit/s carries in a millisecond.
constexpr double bytes_per_ms_per_mbps = 125.0;
/// Share of the link that bodies may fill; the rest is for answers, small requests and news of members.
constexpr double share_for_bodies = 0.8;
/// Bodies under way together take at most this long, so that a small message waits no longer behind them.
constexpr milliseconds most_under_way{100};
/// Bodies that may be under way however long they take: while one ends, the next begins.
constexpr std::uint32_t least_under_way = 2;

} // namespace

/// A body waiting for its turn.
struct inbound_bodies::waiter {
    waiter(net::event_loop& loop, std::size_t size) : bytes(size), turn(loop.get_executor()) {}

    std::size_t bytes;
    net::timer turn;
    std::shared_ptr<const void> granted;
};

/// Counts a body as under way.
class inbound_bodies::body_hold {
public:
    body_hold(inbound_bodies& all, std::size_t size) : bodies(all), bytes(size)
    {
        this->bodies.bytes_under_way += this->bytes;
        ++this->bodies.under_way;
    }
    body_hold(const body_hold&) = delete;
    body_hold& operator=(const body_hold&) = delete;
    ~body_hold()
    {
        this->bodies.bytes_under_way -= this->bytes;
        --this->bodies.under_way;
        this->bodies.grant_next();
    }

private:
    inbound_bodies& bodies;
    std::size_t bytes;
};

inbound_bodies::inbound_bodies(net::event_loop& where, std::uint32_t mbps)
    : loop(where), bytes_per_ms(std::max(mbps, 1U) * bytes_per_ms_per_mbps * share_for_bodies)
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
    return this->transfer_time(this->bytes_under_way + this->bytes_waiting);
}

std::uint32_t inbound_bodies::count() const
{
    return this->under_way + static_cast<std::uint32_t>(this->waiting.size());
}

bool inbound_bodies::has_room(std::size_t bytes) const
{
    const bool few = this->under_way < least_under_way;
    return few || this->transfer_time(this->bytes_under_way + bytes) <= most_under_way;
}

void inbound_bodies::grant_next()
{
    while (!this->waiting.empty() && this->has_room(this->waiting.front()->bytes)) {
        waiter* next = this->waiting.front();
        this->waiting.pop_front();
        this->bytes_waiting -= next->bytes;
        next->granted = std::make_shared<body_hold>(*this, next->bytes);
        next->turn.cancel();
    }
}

net::task<std::shared_ptr<const void>> inbound_bodies::admit(std::size_t bytes, time_point give_up_at)
{
    if (this->waiting.empty() && this->has_room(bytes)) {
        co_return std::make_shared<body_hold>(*this, bytes);
    }
    waiter self(this->loop, bytes);
    // Leaves the queue when the wait is cancelled or too long.
    struct leave_queue {
        inbound_bodies& all;
        waiter& self;
        ~leave_queue()
        {
            if (!this->self.granted) {
                this->all.bytes_waiting -= this->self.bytes;
                this->all.waiting.remove(&this->self);
            }
        }
    } guard{*this, self};
    this->waiting.push_back(&self);
    this->bytes_waiting += bytes;
    self.turn.expires_at(give_up_at);
    co_await self.turn.async_wait(net::use_task);
    co_return self.granted;
}

} // namespace pomeloloft::sidecar
