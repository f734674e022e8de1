#pragma once

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::testing {

/// One request of a test.
struct client_request {
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Silence after which the call is given up; nothing for the usual time.
    std::optional<milliseconds> timeout;
};

/// What a caller sees.
struct client_response {
    /// 0 when no answer came.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The body arrived whole, as its framing says.
    bool complete = false;

    [[nodiscard]] std::string header(const std::string& name) const;
    /// `ran`, `not-run`, `unknown`, or empty without an answer.
    [[nodiscard]] std::string outcome() const { return this->header("X-Pomeloloft-Outcome"); }
};

/// Sends one request on a connection of its own.
[[nodiscard]] client_response call(const std::string& address, const client_request& request);

/// Uploads a body piece by piece with a pause after each.
/// @param sent counts the pieces sent.
[[nodiscard]] client_response upload_slowly(const std::string& address, const std::string& path,
                                            const std::string& piece, int pieces, milliseconds pause,
                                            std::atomic<int>& sent);

/// An idempotency key from a proxy's callers' listener; empty when none came.
[[nodiscard]] std::string get_key(const std::string& address);

/// The value of an unlabelled or exactly labelled metric; -1 when it is not there.
[[nodiscard]] double metric(const std::string& local_address, const std::string& name);

/// Sends raw bytes and returns what comes back until the remote closes or the time is over.
[[nodiscard]] std::string send_raw(const std::string& address, const std::string& bytes,
                                   milliseconds timeout);

} // namespace pomeloloft::testing
