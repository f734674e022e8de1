#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// Follows the bytes of a response, and of the interim ones before it, as they are received, and reports the
/// first violation of the protocol. For connections whose library accepts such responses.
class response_check {
public:
    response_check();
    ~response_check();
    response_check(const response_check&) = delete;
    response_check& operator=(const response_check&) = delete;

    /// Starts with the head of the next response.
    void begin();

    /// Checks further bytes; fails with `corrupt`. After a failure the connection cannot be used.
    [[nodiscard]] result<void> add(std::string_view received);

private:
    struct chunked_body;

    result<void> add_to_head(std::string_view received);

    bool in_head = false;
    /// Bytes from the beginning of the current head.
    std::string head;
    /// Set while a body in chunks is received.
    std::unique_ptr<chunked_body> chunks;
};

} // namespace pomeloloft
