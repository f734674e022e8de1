#include "pomeloloft/sidecar/suspects.hpp"

#include <algorithm>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::sidecar {

bool crash_suspects::add(const crash_observation& observation, time_point now)
{
    const bool known = this->suspects.contains(observation.fingerprint);
    if (!known && this->suspects.size() >= this->options.max_tracked) {
        return false;
    }
    suspect& tracked = this->suspects[observation.fingerprint];
    if (std::find(tracked.nodes.begin(), tracked.nodes.end(), observation.node) != tracked.nodes.end()) {
        return false;
    }
    tracked.nodes.push_back(observation.node);
    tracked.expires_at = now + this->options.retention;
    return true;
}

bool crash_suspects::is_quarantined(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() &&
           found->second.nodes.size() >= this->options.quarantine_threshold && now < found->second.expires_at;
}

std::vector<crash_observation> crash_suspects::observations_to_share(time_point now) const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> order;
    for (const auto& [fingerprint, tracked] : this->suspects) {
        if (now < tracked.expires_at) {
            order.emplace_back(tracked.nodes.size(), fingerprint);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), this->options.max_shared));
    std::vector<crash_observation> out;
    for (const auto& [count, fingerprint] : order) {
        for (const std::string& node : this->suspects.at(fingerprint).nodes) {
            out.push_back({fingerprint, node});
        }
    }
    return out;
}

void crash_suspects::remove_expired(time_point now)
{
    std::erase_if(this->suspects, [now](const auto& entry) { return entry.second.expires_at <= now; });
}

std::uint64_t fingerprint_of(std::string_view host, std::string_view target, std::string_view body)
{
    return hash_combine(hash_combine(hash_bytes(host), hash_bytes(target)), hash_bytes(body));
}

} // namespace pomeloloft::sidecar
