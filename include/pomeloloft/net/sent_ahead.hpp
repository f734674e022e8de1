#pragma once

#include <optional>

#include "pomeloloft/net/request_reader.hpp"

namespace pomeloloft::net {

/// A request that lies complete at the beginning of a buffer.
struct buffered_request {
    request received;
    bool keep_alive = true;
    /// Bytes of the request in the buffer, which are not consumed.
    std::size_t size = 0;
};

/// Parses the request at the beginning of a buffer, if it has arrived completely. Does not read.
/// @return nothing if the request is incomplete, is malformed, exceeds a limit, has a chunked body or expects
/// `100 Continue`; `read_request` reads and answers such requests.
[[nodiscard]] std::optional<buffered_request> parse_buffered(const beast::flat_buffer& buffer,
                                                             const server_limits& limits);

} // namespace pomeloloft::net
