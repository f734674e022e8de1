#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/mesh/member_table.hpp"
#include "pomeloloft/mesh/spread.hpp"
#include "pomeloloft/sidecar/suspects.hpp"

namespace pomeloloft::sidecar {

/// Encodes a member entry as one line of JSON, for the platform's store and for messages between sidecars.
[[nodiscard]] std::string encode_member(const member& m);

/// Decodes a member entry; errors name the field.
[[nodiscard]] result<member> decode_member(std::string_view text);

/// Message by which two sidecars synchronise their state.
struct sync_message {
    std::string node;
    std::uint64_t config_version = 0;
    std::uint64_t digest = 0;
    std::vector<member> members;
    /// How far the receiver passes on what is new to it.
    spread_scope scope = spread_scope::none;
    std::vector<crash_observation> crash_observations;
    std::vector<cleared_suspect> cleared_suspects;
    /// Encoded states of roll-outs.
    std::vector<std::string> rollouts;
    /// The sender's bucket digests, if the receiver is to return the entries of the buckets that differ.
    std::optional<table_digest> buckets;
};

/// Encodes a message as JSON.
[[nodiscard]] std::string encode_sync(const sync_message& message);

/// Decodes a message; entries that cannot be decoded are skipped and logged.
[[nodiscard]] result<sync_message> decode_sync(std::string_view text);

} // namespace pomeloloft::sidecar
