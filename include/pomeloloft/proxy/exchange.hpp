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

namespace pomeloloft {

/// How sending a request and waiting for the head of its answer ended.
enum class exchange_outcome : std::uint8_t {
    answered,
    /// No connection: the remote has seen nothing.
    unreachable,
    /// The connection broke after something was sent.
    lost,
    deadline,
    caller_gone,
    /// The remote said, on another connection, that waiting is of no use.
    abandoned,
    /// The caller's body ended early.
    body_truncated,
};

/// One request to send.
struct exchange_request {
    std::string address;
    const request_head* head = nullptr;
    /// Added to the head's own fields.
    header_list added;
    request_body* body = nullptr;
    time_point deadline;
    /// Stop when the caller closes its connection.
    bool watch_caller = true;
    /// Asked now and then, while no answer comes, whether to wait on; empty to wait until the deadline.
    std::function<bool()> should_keep_waiting;
};

/// A request under way whose answer's head has arrived, or why not.
struct exchange {
    exchange_outcome end = exchange_outcome::unreachable;
    std::unique_ptr<client_connection> connection;
    Poco::Net::HTTPResponse response;
    std::istream* body = nullptr;
};

/// Sends a request and waits for the head of the answer.
[[nodiscard]] exchange send_request(connection_pool& pool, const exchange_request& request);

/// How passing on an answer's body ended.
enum class relay_outcome : std::uint8_t { completed, truncated };

/// The head of an answer as passed on, without the mesh's own fields.
[[nodiscard]] response_head response_head_from(const exchange& ex, const std::string& method);

/// Passes an answer's body on to a writer that has begun, whole or visibly cut. A whole one puts the
/// connection back into the pool.
relay_outcome relay_body(exchange& ex, connection_pool& pool, const std::string& address,
                         response_writer& writer);

/// Reads and drops a short answer, so that its connection can be used again.
void discard_body(exchange& ex, connection_pool& pool, const std::string& address);

} // namespace pomeloloft
