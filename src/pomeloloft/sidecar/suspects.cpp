#include "pomeloloft/sidecar/suspects.hpp"

#include <algorithm>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::sidecar {

void suspect_list::add(const crash_sighting& seen, time_point now)
{
    const bool known = this->suspects.contains(seen.fingerprint);
    if (!known && this->suspects.size() >= this->options.most_kept) {
        return;
    }
    suspect& held = this->suspects[seen.fingerprint];
    if (std::find(held.nodes.begin(), held.nodes.end(), seen.node) != held.nodes.end()) {
        return;
    }
    held.nodes.push_back(seen.node);
    held.forget_at = now + this->options.memory;
}

bool suspect_list::refuses(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.nodes.size() >= this->options.nodes_to_refuse &&
           now < found->second.forget_at;
}

std::vector<crash_sighting> suspect_list::to_tell(time_point now) const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> order;
    for (const auto& [fingerprint, held] : this->suspects) {
        if (now < held.forget_at) {
            order.emplace_back(held.nodes.size(), fingerprint);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), this->options.most_told));
    std::vector<crash_sighting> out;
    for (const auto& [count, fingerprint] : order) {
        for (const std::string& node : this->suspects.at(fingerprint).nodes) {
            out.push_back({fingerprint, node});
        }
    }
    return out;
}

void suspect_list::expire(time_point now)
{
    std::erase_if(this->suspects, [now](const auto& entry) { return entry.second.forget_at <= now; });
}

std::uint64_t fingerprint_of(std::string_view host, std::string_view target, std::string_view body)
{
    return hash_combine(hash_combine(hash_bytes(host), hash_bytes(target)), hash_bytes(body));
}

} // namespace pomeloloft::sidecar
