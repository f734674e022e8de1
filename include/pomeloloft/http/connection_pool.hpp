#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// A client connection that remembers whether the remote closed it, so that a body cut short is noticed.
class client_connection : public Poco::Net::HTTPClientSession {
public:
    explicit client_connection(const std::string& address);

    /// Whether the remote's end of the stream has been read.
    [[nodiscard]] bool remote_closed() const { return *this->end_seen; }

    /// Connects now, until the deadline at the latest.
    result<void> open(time_point deadline);

    /// Limits how long each read and write on the open connection may wait.
    void set_io_timeout(milliseconds timeout);

    /// Whether an idle connection can carry another request: still open and with nothing left to read.
    [[nodiscard]] bool is_reusable();

    /// Since when the connection is idle.
    time_point idle_since;

private:
    /// Set by the socket when a read finds the remote's end of the stream.
    std::shared_ptr<bool> end_seen = std::make_shared<bool>(false);
};

/// A connection taken from the pool.
struct pooled_connection {
    std::unique_ptr<client_connection> connection;
    bool reused = false;
};

/// Limits of a `connection_pool`.
struct pool_options {
    std::size_t max_idle_per_address = 32;
    milliseconds max_idle{10'000};
    milliseconds connect_timeout{500};
};

/// Idle connections by address. Safe for many threads.
class connection_pool {
public:
    explicit connection_pool(pool_options limits = {}) : options(limits) {}

    /// An idle connection that is still clean, or a new one.
    result<pooled_connection> acquire(const std::string& address, time_point deadline);

    /// Opens a new connection, whatever is idle.
    result<pooled_connection> connect(const std::string& address, time_point deadline) const;

    /// Puts a connection back after a whole answer.
    void release(const std::string& address, std::unique_ptr<client_connection> connection);

    /// Closes all idle connections to an address.
    void discard(const std::string& address);

    /// Closes connections that have been idle for too long.
    void sweep();

    /// Idle connections held.
    [[nodiscard]] std::size_t idle() const;

    /// Connections found closed or unclean when they were to be used again.
    [[nodiscard]] std::uint64_t discarded() const;

private:
    std::unique_ptr<client_connection> take_idle(const std::string& address);

    pool_options options;
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::vector<std::unique_ptr<client_connection>>> idle_by_address;
    std::uint64_t discarded_count = 0;
};

} // namespace pomeloloft
