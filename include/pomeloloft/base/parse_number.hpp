#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace pomeloloft {

/// Parses a text that consists of a single number; returns nothing for any other text.
template <typename Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace pomeloloft
