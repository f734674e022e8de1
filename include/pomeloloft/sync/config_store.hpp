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

/// A folded record kept to be passed on, with the fold's chain before it.
struct kept_record {
    log_record record;
    std::uint64_t chain_before = 0;
    std::uint64_t next_offset_before = 0;
};

/// Consecutive records and where they begin.
struct record_batch {
    std::uint64_t from = 0;
    std::vector<log_record> records;
    /// Fold chain after the last record, when the sender knows it.
    std::optional<std::uint64_t> chain;
};

/// The fold's state with its recent records. Not synchronised; its owner holds a lock.
struct config_store {
    std::shared_ptr<const fold_state> fold = std::make_shared<const fold_state>();
    std::deque<kept_record> recent;
    std::size_t recent_bytes = 0;
    /// Encoded snapshot of `fold`, made once for all links that need it.
    std::shared_ptr<const std::string> encoded_snapshot;
};

/// Bytes of recent records kept to be passed on.
inline constexpr std::size_t max_recent_bytes = 4U << 20U;

/// Folds a run on top of the held state: wholly, or not at all when the run leaves a gap or its chain
/// differs.
/// @return whether anything new was folded; `stale` for a gap, `corrupt` for a differing chain.
[[nodiscard]] result<bool> fold_batch(config_store& store, const record_batch& run);

/// Takes over a newer state. Never moves to an older offset or version.
/// @return whether the state was taken.
bool install_newer_state(config_store& store, fold_state state);

/// Records from `offset` on, up to `max_bytes`; nothing when they are no longer kept.
[[nodiscard]] std::optional<record_batch> records_from(const config_store& store, std::uint64_t offset,
                                                       std::size_t max_bytes);

/// The chain before `offset`, when that is still known.
[[nodiscard]] std::optional<std::uint64_t> chain_at(const config_store& store, std::uint64_t offset);

/// The held state as an encoded snapshot, shared by all that send it.
[[nodiscard]] std::shared_ptr<const std::string> shared_snapshot(config_store& store);

} // namespace pomeloloft
