#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPRequest.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// A response with its body in memory.
struct single_response {
    /// HTTP status code.
    int status = 0;
    std::string body;
    /// Set if the body exceeds the limit of the call; `body` is then empty.
    bool body_too_long = false;
};

/// Sends a request on a connection of its own and reads the response.
/// @param address `host:port`.
/// @return the complete response, whatever its status. Errors: `unavailable` (no connection, or it failed
/// before the head of the response was complete), `timeout` (no complete response at the deadline),
/// `corrupt` (the response is invalid, or its body is incomplete).
[[nodiscard]] result<single_response> call_once(const std::string& address, Poco::Net::HTTPRequest& request,
                                                std::string_view body, time_point deadline,
                                                std::size_t max_body_bytes);

} // namespace pomeloloft
