#include "pomeloloft/sidecar/quota_holders.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Nodes whose links are this many times narrower than the widest hold no quotas.
constexpr std::uint32_t narrow_link_factor = 4;

std::uint64_t weight_of(std::uint64_t organisation_hash, const std::string& node)
{
    return hash_combine(organisation_hash, hash_bytes(node));
}

} // namespace

std::vector<std::string> quota_holders(const member_table& members, const std::string& organisation,
                                       std::size_t count)
{
    std::uint32_t widest = 0;
    for (const auto& [node, entry] : members.entries) {
        widest = std::max(widest, entry.value.link_mbps);
    }
    const std::uint64_t organisation_hash = hash_bytes(organisation);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    for (const auto& [node, entry] : members.entries) {
        const bool narrow = entry.value.link_mbps * std::uint64_t{narrow_link_factor} < widest;
        if (!narrow && entry.value.state != member_state::gone) {
            ranked.emplace_back(weight_of(organisation_hash, node), &node);
        }
    }
    const std::size_t chosen = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < chosen; ++i) {
        out.push_back(*ranked[i].second);
    }
    return out;
}

std::size_t quota_rank(const member_table& members, const std::string& organisation, const std::string& node)
{
    const std::uint64_t organisation_hash = hash_bytes(organisation);
    const std::uint64_t own = weight_of(organisation_hash, node);
    std::size_t out = 0;
    for (const auto& [other, entry] : members.entries) {
        out += weight_of(organisation_hash, other) < own ? 1 : 0;
    }
    return out;
}

} // namespace pomeloloft::sidecar
