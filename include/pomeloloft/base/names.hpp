#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pomeloloft {

/// One row of a `name_table`.
template <typename Enum>
struct named_value {
    Enum value;
    std::string_view name;
};

/// Maps each enumerator of an `enum class` to its name.
template <typename Enum, std::size_t Count>
using name_table = std::array<named_value<Enum>, Count>;

/// Returns the name of `value`, or `"?"` if the table lacks it.
template <typename Enum, std::size_t Count>
[[nodiscard]] constexpr std::string_view name_of(const name_table<Enum, Count>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

/// Returns the enumerator called `name`, or nothing if the table lacks it.
template <typename Enum, std::size_t Count>
[[nodiscard]] constexpr std::optional<Enum> value_of(const name_table<Enum, Count>& table,
                                                     std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace pomeloloft
