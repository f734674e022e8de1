#include "pomeloloft/sidecar/quarantine_record.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {

using nlohmann::json;

std::string encode_quarantine(const std::vector<crash_observation>& observations, std::int64_t now_ms)
{
    json crashes = json::array();
    for (const crash_observation& o : observations) {
        crashes.push_back({{"fingerprint", o.fingerprint},
                           {"crash", o.crash},
                           {"expires_at_ms", now_ms + o.time_left.count()}});
    }
    return to_json_text({{"crashes", std::move(crashes)}});
}

bool has_new_crash(const std::vector<crash_observation>& observations,
                   const std::vector<crash_observation>& stored)
{
    return std::any_of(observations.begin(), observations.end(), [&stored](const crash_observation& o) {
        return std::none_of(stored.begin(), stored.end(), [&o](const crash_observation& known) {
            return known.fingerprint == o.fingerprint && known.crash == o.crash;
        });
    });
}

bool has_cleared_request(const std::vector<crash_observation>& observations,
                         const std::vector<crash_observation>& stored, time_point stored_at, time_point now)
{
    return std::any_of(stored.begin(), stored.end(), [&](const crash_observation& o) {
        const bool expired = now >= stored_at + o.time_left;
        return !expired && std::none_of(observations.begin(), observations.end(),
                                        [&o](const auto& held) { return held.fingerprint == o.fingerprint; });
    });
}

result<std::vector<crash_observation>> decode_quarantine(std::string_view text, std::int64_t now_ms)
{
    const json parsed = parse_json(text);
    if (!parsed.is_object() || !parsed.contains("crashes") || !parsed["crashes"].is_array()) {
        return error{error_code::corrupt, "crashes", "is not a list"};
    }
    std::vector<crash_observation> out;
    for (const json& entry : parsed["crashes"]) {
        if (!entry.is_object() || !entry.contains("fingerprint") ||
            !entry["fingerprint"].is_number_unsigned()) {
            return error{error_code::corrupt, "crashes.fingerprint", "is not a number"};
        }
        if (!entry.contains("crash") || !entry["crash"].is_string()) {
            return error{error_code::corrupt, "crashes.crash", "is not a string"};
        }
        if (!entry.contains("expires_at_ms") || !entry["expires_at_ms"].is_number_integer()) {
            return error{error_code::corrupt, "crashes.expires_at_ms", "is not a whole number"};
        }
        const auto expires_at_ms = entry["expires_at_ms"].get<std::int64_t>();
        if (expires_at_ms > now_ms) {
            // The clocks of VMs may differ; no observation is valid for longer than its retention.
            const milliseconds left =
                std::min(milliseconds(expires_at_ms - now_ms), crash_observation_retention);
            out.push_back(
                {entry["fingerprint"].get<std::uint64_t>(), entry["crash"].get<std::string>(), left});
        }
    }
    return out;
}

} // namespace pomeloloft::sidecar
