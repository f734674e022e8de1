#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/config/document.hpp"
#include "pomeloloft/http/server.hpp"
#include "pomeloloft/traffic/outcome.hpp"

namespace pomeloloft {

/// Names of the header fields that the mesh defines.
namespace header {
inline constexpr const char* outcome = "X-Pomeloloft-Outcome";
inline constexpr const char* reason = "X-Pomeloloft-Reason";
inline constexpr const char* version = "X-Pomeloloft-Version";
inline constexpr const char* deadline_ms = "X-Pomeloloft-Deadline-Ms";
inline constexpr const char* retried = "X-Pomeloloft-Retried-Above";
inline constexpr const char* attempt = "X-Pomeloloft-Attempt";
inline constexpr const char* service = "X-Pomeloloft-Service";
inline constexpr const char* priority = "X-Pomeloloft-Priority";
inline constexpr const char* load = "X-Pomeloloft-Load";
inline constexpr const char* response_time = "X-Pomeloloft-Answer-Time-Us";
inline constexpr const char* hop = "X-Pomeloloft-Hop";
inline constexpr const char* internal = "X-Pomeloloft-Internal";
inline constexpr const char* replayed = "X-Pomeloloft-Replayed";
inline constexpr const char* key = "Idempotency-Key";
} // namespace header

/// Header fields in order.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// The validated head of a request.
struct request_head {
    std::string method;
    /// Request target as received; forwarded unchanged.
    std::string uri;
    /// Decoded and normalised path, for matching routes only.
    std::string path;
    /// End-to-end header fields, without those of the mesh.
    header_list headers;
    /// Idempotency key; empty without one.
    std::string key;
    time_point deadline = no_deadline;
    /// Received on the internal listener.
    bool internal = false;
    /// A caller further up the call chain retries, so this proxy does not.
    bool retried_above = false;
};

/// Maximum number of body bytes held in memory, so that the body can be sent again.
inline constexpr std::size_t max_replay_bytes = 64U << 10U;

/// The body of a request: its prefix in memory, the rest still to be read from the caller.
struct request_body {
    std::string prefix;
    /// The prefix is the whole body.
    bool complete = false;
    /// Length in bytes: from Content-Length, or the number of bytes read for a complete chunked body.
    std::optional<std::uint64_t> length;
    /// Stream that the rest of the body is read from.
    std::istream* source_stream = nullptr;
    /// Reading the rest has begun.
    bool source_stream_used = false;
    /// The caller's request.
    http_request* source = nullptr;

    /// Whether the body can be sent from its beginning.
    [[nodiscard]] bool replayable() const { return this->complete || !this->source_stream_used; }
};

/// Reads and validates the head of a request. Without a deadline header, the longest deadline allowed
/// applies. Errors name the header field or part of the request line.
[[nodiscard]] result<request_head> read_head(const http_request& request, time_point now);

/// Bytes that are held for a request while it is served: its head and the part of its body that is in memory.
[[nodiscard]] std::uint64_t held_bytes_of(const http_request& request);

/// Reads up to `max_replay_bytes` of a body; fails with `invalid` when the body ends before its length.
[[nodiscard]] result<request_body> read_body_prefix(http_request& request);

/// Decodes percent-escapes and merges repeated slashes. Fails with `invalid` for dot segments, backslashes,
/// control bytes and malformed escapes, which a target might resolve to a path other than the one matched.
[[nodiscard]] result<std::string> normalise_path(std::string_view uri);

/// Hash of method, request target, body length and body prefix; equal for identical requests.
[[nodiscard]] std::uint64_t fingerprint_of(const request_head& head, const request_body& body);

/// Whether a header field applies to a single connection and is not forwarded.
[[nodiscard]] bool is_hop_by_hop(const std::string& name);

} // namespace pomeloloft
