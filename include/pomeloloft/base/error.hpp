#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <string>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// The kind of failure that an `error` reports.
enum class error_code : std::uint8_t {
    invalid,
    stale,
    not_found,
    unavailable,
    timeout,
    refused,
    corrupt,
    cancelled
};

/// Names of `error_code` in output and logs.
inline constexpr name_table<error_code, 8> error_code_names{{
    {error_code::invalid, "invalid"},
    {error_code::stale, "stale"},
    {error_code::not_found, "not-found"},
    {error_code::unavailable, "unavailable"},
    {error_code::timeout, "timeout"},
    {error_code::refused, "refused"},
    {error_code::corrupt, "corrupt"},
    {error_code::cancelled, "cancelled"},
}};

/// A failure returned as a value. `where` names the flag, field or line it concerns and may be empty.
struct error {
    error_code code = error_code::invalid;
    std::string where;
    std::string message;
};

/// Formats an error for display as `where: message`.
[[nodiscard]] inline std::string to_string(const error& e)
{
    return e.where.empty() ? e.message : e.where + ": " + e.message;
}

/// A value of type `T` or an `error`. Accessing the alternative that is not held terminates the process.
template <typename T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The value of a successful `result<void>`.
[[nodiscard]] inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace pomeloloft
