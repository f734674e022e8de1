#pragma once

#include <cstddef>
#include <string>

namespace pomeloloft::testing {

/// JSON of empty lists nested `depth` levels deep.
inline std::string nested_lists(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace pomeloloft::testing
