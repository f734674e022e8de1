#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/base/names.hpp"
#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Longest body of a response that is accepted. Bodies are held in memory until they are complete, and a
/// small VM has room for one in each slot of its target.
inline constexpr std::uint64_t default_max_response_body_bytes = 4U << 20U;

/// A client connection with its pooling state.
struct connection {
    explicit connection(executor stream_executor) : stream(stream_executor) {}

    tcp_stream stream;
    beast::flat_buffer buffer{max_buffered_bytes};
    /// When the connection was last returned to the pool.
    time_point idle_since;
    /// When the remote is expected to close the connection as idle, by its `Keep-Alive` header.
    time_point expires_at = no_deadline;
    bool reused = false;
    /// An exchange is in progress. A connection destroyed in this state is reset (RST), so that bytes still
    /// queued in the socket are dropped instead of being sent to a remote that no longer needs them.
    bool in_exchange = false;

    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
};

using connection_ptr = std::unique_ptr<connection>;

/// Limits of a `client_pool`.
struct client_options {
    liveness_options liveness;
    milliseconds connect_timeout{500};
    milliseconds max_idle{8000};
    std::size_t max_idle_per_address = 64;
};

/// A pool of idle client connections, by remote address. Not thread-safe: it belongs to one event loop.
class client_pool {
public:
    client_pool(event_loop& owner_loop, client_options limits) : loop(owner_loop), options(limits) {}

    /// Returns the most recently used idle connection that is still open and has been idle for less than
    /// `max_idle`, or null.
    [[nodiscard]] connection_ptr take_idle(const tcp::endpoint& address, milliseconds max_idle);

    /// Opens a new connection. Fails with `unavailable` when the remote refuses it and with `timeout` when
    /// the remote does not respond in time.
    [[nodiscard]] task<result<connection_ptr>> connect(tcp::endpoint address, time_point deadline);

    /// Returns an idle connection, or opens a new one.
    [[nodiscard]] task<result<connection_ptr>> acquire(tcp::endpoint address, time_point deadline);

    /// Same as above, but with a limit of its own on how long a reused connection may have been idle.
    [[nodiscard]] task<result<connection_ptr>> acquire(tcp::endpoint address, time_point deadline,
                                                       milliseconds max_idle);

    /// Sends a request and returns the complete response, whatever its status. After a failure all idle
    /// connections to the address are closed, because they may have broken together with the one in use.
    [[nodiscard]] task<result<response>> call(tcp::endpoint address, request outgoing, time_point deadline);

    /// Returns a connection to the pool for reuse.
    void release(const tcp::endpoint& address, connection_ptr used);

    /// Closes all idle connections to an address.
    void discard(const tcp::endpoint& address) { this->idle.erase(address); }

    /// Closes connections that have exceeded their idle time, and those that cannot be reused because the
    /// remote has closed them or has sent bytes that belong to no request.
    void sweep();

    /// Number of idle connections.
    [[nodiscard]] std::size_t idle_connections() const;

private:
    event_loop& loop;
    client_options options;
    std::map<tcp::endpoint, std::vector<connection_ptr>> idle;
};

/// How an exchange ended.
enum class exchange_end : std::uint8_t {
    answered,
    /// The connection was closed or failed before a complete response was read.
    lost,
    timed_out,
    /// The remote sent data that is not a valid response, or a response to another request.
    malformed,
    /// The exchange was cancelled because the client that it served has disconnected.
    cancelled,
};

/// Names of `exchange_end` in logs and metrics.
inline constexpr name_table<exchange_end, 5> exchange_end_names{{
    {exchange_end::answered, "answered"},
    {exchange_end::lost, "lost"},
    {exchange_end::timed_out, "timed-out"},
    {exchange_end::malformed, "malformed"},
    {exchange_end::cancelled, "cancelled"},
}};

/// The result of an exchange.
struct exchange_result {
    exchange_end end = exchange_end::lost;
    net::response response;
    /// Whether the connection can carry another request.
    bool reusable = false;
    /// Whether any bytes of a response were received.
    bool response_started = false;
    /// Whether no part of the body was sent, because the remote had not sent `100 Continue`.
    bool body_withheld = false;
};

/// Deadlines, limits and response matching of an exchange.
struct exchange_options {
    time_point deadline = no_deadline;
    std::uint64_t max_body_bytes = default_max_response_body_bytes;
    /// Response header that must repeat the request's value; a response with another value is skipped. Empty
    /// for no check.
    std::string id_header;
    /// Send a large body only after the remote has sent `100 Continue`; the caller sets the header
    /// `Expect: 100-continue`. A remote that refuses the body responds before it is sent, and the connection
    /// stays usable.
    bool wait_for_continue = false;
    /// Deadline for `100 Continue` or a refusal.
    time_point continue_deadline = no_deadline;
};

/// Sends a request and reads the complete response. When a response arrives before the request's body is
/// written, writing stops and the connection is not reusable.
[[nodiscard]] task<exchange_result> exchange(connection& conn, const request& outgoing,
                                             exchange_options options);

} // namespace pomeloloft::net
