#pragma once

#include <ostream>

namespace pomeloloft::testing {

/// Base of the rows of data-driven tests: each row starts with its name and is printed as that name.
struct named_row {
    const char* name;
};

inline std::ostream& operator<<(std::ostream& out, const named_row& row)
{
    return out << row.name;
}

} // namespace pomeloloft::testing
