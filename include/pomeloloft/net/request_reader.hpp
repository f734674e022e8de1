#pragma once

#include <cstdint>

#include <boost/beast/http/parser.hpp>

#include "pomeloloft/net/client_account.hpp"
#include "pomeloloft/net/server.hpp"

namespace pomeloloft::net {

using request_parser = http::request_parser<http::string_body>;

/// How the reading of a request ended.
enum class read_outcome : std::uint8_t {
    complete,
    /// The body was refused; the connection can carry another request.
    refused,
    /// The connection is no longer usable.
    unusable,
};

/// Reads a complete request. Responds with an error if it is malformed, exceeds a limit, times out or does
/// not fit into the memory for clients; no such request has run.
/// @param buffer bytes received and not parsed yet, kept between the requests of a connection.
/// @param on_expect_continue decides on bodies that are offered; may be empty.
/// @param lease the connection's part in the account of memory. Holds the bytes of the request afterwards.
[[nodiscard]] task<read_outcome> read_request(tcp_stream& stream, beast::flat_buffer& buffer,
                                              request_parser& parser, const server_limits& limits,
                                              const expect_continue_handler& on_expect_continue,
                                              client_lease& lease);

/// Writes a complete response.
/// @return whether it was written.
[[nodiscard]] task<bool> write_response(tcp_stream& stream, response& outgoing, milliseconds timeout,
                                        client_lease& lease);

} // namespace pomeloloft::net
