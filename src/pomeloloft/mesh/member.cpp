#include "pomeloloft/mesh/member.hpp"

#include <tuple>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

auto rank_of(const member& m)
{
    return std::make_tuple(m.incarnation, m.sequence, static_cast<int>(m.state), hash_of(m));
}

} // namespace

bool supersedes(const member& a, const member& b)
{
    return rank_of(a) > rank_of(b);
}

std::uint64_t hash_of(const member& m)
{
    std::uint64_t hash = hash_bytes(m.node, m.incarnation);
    hash = hash_combine(hash, m.sequence);
    hash = hash_combine(hash, static_cast<std::uint64_t>(m.state));
    for (const std::string* text :
         {&m.data_centre, &m.service, &m.peer_address, &m.control_address, &m.owner, &m.instance}) {
        hash = hash_combine(hash, hash_bytes(*text));
    }
    hash = hash_combine(hash, static_cast<std::uint64_t>(m.instance_started_at_ms));
    hash = hash_combine(hash, m.link_mbps);
    if (!m.version.empty()) {
        // Entries without a version keep the hash that sidecars without roll-outs compute.
        hash = hash_combine(hash, hash_bytes(m.version));
    }
    return hash_combine(hash, m.reaches_store ? 1 : 0);
}

std::uint64_t tree_weight(const std::string& node)
{
    constexpr std::uint64_t tree_seed = 0x7265616465727321;
    return hash_bytes(node, tree_seed);
}

} // namespace pomeloloft
