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

/// One client connection.
struct connection {
    explicit connection(executor where) : stream(where) {}

    tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idle_since;
    /// When the remote is expected to close it for being idle.
    time_point expires_at = no_deadline;
    bool reused = false;
    /// An exchange is under way. A connection that ends now is reset, so that bytes that still wait for the
    /// link are not sent to a remote that has no use for them.
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

/// Idle connections by address. Belongs to one event loop.
class client_pool {
public:
    client_pool(event_loop& where, client_options limits) : loop(where), options(limits) {}

    /// The most recently used idle connection that is still open and was idle for less than `max_idle`, or
    /// null.
    [[nodiscard]] connection_ptr take_idle(const tcp::endpoint& address, milliseconds max_idle);

    /// Opens a new connection; `unavailable` when the remote refuses, `timeout` when it does not answer.
    [[nodiscard]] task<result<connection_ptr>> connect(tcp::endpoint address, time_point deadline);

    /// An idle connection, or a new one.
    [[nodiscard]] task<result<connection_ptr>> acquire(tcp::endpoint address, time_point deadline);

    /// The same, passing over connections that were idle for longer than `max_idle`.
    [[nodiscard]] task<result<connection_ptr>> acquire(tcp::endpoint address, time_point deadline,
                                                       milliseconds max_idle);

    /// Sends a request and returns its whole answer, whatever its status. After a failure all idle
    /// connections to the address are closed, as they may have ended with the one that was used.
    [[nodiscard]] task<result<response>> call(tcp::endpoint address, request sent, time_point deadline);

    /// Keeps a connection for reuse.
    void release(const tcp::endpoint& address, connection_ptr used);

    /// Closes all idle connections to an address.
    void discard(const tcp::endpoint& address) { this->idle.erase(address); }

    /// Closes connections past their idle time.
    void sweep();

private:
    event_loop& loop;
    client_options options;
    std::map<tcp::endpoint, std::vector<connection_ptr>> idle;
};

/// How an exchange ended.
enum class exchange_end : std::uint8_t {
    answered,
    /// The connection ended or failed before a whole answer.
    lost,
    timed_out,
    /// The remote sent what is not an answer, or another request's.
    malformed,
    /// Given up by its caller, whose own client has left.
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

/// The outcome of an exchange.
struct exchange_result {
    exchange_end end = exchange_end::lost;
    response answer;
    /// The connection can carry another request.
    bool reusable = false;
    /// Bytes of an answer had arrived.
    bool response_started = false;
    /// The remote had not agreed to take the body, so none of it was sent.
    bool body_withheld = false;
};

/// What an answer is matched by.
struct exchange_options {
    time_point deadline = no_deadline;
    std::uint64_t max_body_bytes = 64U << 20U;
    /// Header that must echo the request's own; an answer with another value is skipped. Empty for none.
    std::string id_header;
    /// Send a large body only once the remote has agreed to take it (`Expect: 100-continue`, which the caller
    /// sets). A remote that refuses answers without the body, and the connection stays usable.
    bool wait_for_continue = false;
    /// Until when the remote may agree.
    time_point continue_deadline = no_deadline;
};

/// Sends a request and reads its whole answer. An answer that arrives before the request's body is written
/// ends the writing; the connection is not reusable then.
[[nodiscard]] task<exchange_result> exchange(connection& on, const request& sent, exchange_options options);

} // namespace pomeloloft::net
