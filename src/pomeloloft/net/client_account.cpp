#include "pomeloloft/net/client_account.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft::net {
namespace {

/// Longest wait for memory. A client gives up a request that is not read within a second.
constexpr milliseconds max_memory_wait{900};
/// Requests that wait for memory; further ones are refused at once.
constexpr std::size_t max_waiting = 16;

constexpr const char* memory_limit = "memory";
constexpr const char* connection_limit = "connections";

} // namespace

void client_account::log(const char* event, const char* limit)
{
    if (this->log_lines.try_acquire(steady_clock::now())) {
        log_warning(event, {{"limit", limit},
                            {"connections", static_cast<std::uint64_t>(this->account.connections())},
                            {"bytes", this->account.bytes()},
                            {"suppressed", this->log_lines.take_suppressed()}});
    }
}

void client_account::close_client(account_entry& entry, const char* limit)
{
    this->log("client-closed", limit);
    this->account.close(entry);
    // Ends the pending operation of the task that serves the connection, and with it the task.
    static_cast<client_lease&>(entry).stream.close();
}

bool client_account::open(client_lease& lease)
{
    if (!this->account.has_room_for_connection()) {
        account_entry* const oldest = this->account.least_recent();
        if (oldest == nullptr) {
            ++this->counted.not_accepted;
            this->log("client-not-accepted", connection_limit);
            return false;
        }
        ++this->counted.closed_for_connection;
        this->close_client(*oldest, connection_limit);
    }
    this->account.open(lease, steady_clock::now());
    return true;
}

void client_account::close(client_lease& lease)
{
    this->account.close(lease);
    this->wake_waiting();
}

void client_account::wake_waiting()
{
    if (!this->account.is_overdrawn()) {
        for (timer* each : this->waiting) {
            each->cancel();
        }
    }
}

bool client_account::try_reserve(client_lease& lease, std::uint64_t bytes)
{
    const time_point now = steady_clock::now();
    while (!this->account.reserve(lease, bytes)) {
        account_entry* const stalled = this->account.stalled_holder(now);
        if (stalled == nullptr) {
            return false;
        }
        ++this->counted.closed_for_memory;
        this->close_client(*stalled, memory_limit);
    }
    return true;
}

void client_account::charge(client_lease& lease, std::uint64_t bytes)
{
    this->account.charge(lease, bytes);
    const time_point now = steady_clock::now();
    while (this->account.is_overdrawn()) {
        account_entry* const stalled = this->account.stalled_holder(now);
        if (stalled == nullptr) {
            return;
        }
        ++this->counted.closed_for_memory;
        this->close_client(*stalled, memory_limit);
    }
}

task<bool> client_account::reserve(client_lease& lease, std::uint64_t bytes)
{
    const client_phase phase = lease.phase;
    this->account.enter(lease, client_phase::waiting, steady_clock::now());
    const time_point deadline = steady_clock::now() + max_memory_wait;
    bool reserved = this->account.could_fit(bytes) && this->try_reserve(lease, bytes);
    if (!reserved && this->account.could_fit(bytes) && this->waiting.size() < max_waiting) {
        timer retry(this->loop.get_executor());
        // Removes the timer also when the task is destroyed while it waits.
        struct place_in_queue {
            std::list<timer*>& queue;
            std::list<timer*>::iterator place;
            ~place_in_queue() { this->queue.erase(this->place); }
        } const waiting_here{this->waiting, this->waiting.insert(this->waiting.end(), &retry)};
        while (!reserved && steady_clock::now() < deadline) {
            retry.expires_at(std::min(deadline, this->account.next_stall()));
            co_await retry.async_wait(use_task);
            reserved = this->try_reserve(lease, bytes);
        }
    }
    if (!reserved) {
        ++this->counted.refused;
        this->log("request-refused", memory_limit);
    }
    this->account.enter(lease, phase, steady_clock::now());
    co_return reserved;
}

client_lease::client_lease(std::shared_ptr<client_account> account, tcp_stream& client,
                           const refusal_decorator& on_refusal)
    : shared(std::move(account)), stream(client), refusal(on_refusal)
{
    if (this->shared) {
        this->admitted = this->shared->open(*this);
    }
}

client_lease::~client_lease()
{
    if (this->shared) {
        this->shared->close(*this);
    }
}

void client_lease::enter(client_phase next)
{
    if (this->shared) {
        this->shared->account.enter(*this, next, steady_clock::now());
    }
}

void client_lease::record_progress(std::uint64_t moved)
{
    if (this->shared) {
        this->shared->account.record_progress(*this, moved, steady_clock::now());
    }
}

void client_lease::reset(std::uint64_t buffer_bytes)
{
    if (this->shared) {
        this->release(this->bytes);
        this->charge(buffer_bytes);
    }
}

task<bool> client_lease::reserve(std::uint64_t wanted)
{
    if (!this->shared) {
        co_return true;
    }
    if (this->shared->account.reserve(*this, wanted)) {
        co_return true;
    }
    const bool reserved = co_await this->shared->reserve(*this, wanted);
    co_return reserved;
}

bool client_lease::could_fit(std::uint64_t wanted) const
{
    return !this->shared || this->shared->account.could_fit(wanted);
}

void client_lease::charge(std::uint64_t taken)
{
    if (this->shared) {
        this->shared->charge(*this, taken);
    }
}

void client_lease::release(std::uint64_t given_back)
{
    if (this->shared) {
        this->shared->account.release(*this, given_back);
        this->shared->wake_waiting();
    }
}

void client_lease::decorate(const request& head, response& outgoing) const
{
    if (this->refusal) {
        this->refusal(head, outgoing);
    }
}

} // namespace pomeloloft::net
