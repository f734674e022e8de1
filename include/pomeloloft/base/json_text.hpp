#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace pomeloloft {

/// Deepest nesting of JSON that is accepted. Copying and writing a value recurse once a level.
inline constexpr std::size_t max_json_depth = 64;

/// Largest whole number of a record that is accepted: all up to it are exact in every JSON reader, and
/// counters can go on from it without overflow.
inline constexpr std::uint64_t max_json_integer = 1ULL << 53U;

/// Parses JSON from any source.
/// @return a discarded value if the text is not JSON or is nested deeper than `max_json_depth`.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Writes a value as JSON; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string to_json_text(const nlohmann::json& value);

/// Number of levels of a value; 0 for one that is neither a list nor an object.
[[nodiscard]] std::size_t json_depth(const nlohmann::json& value);

} // namespace pomeloloft
