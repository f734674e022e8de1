#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/http/response_check.hpp"

namespace pomeloloft {

/// Limits on what a connection receives for one response.
struct receive_limits {
    /// Reads after this time fail.
    time_point deadline = no_deadline;
    /// Bytes that may still be received before the head of the final response is complete.
    std::size_t head_bytes_left = 0;
    bool reading_head = false;
    /// Finds violations of the protocol in what is received.
    response_check check;
};

/// A client connection that records whether the remote has closed it, so that a truncated body is detected.
class client_connection : public Poco::Net::HTTPClientSession {
public:
    explicit client_connection(const std::string& address);

    /// Whether a read has reached the end of the remote's stream.
    [[nodiscard]] bool remote_closed() const { return *this->eof_seen; }

    /// Connects to the remote; fails with `unavailable` if the deadline passes first.
    result<void> open(time_point deadline);

    /// Limits how long each read and write on the open connection may block.
    void set_io_timeout(milliseconds timeout);

    /// Reads the head of the final response; throws a POCO exception if it is invalid, exceeds the limit of
    /// head bytes or the deadline passes. Reading the body fails if the deadline passes or its chunks are
    /// invalid.
    std::istream& receive_head(Poco::Net::HTTPResponse& response, time_point deadline);

    /// Whether an idle connection can carry another request: it is open and has no unread bytes.
    [[nodiscard]] bool is_reusable();

    /// When the connection was last returned to the pool.
    time_point idle_since;

private:
    /// Set by the socket when a read reaches the end of the remote's stream.
    std::shared_ptr<bool> eof_seen = std::make_shared<bool>(false);
    /// Checked by the socket on each read.
    std::shared_ptr<receive_limits> limits = std::make_shared<receive_limits>();
};

/// Reads a short body.
/// @return the body; nothing if it is longer than `max_bytes`.
[[nodiscard]] std::optional<std::string> read_short_body(std::istream& body, std::size_t max_bytes);

/// A connection acquired from the pool.
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

/// A pool of idle client connections, by remote address. Thread-safe.
class connection_pool {
public:
    explicit connection_pool(pool_options limits = {}) : options(limits) {}

    /// Returns an idle connection that is still reusable, or opens a new one.
    result<pooled_connection> acquire(const std::string& address, time_point deadline);

    /// Opens a new connection, even if an idle one exists.
    result<pooled_connection> connect(const std::string& address, time_point deadline) const;

    /// Returns a connection to the pool after a complete response.
    void release(const std::string& address, std::unique_ptr<client_connection> connection);

    /// Closes all idle connections to an address.
    void discard(const std::string& address);

    /// Closes connections that have exceeded their idle time, and those that cannot be reused because the
    /// remote has closed them or has sent bytes that belong to no request.
    void sweep();

    /// Number of idle connections.
    [[nodiscard]] std::size_t idle() const;

    /// Number of idle connections that were dropped instead of reused: expired, closed, with unread bytes, or
    /// removed by `discard`.
    [[nodiscard]] std::uint64_t discarded() const;

private:
    std::unique_ptr<client_connection> take_idle(const std::string& address);

    pool_options options;
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::vector<std::unique_ptr<client_connection>>> idle_by_address;
    std::uint64_t discarded_count = 0;
};

} // namespace pomeloloft
