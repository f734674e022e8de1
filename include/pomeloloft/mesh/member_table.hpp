#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/mesh/member.hpp"

namespace pomeloloft {

/// Number of buckets of nodes. Their digests are compared to exchange only the entries of buckets that
/// differ.
inline constexpr std::size_t digest_buckets = 64;

/// Digest of each bucket; equal digests mean equal entries.
using table_digest = std::array<std::uint64_t, digest_buckets>;

/// Returns the bucket of a node.
[[nodiscard]] std::size_t bucket_of(const std::string& node);

/// Entry of a `member_table` with local bookkeeping.
struct table_entry {
    member value;
    /// Change number: position of the last update in the order of changes of this table.
    std::uint64_t change = 0;
    /// Link from which the entry was received; 0 if it is local.
    std::uint64_t learned_from = 0;
    /// Time at which this process first saw the current state and incarnation.
    time_point state_since;
};

/// All known nodes, merged from all links. Not thread-safe; the owner must hold a lock.
struct member_table {
    std::unordered_map<std::string, table_entry> entries;
    /// Nodes by change number.
    std::map<std::uint64_t, std::string> changes;
    std::uint64_t last_change = 0;
    table_digest digest{};
};

/// Merges an entry into the table if it supersedes the present one.
/// @return whether the table changed.
bool merge(member_table& table, const member& incoming, std::uint64_t learned_from, time_point now);

/// Marks a node as gone, with the incarnation and sequence of its present entry. A node that is alive refutes
/// this with a later sequence.
/// @return whether the table changed.
bool declare_gone(member_table& table, const std::string& node, time_point now);

/// Removes entries that have been gone since before `cutoff`.
/// @return the number of removed entries.
std::size_t purge_gone(member_table& table, time_point cutoff);

/// Returns the entry of a node, or null.
[[nodiscard]] const member* find_member(const member_table& table, const std::string& node);

/// Returns up to `limit` entries that changed after `cursor`, in the order of changes, except those learned
/// from `except_link`.
/// @param cursor change number; advanced past all entries that were examined.
[[nodiscard]] std::vector<member> changes_after(const member_table& table, std::uint64_t& cursor,
                                                std::uint64_t except_link, std::size_t limit);

/// Returns all entries of the buckets whose digests differ from `remote`.
[[nodiscard]] std::vector<member> entries_differing(const member_table& table, const table_digest& remote);

/// Returns one digest of the whole table.
[[nodiscard]] std::uint64_t combined_digest(const member_table& table);

} // namespace pomeloloft
