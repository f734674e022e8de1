#pragma once

#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/rate_policy.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"

namespace pomeloloft::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// The event loop that all of a process's sockets and timers run on.
using event_loop = asio::io_context;
using executor = event_loop::executor_type;

/// A coroutine on the event loop.
template <typename T>
using task = asio::awaitable<T, executor>;

/// Awaits an operation and returns its error code in place of an exception.
inline constexpr auto use_task = asio::as_tuple(asio::use_awaitable_t<executor>{});

using tcp = asio::ip::tcp;
using tcp_stream = beast::basic_stream<tcp, executor, beast::unlimited_rate_policy>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, executor>;
using error_code = boost::system::error_code;

/// Requests and responses with their whole body.
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Reads `HOST:PORT` with a numeric host.
/// @param setting named in errors.
[[nodiscard]] result<tcp::endpoint> parse_endpoint(const std::string& text, const std::string& setting);

/// How soon a connection whose remote has fallen silent is given up.
struct liveness_options {
    /// Unacknowledged bytes end the connection after this.
    milliseconds user_timeout{1500};
    /// Idle time before the first keep-alive probe.
    std::chrono::seconds probe_after{1};
    std::chrono::seconds probe_interval{1};
    int probes = 2;
};

/// Sets the socket's time-outs and switches Nagle's algorithm off.
void configure_socket(tcp_stream& stream, const liveness_options& options);

/// Whether an idle connection is still open and has nothing to be read.
[[nodiscard]] bool is_idle_and_open(tcp_stream& stream);

/// Whether reading a message failed because the remote broke the protocol, not because it ended.
[[nodiscard]] bool is_malformed(const error_code& failed);

/// The value of a header, valid as long as the message is unchanged; empty where it is missing.
template <typename Message, typename Name>
[[nodiscard]] std::string_view header_text(const Message& message, const Name& name)
{
    const auto text = message[name];
    return {text.data(), text.size()};
}

/// A response with a short text body.
[[nodiscard]] response make_response(http::status status, std::string body = {},
                                     const char* content_type = "text/plain");

} // namespace pomeloloft::net
