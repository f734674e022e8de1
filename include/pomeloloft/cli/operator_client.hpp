#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// A response of a proxy's operator listener.
struct operator_response {
    /// HTTP status code.
    int status = 0;
    /// JSON text.
    std::string body;
};

/// Sends one request to a proxy's operator listener.
/// @param address `host:port`.
/// @return the complete response, whatever its status; `unavailable` if none was received within 30 s, or if
/// it is invalid, cut off or longer than 64 MB. The request may then have taken effect.
[[nodiscard]] result<operator_response> call_operator(const std::string& address, const std::string& method,
                                                      const std::string& path, const std::string& body = {});

} // namespace pomeloloft
