#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/config/fold.hpp"
#include "pomeloloft/log/log_client.hpp"

namespace pomeloloft {

/// A folded record retained for links to send, with the state of the fold before it.
struct recent_record {
    log_record record;
    /// Hash chain of the fold before this record.
    std::uint64_t chain_before = 0;
    /// Next offset of the fold before this record; lower than the record's own where offsets are skipped.
    std::uint64_t next_offset_before = 0;
};

/// Consecutive records of the configuration stream.
struct record_batch {
    /// A receiver can fold the batch only when it holds all records before this offset.
    std::uint64_t from = 0;
    std::vector<log_record> records;
    /// Hash chain of the fold after the last record; empty when the sender does not know it.
    std::optional<std::uint64_t> chain;
};

/// State of the fold and its most recent records. Not thread-safe; the owner holds a lock.
struct config_store {
    std::shared_ptr<const fold_state> fold = std::make_shared<const fold_state>();
    /// Consecutive records up to `fold->next_offset`, oldest first.
    std::deque<recent_record> recent;
    /// Total size of the data in `recent`.
    std::size_t recent_bytes = 0;
    /// Encoded snapshot of `fold`, shared by all links that send it; null until a link needs it.
    std::shared_ptr<const std::string> encoded_snapshot;
};

/// Limit of `config_store::recent_bytes`; the newest record is retained even if it is larger.
inline constexpr std::size_t max_recent_bytes = 4U << 20U;

/// Folds a batch on top of the store's state, atomically: nothing changes when the batch leaves a gap or its
/// hash chain differs.
/// @return whether the batch contained a new record; `stale` for a gap, `corrupt` for a different hash chain.
[[nodiscard]] result<bool> fold_batch(config_store& store, const record_batch& batch);

/// Replaces the store's state if `state` has a higher offset and no lower version; this clears the recent
/// records.
/// @return whether the state was replaced.
bool install_newer_state(config_store& store, fold_state state);

/// Recent records from `offset` on, until `max_bytes` of data is reached; the last record may exceed the
/// limit.
/// @return nothing when the records from `offset` on are no longer retained.
[[nodiscard]] std::optional<record_batch> records_from(const config_store& store, std::uint64_t offset,
                                                       std::size_t max_bytes);

/// Hash chain of the fold before `offset`; nothing when it is no longer known.
[[nodiscard]] std::optional<std::uint64_t> chain_at(const config_store& store, std::uint64_t offset);

/// Encoded snapshot of the store's state. It is encoded once and shared until the state changes.
[[nodiscard]] std::shared_ptr<const std::string> shared_snapshot(config_store& store);

} // namespace pomeloloft
