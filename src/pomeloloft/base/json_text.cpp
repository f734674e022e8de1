#include "pomeloloft/base/json_text.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

/// Whether a text nests lists and objects deeper than allowed. Runs before the parser, whose memory grows
/// with the depth.
bool is_too_deep(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    if (is_too_deep(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

std::string to_json_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::size_t json_depth(const nlohmann::json& value)
{
    if (!value.is_structured()) {
        return 0;
    }
    std::size_t deepest = 0;
    for (const nlohmann::json& element : value) {
        deepest = std::max(deepest, json_depth(element));
    }
    return deepest + 1;
}

} // namespace pomeloloft
