#pragma once

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::testing {

/// An HTTP request sent by a test.
struct client_request {
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Maximum time without received data; the default is 5 s.
    std::optional<milliseconds> timeout;
};

/// An HTTP response as the caller receives it.
struct client_response {
    /// 0 if no response was received.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the complete body was received, according to its framing.
    bool complete = false;

    /// Value of a header; empty if it is absent.
    [[nodiscard]] std::string header(const std::string& name) const;
    /// Reported outcome: `ran`, `not-run` or `unknown`; empty without a response.
    [[nodiscard]] std::string outcome() const { return this->header("X-Pomeloloft-Outcome"); }
};

/// Sends one request on a new connection.
[[nodiscard]] client_response call(const std::string& address, const client_request& request);

/// Uploads a body of `pieces` equal pieces and pauses after each of them.
/// @param sent number of pieces sent so far.
[[nodiscard]] client_response upload_slowly(const std::string& address, const std::string& path,
                                            const std::string& piece, int pieces, milliseconds pause,
                                            std::atomic<int>& sent);

/// Requests an idempotency key from a proxy's callers listener.
/// @return the key; empty on failure.
[[nodiscard]] std::string get_key(const std::string& address);

/// Reads a metric; `name` includes the labels, if it has any.
/// @return its value; -1 if it is absent.
[[nodiscard]] double metric(const std::string& local_address, const std::string& name);

/// Sends raw bytes and returns the bytes received until the remote closes the connection or no data arrives
/// within `timeout`.
[[nodiscard]] std::string send_raw(const std::string& address, const std::string& bytes,
                                   milliseconds timeout);

} // namespace pomeloloft::testing
