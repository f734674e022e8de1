#include "pomeloloft/sidecar/quota_message.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

/// Most credits in one message; more than any node uses within the lifetime of a credit.
constexpr std::uint64_t max_credits = 1'000'000;

bool is_count(const json& value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_credits;
}

} // namespace

std::string encode_quota_asks(const std::vector<quota_ask>& asks)
{
    json out = json::array();
    for (const quota_ask& ask : asks) {
        out.push_back(json::array({ask.organisation, ask.wanted, ask.unused}));
    }
    return to_json_text(out);
}

result<std::vector<quota_ask>> decode_quota_asks(std::string_view text)
{
    const json parsed = parse_json(text);
    if (!parsed.is_array()) {
        return error{error_code::corrupt, "asks", "must be a list"};
    }
    std::vector<quota_ask> out;
    for (const json& item : parsed) {
        if (!item.is_array() || item.size() != 3 || !item[0].is_string() || !is_count(item[1]) ||
            !is_count(item[2])) {
            return error{error_code::corrupt, "asks", "must be lists of a name and two counts"};
        }
        out.push_back(
            {item[0].get<std::string>(), item[1].get<std::uint32_t>(), item[2].get<std::uint32_t>()});
    }
    return out;
}

std::string encode_quota_grants(const std::vector<std::uint32_t>& grants)
{
    return to_json_text(json(grants));
}

result<std::vector<std::uint32_t>> decode_quota_grants(std::string_view text, std::size_t count)
{
    const json parsed = parse_json(text);
    if (!parsed.is_array() || parsed.size() != count) {
        return error{error_code::corrupt, "grants", "must be a list with a count for each ask"};
    }
    std::vector<std::uint32_t> out;
    for (const json& item : parsed) {
        if (!is_count(item)) {
            return error{error_code::corrupt, "grants", "must be counts"};
        }
        out.push_back(item.get<std::uint32_t>());
    }
    return out;
}

} // namespace pomeloloft::sidecar
