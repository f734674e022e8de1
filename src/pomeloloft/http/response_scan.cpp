#include "pomeloloft/http/response_scan.hpp"

#include <algorithm>
#include <charconv>

namespace pomeloloft {
namespace {

/// The beginning of a status line; `d` stands for a digit.
constexpr std::string_view status_line_pattern = "HTTP/1.d ddd";
constexpr std::size_t status_at = 9;
constexpr std::size_t status_digits = 3;
constexpr int min_status = 100;
constexpr int max_status = 599;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool matches(char c, char pattern)
{
    return pattern == 'd' ? is_digit(c) : c == pattern;
}

/// Checks the first line as far as it has been received, and reads the status.
void scan_status_line(std::string_view received, head_scan& out)
{
    const std::size_t compared = std::min(received.size(), status_line_pattern.size());
    for (std::size_t i = 0; i < compared; ++i) {
        if (!matches(received[i], status_line_pattern[i])) {
            out.defect = head_defect::status_line;
            return;
        }
    }
    if (received.size() <= status_line_pattern.size()) {
        return;
    }
    const char after_status = received[status_line_pattern.size()];
    if (after_status != ' ' && after_status != '\r' && after_status != '\n') {
        out.defect = head_defect::status_line;
        return;
    }
    const char* status_text = received.data() + status_at;
    std::from_chars(status_text, status_text + status_digits, out.status);
    if (out.status < min_status || out.status > max_status) {
        out.defect = head_defect::status_code;
    }
}

bool is_token_char(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

bool is_control(char c)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte < first_printable && c != '\t') || byte == del;
}

bool has_control(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), is_control);
}

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// @param lower text in lower case.
bool equals_ignoring_case(std::string_view text, std::string_view lower)
{
    return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                      [](char a, char b) { return to_lower(a) == b; });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/// The fields read so far that determine where the body ends.
struct body_framing {
    bool has_length = false;
    bool chunked = false;
};

/// @param value without blanks around it.
std::optional<head_defect> find_framing_defect(std::string_view name, std::string_view value,
                                               body_framing& framing)
{
    if (equals_ignoring_case(name, "content-length")) {
        const bool is_number = !value.empty() && std::all_of(value.begin(), value.end(), is_digit);
        if (!is_number || framing.has_length || framing.chunked) {
            return head_defect::content_length;
        }
        framing.has_length = true;
    } else if (equals_ignoring_case(name, "transfer-encoding")) {
        if (!equals_ignoring_case(value, "chunked") || framing.chunked) {
            return head_defect::transfer_encoding;
        }
        if (framing.has_length) {
            return head_defect::content_length;
        }
        framing.chunked = true;
    }
    return std::nullopt;
}

std::optional<head_defect> find_field_defect(std::string_view line, body_framing& framing)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return head_defect::folded_line;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_char)) {
        return head_defect::field_name;
    }
    const std::string_view value = line.substr(colon + 1);
    if (has_control(value)) {
        return head_defect::control_byte;
    }
    return find_framing_defect(name, trimmed(value), framing);
}

std::optional<head_defect> find_reason_defect(std::string_view status_line)
{
    return has_control(status_line.substr(status_line_pattern.size()))
               ? std::optional(head_defect::control_byte)
               : std::nullopt;
}

/// The bytes up to a line feed without the line's end.
std::string_view without_line_end(std::string_view line)
{
    return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

head_scan scan_response_head(std::string_view received)
{
    head_scan out;
    scan_status_line(received, out);
    body_framing framing;
    std::size_t begin = 0;
    while (!out.defect) {
        const std::size_t end = received.find('\n', begin);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view line = without_line_end(received.substr(begin, end - begin));
        if (line.empty()) {
            out.size = end + 1;
            out.chunked = framing.chunked;
            break;
        }
        out.defect = begin == 0 ? find_reason_defect(line) : find_field_defect(line, framing);
        begin = end + 1;
    }
    return out;
}

} // namespace pomeloloft
