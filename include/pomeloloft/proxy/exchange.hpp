#pragma once

#include <functional>
#include <istream>
#include <memory>
#include <string>

#include <Poco/Net/HTTPResponse.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/http/connection_pool.hpp"
#include "pomeloloft/proxy/request.hpp"
#include "pomeloloft/proxy/response_writer.hpp"
#include "pomeloloft/traffic/dispatch.hpp"

namespace pomeloloft {

/// Result of sending a request and waiting for the head of its response.
enum class exchange_outcome : std::uint8_t {
    responded,
    /// No connection could be opened; the server has received nothing.
    unreachable,
    /// The connection failed after a part of the request was sent.
    lost,
    /// The deadline passed before the response.
    deadline,
    /// The caller closed its connection.
    caller_gone,
    /// `should_keep_waiting` returned false.
    abandoned,
    /// The caller's body ended before its declared length.
    body_truncated,
    /// Nothing was sent; see `exchange::verdict`.
    withheld,
};

/// A request to send upstream.
struct exchange_request {
    std::string address;
    const request_head* head = nullptr;
    /// Header fields set in addition to those of `head`.
    header_list extra_headers;
    request_body* body = nullptr;
    time_point deadline;
    /// Whether to stop when the caller closes its connection.
    bool watch_caller = true;
    /// Whether the request is refused because targets crashed while they ran it. Empty if it is not checked.
    std::function<bool()> is_quarantined;
    /// Called at growing intervals while no response arrives; false ends the wait. Empty to wait until the
    /// deadline.
    std::function<bool()> should_keep_waiting;
};

/// A sent request and the head of its response, or the reason why none arrived.
struct exchange {
    exchange_outcome outcome = exchange_outcome::unreachable;
    /// Why the request was withheld, if `outcome` is `withheld`.
    dispatch_verdict verdict = dispatch_verdict::send;
    std::unique_ptr<client_connection> connection;
    Poco::Net::HTTPResponse response;
    /// Body of the response if `outcome` is `responded`; owned by `connection`.
    std::istream* body = nullptr;
};

/// Sends a request and waits for the head of the response.
/// @param pool where the connection is taken from; the caller returns it after reading the body.
[[nodiscard]] exchange send_request(connection_pool& pool, const exchange_request& request);

/// Result of relaying a response body.
enum class relay_outcome : std::uint8_t { completed, truncated };

/// The head of a response as relayed: without hop-by-hop and mesh header fields.
/// @param method of the request; `HEAD` has no response body.
[[nodiscard]] response_head response_head_from(const exchange& ex, const std::string& method);

/// Relays a response body to a writer that has written its head. Returns the connection to the pool after a
/// complete body; a truncated one is made visible to the caller by cutting the caller's connection.
relay_outcome relay_body(exchange& ex, connection_pool& pool, const std::string& address,
                         response_writer& writer);

/// Reads and discards a short response body, so that its connection can be returned to the pool.
void discard_body(exchange& ex, connection_pool& pool, const std::string& address);

} // namespace pomeloloft
