#include "pomeloloft/net/sent_ahead.hpp"

#include <string_view>

namespace pomeloloft::net {

std::optional<buffered_request> parse_buffered(const beast::flat_buffer& buffer, const server_limits& limits)
{
    const auto bytes = buffer.cdata();
    const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
    if (text.find("\r\n\r\n") == std::string_view::npos) {
        return std::nullopt;
    }
    request_parser parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    error_code ec;
    buffered_request out;
    out.size = parser.put(bytes, ec);
    if (ec || !parser.is_header_done() || parser.chunked() ||
        parser.get().find(http::field::expect) != parser.get().end()) {
        return std::nullopt;
    }
    // The body is parsed only when it is complete, because its memory is reserved at its beginning.
    if (parser.content_length().value_or(0) > bytes.size() - out.size) {
        return std::nullopt;
    }
    if (!parser.is_done()) {
        out.size += parser.put(bytes + out.size, ec);
    }
    if (ec || !parser.is_done()) {
        return std::nullopt;
    }
    out.keep_alive = parser.keep_alive();
    out.received = parser.release();
    return out;
}

} // namespace pomeloloft::net
