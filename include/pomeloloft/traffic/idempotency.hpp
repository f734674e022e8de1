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

/// An idempotency key, read. Only the process that issued a key may let its request run.
struct idempotency_key {
    std::string issuer;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
    /// Issue time on the issuer's steady clock, in milliseconds since the issuer started.
    std::uint64_t issued_at_ms = 0;
    std::uint64_t tag = 0;
};

/// The text of a key.
[[nodiscard]] std::string format_key(const idempotency_key& key);

/// Reads a key; `invalid` when it is not one.
[[nodiscard]] result<idempotency_key> parse_key(std::string_view text);

/// A kept answer, replayed to a caller that sends a request again.
struct stored_response {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The body was too large to keep, or was dropped to make room.
    bool body_dropped = false;
};

/// What the holder of a key may do.
enum class claim_state : std::uint8_t { run, replay, unknown, expired, invalid, in_progress };

/// The outcome of presenting a key.
struct key_claim {
    claim_state state = claim_state::invalid;
    std::shared_ptr<const stored_response> answer;
};

/// Limits of a `key_registry`.
struct key_options {
    milliseconds ttl{3'600'000};
    std::size_t max_keys = 100'000;
    std::size_t max_kept_bytes = 32U << 20U;
};

/// Issues idempotency keys and decides, alone and in memory, which presentation of a key runs. When the
/// process ends, no key of its can run anywhere again. Safe for many threads.
class key_registry {
public:
    key_registry(std::string node, std::uint64_t incarnation, key_options limits = {});

    /// A new key; `refused` when too many are in use.
    [[nodiscard]] result<std::string> issue();

    /// Presents a key: the first presentation runs, one during the run waits for its end, later ones get the
    /// kept answer.
    /// @param deadline until when to wait for a run under way; `in_progress` after it.
    [[nodiscard]] key_claim claim(const idempotency_key& key, time_point deadline);

    /// Ends the run of a claimed key: `ran` keeps the answer, `not_run` lets a later presentation run,
    /// `unknown` forbids any.
    void finish_run(std::uint64_t serial, run_state state, std::shared_ptr<const stored_response> answer);

    /// Keys in use.
    [[nodiscard]] std::size_t size() const;

private:
    enum class phase : std::uint8_t { running, free, ran, unknown };
    struct entry {
        phase state = phase::running;
        std::shared_ptr<const stored_response> answer;
    };
    struct aged {
        std::uint64_t serial = 0;
        time_point expires_at;
    };

    [[nodiscard]] std::uint64_t tag_of(const idempotency_key& key) const;
    void forget_expired(time_point now);
    void drop_bodies();

    std::string node;
    std::uint64_t incarnation;
    std::uint64_t secret;
    key_options limits;
    time_point started_at;
    mutable std::mutex mutex;
    std::condition_variable settled;
    std::uint64_t last_serial = 0;
    std::unordered_map<std::uint64_t, entry> entries;
    std::deque<aged> order;
    std::deque<std::uint64_t> kept_order;
    std::size_t kept_bytes = 0;
};

} // namespace pomeloloft
