#pragma once

#include <cstddef>
#include <string>
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

/// The event loop that runs all sockets and timers of a process.
using event_loop = asio::io_context;
using executor = event_loop::executor_type;

/// A coroutine on the event loop.
template <typename T>
using task = asio::awaitable<T, executor>;

/// Completion token that suspends the task and returns the operation's error code instead of throwing it.
inline constexpr auto use_task = asio::as_tuple(asio::use_awaitable_t<executor>{});

using tcp = asio::ip::tcp;
using tcp_stream = beast::basic_stream<tcp, executor, beast::unlimited_rate_policy>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, executor>;
using error_code = boost::system::error_code;

/// Received bytes that a connection holds before they are parsed: a head, or a chunk header or the trailers
/// with part of a body. A remote that sends more without completing them is disconnected.
inline constexpr std::size_t max_buffered_bytes = 128U << 10U;

/// Requests and responses with the complete body in memory.
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Parses `HOST:PORT` with a numeric host.
/// @param setting name of the setting that holds the text, used in errors.
[[nodiscard]] result<tcp::endpoint> parse_endpoint(const std::string& text, const std::string& setting);

/// TCP settings that detect a remote that no longer responds.
struct liveness_options {
    /// `TCP_USER_TIMEOUT`: the connection fails when sent bytes stay unacknowledged for this long.
    milliseconds user_timeout{1500};
    /// Idle time before the first keep-alive probe.
    std::chrono::seconds probe_after{1};
    std::chrono::seconds probe_interval{1};
    int probes = 2;
};

/// Applies the liveness options to a socket and disables Nagle's algorithm.
void configure_socket(tcp_stream& stream, const liveness_options& options);

/// Whether an idle connection is still open and has no unread bytes.
[[nodiscard]] bool is_idle_and_open(tcp_stream& stream);

/// Whether a message could not be read because the remote violated the protocol, as opposed to a connection
/// that was closed or failed.
[[nodiscard]] bool is_malformed(const error_code& ec);

/// Returns the value of a header, or an empty view when it is missing. The view is valid until the message
/// changes.
template <typename Message, typename Name>
[[nodiscard]] std::string_view header_text(const Message& message, const Name& name)
{
    const auto text = message[name];
    return {text.data(), text.size()};
}

/// Empties a body and frees its memory, which an assignment would keep.
inline void free_bytes(std::string& body)
{
    std::string().swap(body);
}

/// Builds an HTTP/1.1 response with a short text body.
[[nodiscard]] response make_response(http::status status, std::string body = {},
                                     const char* content_type = "text/plain");

} // namespace pomeloloft::net
