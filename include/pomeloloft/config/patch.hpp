#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// A configuration change submitted by an operator: RFC 6902 operations on a base version.
struct patch {
    std::string id;
    std::string author;
    std::string message;
    std::uint64_t base_version = 0;
    std::int64_t submitted_at_ms = 0;
    /// A JSON array of RFC 6902 operations, as text.
    std::string operations;
};

/// Maximum size of an encoded patch, in bytes.
inline constexpr std::size_t max_patch_bytes = 256U << 10U;

/// Encodes a patch as a log record.
[[nodiscard]] std::string encode_patch(const patch& p);

/// Decodes a log record or a submitted patch; errors name the field.
[[nodiscard]] result<patch> decode_patch(std::string_view record);

/// Generates a random id for a new patch.
[[nodiscard]] std::string make_patch_id();

} // namespace pomeloloft
