#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// What clients of a listener may send; may change while it runs.
struct server_limits {
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 64U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    milliseconds body_timeout{30'000};
    milliseconds write_timeout{30'000};
};

/// What a handler answers with.
struct reply {
    response answer;
    /// Close the connection without an answer.
    bool close_without_response = false;
};

/// Answers one request. Cancelled when the client closes its connection.
using handler = std::function<task<reply>(request&)>;

/// What is decided on a request whose client waits before it sends the body.
struct expect_continue_decision {
    /// The answer to a request whose body is not wanted.
    std::optional<response> refusal;
    /// Released when the body has arrived or the connection has ended.
    std::shared_ptr<const void> body_reservation;
};

/// Decides on the header of a request that expects `100-continue`; may wait. Cancelled when the client closes
/// its connection.
/// @param body_bytes size of the body that would follow; zero where it was not told.
using expect_continue_handler =
    std::function<task<expect_continue_decision>(request& header, std::uint64_t body_bytes)>;

/// An HTTP/1.1 listener on the event loop.
class server {
public:
    /// Starts to listen; errors name `setting`.
    [[nodiscard]] static result<std::shared_ptr<server>> start(event_loop& loop, const std::string& address,
                                                               const std::string& setting, handler serve);

    /// The limits in force for requests from now on.
    server_limits limits;

    /// Decides whether a body is taken from a client that asks first; all are where it is not set.
    expect_continue_handler on_expect_continue;

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const;

    /// Tells clients with each answer that their connection ends.
    void disable_keep_alive() { this->closing = true; }

    /// Takes no more connections and closes those that are idle.
    void stop();

    /// Requests being answered.
    [[nodiscard]] std::uint32_t active() const { return this->active_count; }

    server(event_loop& where, handler serve) : loop(where), acceptor(where), answer(std::move(serve)) {}

private:
    static task<void> accept(std::shared_ptr<server> self);
    static task<void> serve(std::shared_ptr<server> self, tcp_stream stream);
    static task<bool> serve_one(server& self, tcp_stream& stream, beast::flat_buffer& buffer);

    event_loop& loop;
    tcp_acceptor acceptor;
    handler answer;
    bool closing = false;
    std::uint32_t active_count = 0;
};

} // namespace pomeloloft::net
