#include "pomeloloft/mesh/member_table.hpp"

#include <algorithm>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

void toggle_digest(member_table& table, const member& m)
{
    table.digest[bucket_of(m.node)] ^= hash_of(m);
}

void store_entry(member_table& table, table_entry& entry, const member& value, std::uint64_t learned_from)
{
    if (entry.change != 0) {
        toggle_digest(table, entry.value);
        table.changes.erase(entry.change);
    }
    entry.value = value;
    entry.learned_from = learned_from;
    entry.change = ++table.last_change;
    table.changes.emplace(entry.change, value.node);
    toggle_digest(table, value);
}

} // namespace

std::size_t bucket_of(const std::string& node)
{
    return hash_bytes(node) % digest_buckets;
}

bool merge(member_table& table, const member& incoming, std::uint64_t learned_from, time_point now)
{
    if (incoming.node.empty()) {
        return false;
    }
    table_entry& entry = table.entries[incoming.node];
    const bool known = entry.change != 0;
    if (known && !supersedes(incoming, entry.value)) {
        return false;
    }
    if (!known || entry.value.state != incoming.state || entry.value.incarnation != incoming.incarnation) {
        entry.state_since = now;
    }
    store_entry(table, entry, incoming, learned_from);
    return true;
}

bool declare_gone(member_table& table, const std::string& node, time_point now)
{
    const member* current = find_member(table, node);
    if (current == nullptr || current->state == member_state::gone) {
        return false;
    }
    member gone = *current;
    gone.state = member_state::gone;
    return merge(table, gone, 0, now);
}

std::size_t purge_gone(member_table& table, time_point cutoff)
{
    std::size_t purged = 0;
    for (auto it = table.entries.begin(); it != table.entries.end();) {
        const table_entry& entry = it->second;
        if (entry.value.state != member_state::gone || entry.state_since >= cutoff) {
            ++it;
            continue;
        }
        toggle_digest(table, entry.value);
        table.changes.erase(entry.change);
        it = table.entries.erase(it);
        ++purged;
    }
    return purged;
}

const member* find_member(const member_table& table, const std::string& node)
{
    const auto found = table.entries.find(node);
    return found == table.entries.end() ? nullptr : &found->second.value;
}

std::vector<member> changes_after(const member_table& table, std::uint64_t& cursor, std::uint64_t except_link,
                                  std::size_t limit)
{
    std::vector<member> out;
    for (auto it = table.changes.upper_bound(cursor); it != table.changes.end() && out.size() < limit; ++it) {
        cursor = it->first;
        const table_entry& entry = table.entries.at(it->second);
        if (entry.learned_from != except_link) {
            out.push_back(entry.value);
        }
    }
    return out;
}

std::vector<member> entries_differing(const member_table& table, const table_digest& remote)
{
    std::vector<member> out;
    for (const auto& [node, entry] : table.entries) {
        const std::size_t bucket = bucket_of(node);
        if (table.digest[bucket] != remote[bucket]) {
            out.push_back(entry.value);
        }
    }
    return out;
}

std::uint64_t combined_digest(const member_table& table)
{
    std::uint64_t combined = 0;
    for (const std::uint64_t bucket : table.digest) {
        combined = hash_combine(combined, bucket);
    }
    return combined;
}

} // namespace pomeloloft
