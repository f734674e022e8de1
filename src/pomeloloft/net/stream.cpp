#include "pomeloloft/net/stream.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

#include <boost/beast/http/error.hpp>

namespace pomeloloft::net {
namespace {

template <int Level, int Name>
using integer_option = asio::detail::socket_option::integer<Level, Name>;

error endpoint_error(const std::string& text, const std::string& setting)
{
    return {pomeloloft::error_code::invalid, setting, "must be HOST:PORT with a numeric host, got: " + text};
}

} // namespace

result<tcp::endpoint> parse_endpoint(const std::string& text, const std::string& setting)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return endpoint_error(text, setting);
    }
    error_code ec;
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != end) {
        return endpoint_error(text, setting);
    }
    return tcp::endpoint(address, port);
}

void configure_socket(tcp_stream& stream, const liveness_options& options)
{
    // These options only improve latency and failure detection: the connection is usable without them.
    error_code ignored;
    auto& socket = stream.socket();
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto user_timeout = static_cast<int>(options.user_timeout.count());
    socket.set_option(integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(user_timeout), ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPIDLE>(static_cast<int>(options.probe_after.count())), ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPINTVL>(static_cast<int>(options.probe_interval.count())),
        ignored);
    socket.set_option(integer_option<IPPROTO_TCP, TCP_KEEPCNT>(options.probes), ignored);
}

bool is_idle_and_open(tcp_stream& stream)
{
    char byte = 0;
    const auto received_bytes = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool is_malformed(const error_code& ec)
{
    const bool ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
    return !ended && ec.category() == http::make_error_code(http::error::bad_value).category();
}

response make_response(http::status status, std::string body, const char* content_type)
{
    response out{status, 11};
    if (!body.empty()) {
        out.set(http::field::content_type, content_type);
    }
    out.body() = std::move(body);
    out.prepare_payload();
    return out;
}

} // namespace pomeloloft::net
