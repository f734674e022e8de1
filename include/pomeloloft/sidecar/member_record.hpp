#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/mesh/member_table.hpp"
#include "pomeloloft/sidecar/suspects.hpp"

namespace pomeloloft::sidecar {

/// A member entry as one line of JSON, for the platform's store and between sidecars.
[[nodiscard]] std::string encode_member(const member& m);

/// Reads an entry; errors name the field.
[[nodiscard]] result<member> decode_member(std::string_view text);

/// What two sidecars tell each other.
struct sync_message {
    std::string node;
    std::uint64_t config_version = 0;
    std::uint64_t digest = 0;
    std::vector<member> members;
    std::vector<crash_observation> crash_observations;
    /// Digests of the sender's groups of entries, where the other side is to answer with those that differ.
    std::optional<table_digest> buckets;
};

/// A message as JSON.
[[nodiscard]] std::string encode_sync(const sync_message& message);

/// Reads a message; entries that cannot be read are left out and counted.
[[nodiscard]] result<sync_message> decode_sync(std::string_view text);

} // namespace pomeloloft::sidecar
