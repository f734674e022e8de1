#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/traffic/outcome.hpp"

namespace pomeloloft {

/// Parsed idempotency key. Only the process that issued a key may run its request.
struct idempotency_key {
    /// Node that issued the key.
    std::string issuer;
    /// Incarnation of the issuing process.
    std::uint64_t incarnation = 0;
    /// Serial number of the key within the issuing process.
    std::uint64_t serial = 0;
    /// Issue time on the issuer's steady clock, in milliseconds since the issuer started.
    std::uint64_t issued_at_ms = 0;
    /// Keyed hash by which the issuer recognises its own keys.
    std::uint64_t tag = 0;
};

/// Returns the text form of a key, as sent in the `Idempotency-Key` header.
[[nodiscard]] std::string format_key(const idempotency_key& key);

/// Parses a key.
/// @return `invalid` if the text is not a key.
[[nodiscard]] result<idempotency_key> parse_key(std::string_view text);

/// Stored response, replayed to a caller that sends its request again.
struct stored_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The body was too large to store, or was dropped to free memory.
    bool body_dropped = false;
};

/// Result of claiming a key.
enum class claim_state : std::uint8_t {
    /// The caller of `claim` runs the request and then calls `finish_run`.
    run,
    /// The request has run; its stored response is replayed.
    replay,
    /// The request may have run and is not run again.
    unknown,
    expired,
    /// The key was not issued by this process.
    invalid,
    /// The request was still running at the deadline.
    in_progress
};

/// Result of `key_registry::claim`.
struct key_claim {
    claim_state state = claim_state::invalid;
    /// Response to replay; null unless the state is `replay`.
    std::shared_ptr<const stored_response> response;
};

/// Limits of a `key_registry`.
struct key_options {
    /// Time from issue until a key expires.
    milliseconds ttl{3'600'000};
    /// Maximum number of keys in use.
    std::size_t max_keys = 100'000;
    /// Maximum total size of the stored response bodies.
    std::size_t max_stored_bytes = 32U << 20U;
};

/// Issues idempotency keys and decides which claim of a key runs its request. The state is held in the memory
/// of this process only; once the process has ended, requests with its keys can no longer run anywhere.
/// Thread-safe.
class key_registry {
public:
    key_registry(std::string node, std::uint64_t incarnation, key_options limits = {});

    /// Issues a new key.
    /// @return `refused` if too many keys are in use.
    [[nodiscard]] result<std::string> issue();

    /// Claims a key. The first claim runs the request, a claim during the run waits for its end, and later
    /// claims get the stored response.
    /// @param deadline time until which to wait for a run in progress; after it, the result is `in_progress`.
    [[nodiscard]] key_claim claim(const idempotency_key& key, time_point deadline);

    /// Ends the run of a claimed key. `ran` stores the response, `not_run` lets a later claim run the
    /// request, and `unknown` bars the request from running again.
    void finish_run(std::uint64_t serial, run_state state, std::shared_ptr<const stored_response> response);

    /// Returns the number of keys in use.
    [[nodiscard]] std::size_t size() const;

private:
    /// Progress of the request of a key; `runnable` means that the next claim may run it.
    enum class phase : std::uint8_t { running, runnable, ran, unknown };
    struct entry {
        phase state = phase::running;
        std::shared_ptr<const stored_response> response;
    };
    struct expiring_key {
        std::uint64_t serial = 0;
        time_point expires_at;
    };

    [[nodiscard]] std::uint64_t tag_of(const idempotency_key& key) const;
    void remove_expired(time_point now);
    /// Drops the oldest stored bodies until they fit into `max_stored_bytes`.
    void drop_bodies();

    std::string node;
    std::uint64_t incarnation;
    std::uint64_t secret;
    key_options limits;
    time_point started_at;
    mutable std::mutex mutex;
    /// Signalled at the end of each run.
    std::condition_variable run_finished;
    std::uint64_t last_serial = 0;
    std::unordered_map<std::uint64_t, entry> entries;
    std::deque<expiring_key> expiry_order;
    /// Serial numbers of the keys with a stored response, oldest first.
    std::deque<std::uint64_t> stored_order;
    std::size_t stored_bytes = 0;
};

} // namespace pomeloloft
