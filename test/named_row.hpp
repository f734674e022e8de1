#pragma once

#include <ostream>

namespace pomeloloft::testing {

/// A row of a parameterised test, printed by its name. Rows derive from it and begin with the name.
struct named_row {
    const char* name;
};

inline std::ostream& operator<<(std::ostream& out, const named_row& row)
{
    return out << row.name;
}

} // namespace pomeloloft::testing
