#include "pomeloloft/sidecar/departure_record.hpp"

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {

std::string departure_key(const std::string& node)
{
    return "left/" + node;
}

std::string encode_departure(const instance_key& departure)
{
    return to_json_text({{"instance", departure.id}, {"started_at_ms", departure.started_at_ms}});
}

std::optional<instance_key> decode_departure(const std::string& text)
{
    const auto parsed = parse_json(text);
    if (!parsed.is_object() || !parsed.contains("instance") || !parsed["instance"].is_string() ||
        !parsed.contains("started_at_ms") || !parsed["started_at_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return instance_key{parsed["instance"].get<std::string>(), parsed["started_at_ms"].get<std::int64_t>()};
}

} // namespace pomeloloft::sidecar
