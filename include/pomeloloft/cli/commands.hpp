#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// Version of the program.
inline constexpr const char* version_text = "0.1.0";

/// Exit codes of the command line.
enum class exit_code : std::uint8_t {
    ok = 0,
    failed = 1,
    usage = 2,
    /// The base version of the patch is not the current version.
    stale = 3,
    /// The declarations or the patch are not valid.
    invalid = 4,
    /// Whether the patch took effect is unknown; submitting it again is safe.
    unknown = 5,
    /// The proxy's operator listener could not be reached.
    unreachable = 6,
};

/// Names of `exit_code` in help and documentation.
inline constexpr name_table<exit_code, 7> exit_code_names{{
    {exit_code::ok, "ok"},
    {exit_code::failed, "failed"},
    {exit_code::usage, "usage"},
    {exit_code::stale, "stale"},
    {exit_code::invalid, "invalid"},
    {exit_code::unknown, "unknown"},
    {exit_code::unreachable, "unreachable"},
}};

/// Runs the command that the program's arguments name.
/// @return the exit code of the process.
int run_command(const std::vector<std::string>& arguments);

} // namespace pomeloloft
