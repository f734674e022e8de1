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

/// Headers of the mesh.
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
inline constexpr const char* answer_time = "X-Pomeloloft-Answer-Time-Us";
inline constexpr const char* hop = "X-Pomeloloft-Hop";
inline constexpr const char* internal = "X-Pomeloloft-Internal";
inline constexpr const char* replayed = "X-Pomeloloft-Replayed";
inline constexpr const char* key = "Idempotency-Key";
} // namespace header

/// Header fields in order.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request's head, checked.
struct request_head {
    std::string method;
    /// As sent on.
    std::string uri;
    /// Decoded and normalised, for matching only.
    std::string path;
    /// End-to-end fields, without those of the mesh.
    header_list headers;
    std::string key;
    time_point deadline = no_deadline;
    bool internal = false;
    bool retried_above = false;
};

/// Bytes of a body held in memory so that it can be sent again.
inline constexpr std::size_t max_replay_bytes = 64U << 10U;

/// A request's body: its beginning in memory, the rest still to be read from the caller.
struct request_body {
    std::string prefix;
    /// Nothing is left to read.
    bool complete = false;
    /// From Content-Length; absent for a chunked body.
    std::optional<std::uint64_t> length;
    std::istream* source_stream = nullptr;
    bool source_stream_used = false;
    http_request* source = nullptr;

    /// Whether the body can be sent from its start.
    [[nodiscard]] bool replayable() const { return this->complete || !this->source_stream_used; }
};

/// Reads and checks a request's head; without a deadline of its caller's it has the longest allowed. Errors
/// name the header or part of the request line.
[[nodiscard]] result<request_head> read_head(const http_request& request, time_point now);

/// Reads the beginning of a body; `invalid` when the caller's body is cut short within it.
[[nodiscard]] result<request_body> read_body_prefix(http_request& request);

/// Decodes percent-escapes and merges slashes; `invalid` for dot segments, control bytes and bad escapes,
/// which a target might resolve to another path than the one matched.
[[nodiscard]] result<std::string> normalise_path(std::string_view uri);

/// Hash of what makes two requests the same to a target.
[[nodiscard]] std::uint64_t fingerprint_of(const request_head& head, const request_body& body);

/// Whether a field concerns one connection only.
[[nodiscard]] bool is_hop_by_hop(const std::string& name);

} // namespace pomeloloft
