#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/config/document.hpp"

namespace pomeloloft {

/// Outcome of folding one record of the log.
enum class patch_outcome : std::uint8_t { accepted, stale, invalid, duplicate, malformed };

/// Names of `patch_outcome` in audit entries, metrics and responses.
inline constexpr name_table<patch_outcome, 5> patch_outcome_names{{
    {patch_outcome::accepted, "accepted"},
    {patch_outcome::stale, "stale"},
    {patch_outcome::invalid, "invalid"},
    {patch_outcome::duplicate, "duplicate"},
    {patch_outcome::malformed, "malformed"},
}};

/// One entry of the audit trail: a patch with its author, time, base version and outcome.
struct audit_entry {
    std::uint64_t offset = 0;
    std::string patch_id;
    std::string author;
    std::string message;
    std::int64_t submitted_at_ms = 0;
    std::uint64_t base_version = 0;
    /// The current version after the record.
    std::uint64_t version = 0;
    patch_outcome outcome = patch_outcome::malformed;
    std::string reason;
};

/// A numbered version of the configuration. Immutable once published.
struct config_version {
    std::uint64_t version = 0;
    /// Hash of `text`.
    std::uint64_t hash = 0;
    /// Canonical JSON.
    std::string text = "{}";
    document doc;
};

/// State that results from folding the log, that is, from applying its records in order. All nodes that have
/// folded the same records hold the same state.
struct fold_state {
    std::shared_ptr<const config_version> current = std::make_shared<const config_version>();
    /// Offset of the next record to fold.
    std::uint64_t next_offset = 0;
    /// Hash chain over all records folded so far, in order.
    std::uint64_t chain = 0;
    /// The newest entries of the audit trail, oldest first.
    std::deque<audit_entry> audit;
};

/// Maximum number of audit entries retained; they also serve to detect repeated patch ids.
inline constexpr std::size_t max_audit_entries = 1024;

/// Folds one record into the state.
/// @pre `offset >= state.next_offset`.
/// @return the audit entry of the record; for a repeated patch id, the first entry with outcome `duplicate`.
audit_entry fold_record(fold_state& state, std::uint64_t offset, std::string_view record);

/// The retained audit entry of a patch id, or null.
[[nodiscard]] const audit_entry* find_audit_entry(const fold_state& state, std::string_view patch_id);

/// Encodes the complete state as text that ends with a hash, which `decode_snapshot` checks.
[[nodiscard]] std::string encode_snapshot(const fold_state& state);

/// Decodes a snapshot.
/// @return `corrupt` when its hash or a field is wrong, `invalid` when its document is not valid.
[[nodiscard]] result<fold_state> decode_snapshot(std::string_view text);

/// Applies RFC 6902 operations to a configuration and validates the result.
/// @return the next version, or `invalid` when an operation fails or the result is not valid.
[[nodiscard]] result<config_version> apply_operations(const config_version& current,
                                                      std::string_view operations);

} // namespace pomeloloft
