#include "pomeloloft/http/connection_account.hpp"

#include <algorithm>

#include <Poco/Exception.h>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft {
namespace {

/// Memory of a connection's thread, its stack and its streams.
constexpr std::uint64_t connection_bytes = 64U << 10U;
/// A connection's socket, the one to the target, an idle one kept for later, and one to wait on both.
constexpr std::size_t descriptors_per_connection = 4;
/// Longest wait for memory, and for the end of a thread whose connection was closed.
constexpr milliseconds max_wait{900};

/// Time without progress after which a client in the middle of a request loses the slot that it holds.
constexpr milliseconds max_request_stall{2000};

constexpr const char* memory_limit = "memory";
constexpr const char* connection_limit = "connections";

} // namespace

memory_limits connection_limits_of(std::uint64_t memory_mb, std::uint64_t max_descriptors)
{
    const std::uint64_t bytes = client_bytes_of(memory_mb);
    // Half of the memory is left to what requests hold.
    const std::size_t connections = std::min<std::size_t>(
        client_connections_of(max_descriptors, descriptors_per_connection), bytes / 2 / connection_bytes);
    return {bytes, connections};
}

connection_account::connection* connection_account::find(const Poco::Net::StreamSocket& client)
{
    const auto found = this->open_connections.find(client.impl());
    return found == this->open_connections.end() ? nullptr : &found->second;
}

void connection_account::shut(account_entry& entry, const char* limit)
{
    if (this->log_lines.try_acquire(steady_clock::now())) {
        log_warning("client-closed",
                    {{"limit", limit},
                     {"connections", static_cast<std::uint64_t>(this->account.connections())},
                     {"bytes", this->account.bytes()},
                     {"suppressed", this->log_lines.take_suppressed()}});
    }
    this->account.close(entry);
    try {
        // Ends the operation in which the connection's thread waits.
        static_cast<connection&>(entry).socket.shutdown();
    } catch (const Poco::Exception&) {
        return; // The client has closed it already.
    }
}

bool connection_account::open(const Poco::Net::StreamSocket& client)
{
    std::unique_lock lock(this->mutex);
    const time_point deadline = steady_clock::now() + max_wait;
    while (this->open_connections.size() >= this->account.limits.connections) {
        if (!this->account.has_room_for_connection()) {
            account_entry* const oldest = this->account.least_recent();
            if (oldest == nullptr) {
                ++this->counted.not_accepted;
                return false;
            }
            ++this->counted.closed_for_connection;
            this->shut(*oldest, connection_limit);
        }
        if (this->changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            ++this->counted.not_accepted;
            return false;
        }
    }
    connection& added = this->open_connections[client.impl()];
    added.socket = client;
    this->account.open(added, steady_clock::now());
    this->account.charge(added, connection_bytes);
    return true;
}

void connection_account::close(const Poco::Net::StreamSocket& client)
{
    const std::lock_guard lock(this->mutex);
    if (connection* const ended = this->find(client)) {
        this->account.close(*ended);
        this->open_connections.erase(client.impl());
        this->changed.notify_all();
    }
}

void connection_account::enter(const Poco::Net::StreamSocket& client, client_phase phase)
{
    const std::lock_guard lock(this->mutex);
    if (connection* const found = this->find(client)) {
        this->account.enter(*found, phase, steady_clock::now());
    }
}

void connection_account::record_progress(const Poco::Net::StreamSocket& client, std::uint64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    if (connection* const found = this->find(client)) {
        this->account.record_progress(*found, bytes, steady_clock::now());
    }
}

bool connection_account::try_reserve(connection& holder, std::uint64_t bytes)
{
    const time_point now = steady_clock::now();
    while (!this->account.reserve(holder, bytes)) {
        account_entry* const stalled = this->account.stalled_holder(now);
        if (stalled == nullptr) {
            return false;
        }
        ++this->counted.closed_stalled;
        this->shut(*stalled, memory_limit);
    }
    return true;
}

bool connection_account::reserve(const Poco::Net::StreamSocket& client, std::uint64_t bytes)
{
    std::unique_lock lock(this->mutex);
    connection* const holder = this->find(client);
    if (holder == nullptr) {
        return true;
    }
    const client_phase phase = holder->phase;
    this->account.enter(*holder, client_phase::waiting, steady_clock::now());
    const time_point deadline = steady_clock::now() + max_wait;
    bool reserved = this->try_reserve(*holder, bytes);
    while (!reserved && steady_clock::now() < deadline) {
        this->changed.wait_until(lock, std::min(deadline, this->account.next_stall()));
        reserved = this->try_reserve(*holder, bytes);
    }
    this->counted.refused += reserved ? 0 : 1;
    this->account.enter(*holder, phase, steady_clock::now());
    return reserved;
}

void connection_account::release(const Poco::Net::StreamSocket& client, std::uint64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    if (connection* const found = this->find(client)) {
        this->account.release(*found, bytes);
        this->changed.notify_all();
    }
}

void connection_account::close_stalled(bool contended)
{
    const std::lock_guard lock(this->mutex);
    const time_point now = steady_clock::now();
    if (!contended && this->account.has_room_for_connection()) {
        return;
    }
    while (account_entry* const stalled = this->account.stalled_request(now, max_request_stall)) {
        ++this->counted.closed_stalled;
        this->shut(*stalled, contended ? "slots" : connection_limit);
    }
}

connection_account_counters connection_account::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->counted;
}

std::uint64_t connection_account::bytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->account.bytes();
}

std::size_t connection_account::connections() const
{
    const std::lock_guard lock(this->mutex);
    return this->account.connections();
}

} // namespace pomeloloft
