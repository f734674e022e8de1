#include "pomeloloft/sidecar/departure_record.hpp"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

json to_json(const instance_key& departure)
{
    return {{"instance", departure.id}, {"started_at_ms", departure.started_at_ms}};
}

std::optional<instance_key> departure_from(const json& in)
{
    if (!in.is_object() || !in.contains("instance") || !in["instance"].is_string() ||
        !in.contains("started_at_ms") || !in["started_at_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return instance_key{in["instance"].get<std::string>(), in["started_at_ms"].get<std::int64_t>()};
}

} // namespace

std::string departure_key(const std::string& node)
{
    return "left/" + node;
}

std::string encode_departures(const std::deque<instance_key>& departed)
{
    // Processes of earlier versions read the newest departure only.
    json out = to_json(departed.back());
    json& earlier = out["earlier"] = json::array();
    for (std::size_t i = 0; i + 1 < departed.size(); ++i) {
        earlier.push_back(to_json(departed[i]));
    }
    return to_json_text(out);
}

std::vector<instance_key> departures_missing(const std::deque<instance_key>& departed,
                                             const std::deque<instance_key>& recorded)
{
    std::vector<instance_key> out;
    std::copy_if(departed.begin(), departed.end(), std::back_inserter(out), [&recorded](const auto& each) {
        return std::find(recorded.begin(), recorded.end(), each) == recorded.end();
    });
    return out;
}

std::optional<std::deque<instance_key>> decode_departures(const std::string& text)
{
    const json parsed = parse_json(text);
    const auto newest = departure_from(parsed);
    if (!newest) {
        return std::nullopt;
    }
    std::deque<instance_key> out;
    if (const auto earlier = parsed.find("earlier"); earlier != parsed.end() && earlier->is_array()) {
        for (const json& entry : *earlier) {
            if (const auto departure = departure_from(entry)) {
                out.push_back(*departure);
            }
        }
    }
    out.push_back(*newest);
    return out;
}

} // namespace pomeloloft::sidecar
