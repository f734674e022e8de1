#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomeloloft/net/client_account.hpp"
#include "pomeloloft/net/client_watch.hpp"
#include "pomeloloft/net/pipelining.hpp"
#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Limits on what clients of a listener may send; they may be changed while it runs.
struct server_limits {
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 64U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    milliseconds body_timeout{30'000};
    milliseconds write_timeout{30'000};
    pipelining_limits pipelining;
};

/// The result of a handler.
struct reply {
    net::response response;
    /// Close the connection without sending a response.
    bool close_without_response = false;
};

/// Handles one request. The task is cancelled when the client closes its connection, or when the connection
/// closes before the request's turn to be answered.
using handler = std::function<task<reply>(request&)>;

/// Same as above, for handlers that pass the request on and therefore need to know whether the client is
/// still connected.
using watched_handler = std::function<task<reply>(request&, client_watch&)>;

/// The decision on a request with `Expect: 100-continue`, whose client waits before it sends the body.
struct expect_continue_decision {
    /// Response that refuses the body; empty when the body is accepted.
    std::optional<response> refusal;
    /// Released when the body has been read or the connection has ended.
    std::shared_ptr<const void> body_reservation;
};

/// Decides from the header of a request with `Expect: 100-continue` whether its body is accepted; may
/// suspend. The task is cancelled when the client closes its connection.
/// @param body_bytes size of the body that would follow; 0 when the header does not state it.
using expect_continue_handler =
    std::function<task<expect_continue_decision>(request& header, std::uint64_t body_bytes)>;

/// An HTTP/1.1 listener on the event loop.
class server {
public:
    /// Starts listening.
    /// @param setting name of the setting that holds `address`, used in errors.
    [[nodiscard]] static result<std::shared_ptr<server>>
    start(event_loop& loop, const std::string& address, const std::string& setting, handler on_request);

    /// Same as above.
    [[nodiscard]] static result<std::shared_ptr<server>> start(event_loop& loop, const std::string& address,
                                                               const std::string& setting,
                                                               watched_handler on_request);

    /// Limits that apply to the requests read from now on.
    server_limits limits;

    /// Handles requests with `Expect: 100-continue`; when it is not set, every body is accepted.
    expect_continue_handler on_expect_continue;

    /// Account of the memory for clients that this listener shares with others; null for none. Applies to the
    /// connections that are accepted from now on.
    std::shared_ptr<client_account> account;

    /// Changes the responses that refuse a request before it is handled; may be empty.
    refusal_decorator on_refusal;

    /// Tells from its header and body whether a request may be handled beside others of its connection, in
    /// any order. When it is not set, each connection's requests are handled one after the other. Set it
    /// before connections are accepted.
    std::function<bool(const request&)> may_overlap;

    /// Counts of requests that were sent ahead.
    pipelining_counters pipelining;

    /// The port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const;

    /// Closes each connection after the last response to the requests in progress on it, or after its next
    /// response, which tells the client so with `Connection: close`. Starts no further request on it before.
    void disable_keep_alive() { this->closing = true; }

    /// Stops accepting connections. Those that are open end after their next response or at the idle timeout.
    void stop();

    /// Number of requests being handled.
    [[nodiscard]] std::uint32_t active() const { return this->active_count; }

    server(event_loop& owner_loop, watched_handler on_request)
        : loop(owner_loop), acceptor(owner_loop), request_handler(std::move(on_request))
    {}

private:
    friend class connection;

    static task<void> accept(std::shared_ptr<server> self);

    event_loop& loop;
    tcp_acceptor acceptor;
    watched_handler request_handler;
    bool closing = false;
    std::uint32_t active_count = 0;
    std::size_t expected_response_bytes = 0;
};

} // namespace pomeloloft::net
