#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomeloloft {

/// 64-bit XXH3 hash of `bytes`.
/// @param seed gives independent hashes of the same bytes.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one; the result depends on their order.
[[nodiscard]] std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second);

/// Formats `value` as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

} // namespace pomeloloft
