#include "pomeloloft/sidecar/departure_record.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

std::int64_t number_in(const json& in, const char* key)
{
    const auto found = in.find(key);
    return found != in.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

json to_json(const departure& left, const clock_reading& clock)
{
    const auto age = std::chrono::duration_cast<milliseconds>(clock.now - left.left_at);
    return {{"instance", left.instance.id},
            {"started_at_ms", left.instance.started_at_ms},
            {"started_by_ms", left.started_by_ms},
            {"left_at_ms", clock.wall_ms - age.count()}};
}

std::optional<departure> departure_from(const json& in, const clock_reading& clock)
{
    if (!in.is_object() || !in.contains("instance") || !in["instance"].is_string() ||
        !in.contains("started_at_ms") || !in["started_at_ms"].is_number_integer()) {
        return std::nullopt;
    }
    departure out;
    out.instance = {in["instance"].get<std::string>(), number_in(in, "started_at_ms")};
    out.started_by_ms = number_in(in, "started_by_ms");
    // Only whether reports sent before may still arrive depends on the age. A clock that was set back does
    // not prolong it; records of earlier versions have none.
    const std::int64_t left_at_ms = number_in(in, "left_at_ms");
    const bool is_recent = left_at_ms > clock.wall_ms - max_report_delay.count();
    const milliseconds age =
        is_recent ? milliseconds(std::max<std::int64_t>(clock.wall_ms - left_at_ms, 0)) : max_report_delay;
    out.left_at = clock.now - age;
    return out;
}

} // namespace

std::string departure_key(const std::string& node)
{
    return "left/" + node;
}

std::string encode_departures(const std::deque<departure>& departed, const clock_reading& clock)
{
    // Processes of earlier versions read the newest departure only.
    json out = to_json(departed.back(), clock);
    json& earlier = out["earlier"] = json::array();
    for (std::size_t i = 0; i + 1 < departed.size(); ++i) {
        earlier.push_back(to_json(departed[i], clock));
    }
    return to_json_text(out);
}

bool holds_departure(const std::deque<departure>& recorded, const departure& left)
{
    return std::find(recorded.begin(), recorded.end(), left) != recorded.end();
}

std::optional<std::deque<departure>> decode_departures(const std::string& text, const clock_reading& clock)
{
    const json parsed = parse_json(text);
    const auto newest = departure_from(parsed, clock);
    if (!newest) {
        return std::nullopt;
    }
    std::deque<departure> out;
    if (const auto earlier = parsed.find("earlier"); earlier != parsed.end() && earlier->is_array()) {
        for (const json& entry : *earlier) {
            if (const auto left = departure_from(entry, clock)) {
                out.push_back(*left);
            }
        }
    }
    out.push_back(*newest);
    return out;
}

} // namespace pomeloloft::sidecar
