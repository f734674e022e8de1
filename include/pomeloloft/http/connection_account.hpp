#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>

#include <Poco/Net/StreamSocket.h>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/base/memory_account.hpp"

namespace pomeloloft {

/// How often the limits on clients took effect.
struct connection_account_counters {
    /// Connections closed for a newer one.
    std::uint64_t closed_for_connection = 0;
    /// Connections that were not accepted, as every other one had a request in progress.
    std::uint64_t not_accepted = 0;
    /// Stalled connections closed for what they held while others waited for it.
    std::uint64_t closed_stalled = 0;
    /// Requests refused for lack of memory.
    std::uint64_t refused = 0;
};

/// Limits of a process whose listeners use a thread for each connection.
/// @param memory_mb memory of the process, in MB.
/// @param max_descriptors file descriptors that it may have open.
[[nodiscard]] memory_limits connection_limits_of(std::uint64_t memory_mb, std::uint64_t max_descriptors);

/// The account of what a process holds for the clients of its listeners, each of which has a thread.
/// Thread-safe.
class connection_account {
public:
    explicit connection_account(memory_limits limits) : account(limits) {}
    connection_account(const connection_account&) = delete;
    connection_account& operator=(const connection_account&) = delete;

    /// Adds a connection. When the limit is reached, closes the one that has not made progress for longest
    /// and waits until its thread has ended.
    /// @return whether the connection may be served.
    [[nodiscard]] bool open(const Poco::Net::StreamSocket& client);

    /// Removes a connection that has ended.
    void close(const Poco::Net::StreamSocket& client);

    void enter(const Poco::Net::StreamSocket& client, client_phase phase);
    void record_progress(const Poco::Net::StreamSocket& client, std::uint64_t bytes);

    /// Takes bytes for a request, closing stalled connections for them if needed; waits a while.
    /// @return whether they were taken.
    [[nodiscard]] bool reserve(const Poco::Net::StreamSocket& client, std::uint64_t bytes);
    void release(const Poco::Net::StreamSocket& client, std::uint64_t bytes);

    /// Closes connections that are stalled in the middle of a request, if others wait for what they hold.
    /// @param contended others wait for something else that requests hold, such as a slot.
    void close_stalled(bool contended);

    [[nodiscard]] connection_account_counters counters() const;
    [[nodiscard]] std::uint64_t bytes() const;
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t max_connections() const { return this->account.limits.connections; }

private:
    struct connection : account_entry {
        Poco::Net::StreamSocket socket;
    };

    connection* find(const Poco::Net::StreamSocket& client);
    void shut(account_entry& entry, const char* limit);
    bool try_reserve(connection& holder, std::uint64_t bytes);

    mutable std::mutex mutex;
    std::condition_variable changed;
    memory_account account;
    /// Also those that have been closed here and whose thread has not ended.
    std::map<const Poco::Net::SocketImpl*, connection> open_connections;
    connection_account_counters counted;
    log_rate_limiter log_lines{1};
};

} // namespace pomeloloft
