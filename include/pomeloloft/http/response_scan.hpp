#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// A violation of the syntax of a response's head (RFC 9110, sections 5 and 15; RFC 9112, sections 4 to 6).
enum class head_defect : std::uint8_t {
    /// The first line is not a status line of HTTP/1.
    status_line,
    /// The status code is outside 100 to 599.
    status_code,
    /// A line begins with a blank. Only obsolete line folding allows it, which senders must not generate.
    folded_line,
    /// A line has no colon, or the name before it is not a token.
    field_name,
    /// A control byte other than a tab in a field value or in the reason phrase.
    control_byte,
    /// `Content-Length` is not a number, or stands beside another one or beside `Transfer-Encoding`.
    content_length,
    /// `Transfer-Encoding` other than `chunked`. Fields that concern one connection are not passed on, so a
    /// body with a further coding would lose the field that names it.
    transfer_encoding,
};

/// Names of `head_defect` in logs and errors.
inline constexpr name_table<head_defect, 7> head_defect_names{{
    {head_defect::status_line, "invalid status line"},
    {head_defect::status_code, "invalid status code"},
    {head_defect::folded_line, "folded line"},
    {head_defect::field_name, "invalid field name"},
    {head_defect::control_byte, "control byte"},
    {head_defect::content_length, "invalid content length"},
    {head_defect::transfer_encoding, "unsupported transfer encoding"},
}};

/// The head of a response as far as it has been received.
struct head_scan {
    /// The first violation; nothing if there is none.
    std::optional<head_defect> defect;
    /// Bytes up to and including the empty line that ends the head; 0 if it is incomplete.
    std::size_t size = 0;
    /// 0 until the status line is complete.
    int status = 0;
    /// Whether the body is sent in chunks.
    bool chunked = false;
};

/// Checks the first bytes of a response. A violation is found as soon as the line with it is complete, in the
/// status line as soon as its byte is received.
[[nodiscard]] head_scan scan_response_head(std::string_view received);

/// Whether the final response to a request follows after one with this status.
[[nodiscard]] constexpr bool is_interim_status(int status)
{
    constexpr int first = 100;
    constexpr int end = 200;
    return status >= first && status < end;
}

} // namespace pomeloloft
