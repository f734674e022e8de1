#include "pomeloloft/base/memory_account.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

constexpr std::uint64_t bytes_per_mb = 1U << 20U;
/// Memory of a process without clients: code, tables, connections to others.
constexpr std::uint64_t own_mb = 32;
/// A process with less memory than this serves small requests only.
constexpr std::uint64_t min_client_mb = 4;
constexpr std::uint64_t share_numerator = 3;
constexpr std::uint64_t share_denominator = 4;
constexpr std::size_t min_connections = 8;

/// Whether the client decides how long the connection stays in its phase.
bool depends_on_client(const account_entry& entry)
{
    return entry.phase != client_phase::handling && entry.phase != client_phase::waiting;
}

bool can_stall(const account_entry& entry)
{
    return entry.bytes > 0 && depends_on_client(entry);
}

} // namespace

std::uint64_t client_bytes_of(std::uint64_t memory_mb)
{
    const std::uint64_t rest = memory_mb > own_mb ? memory_mb - own_mb : 0;
    return std::max(rest * bytes_per_mb * share_numerator / share_denominator, min_client_mb * bytes_per_mb);
}

std::size_t client_connections_of(std::uint64_t max_descriptors, std::size_t descriptors_per_connection)
{
    const std::uint64_t share = max_descriptors * share_numerator / share_denominator;
    return std::max<std::size_t>(share / descriptors_per_connection, min_connections);
}

void memory_account::open(account_entry& entry, time_point now)
{
    entry = {};
    entry.progressed_at = now;
    this->entries.insert(&entry);
}

void memory_account::close(account_entry& entry)
{
    if (this->entries.erase(&entry) > 0) {
        this->held_bytes -= entry.bytes;
        entry.bytes = 0;
    }
}

void memory_account::enter(account_entry& entry, client_phase phase, time_point now) const
{
    entry.phase = phase;
    entry.progressed_at = now;
    entry.moved_bytes = 0;
}

void memory_account::record_progress(account_entry& entry, std::uint64_t bytes, time_point now) const
{
    entry.moved_bytes += bytes;
    if (entry.moved_bytes >= min_progress_bytes) {
        entry.moved_bytes = 0;
        entry.progressed_at = now;
    }
}

bool memory_account::reserve(account_entry& entry, std::uint64_t bytes)
{
    if (!this->is_open(entry) || bytes > this->limits.bytes ||
        this->held_bytes > this->limits.bytes - bytes) {
        return false;
    }
    this->charge(entry, bytes);
    return true;
}

void memory_account::charge(account_entry& entry, std::uint64_t bytes)
{
    if (this->is_open(entry)) {
        entry.bytes += bytes;
        this->held_bytes += bytes;
    }
}

void memory_account::release(account_entry& entry, std::uint64_t bytes)
{
    if (this->is_open(entry)) {
        const std::uint64_t given_back = std::min(bytes, entry.bytes);
        entry.bytes -= given_back;
        this->held_bytes -= given_back;
    }
}

account_entry* memory_account::least_recent() const
{
    account_entry* found = nullptr;
    for (account_entry* entry : this->entries) {
        if (depends_on_client(*entry) && (found == nullptr || entry->progressed_at < found->progressed_at)) {
            found = entry;
        }
    }
    return found;
}

account_entry* memory_account::stalled_holder(time_point now) const
{
    account_entry* found = nullptr;
    for (account_entry* entry : this->entries) {
        if (can_stall(*entry) && entry->progressed_at + client_stall_time <= now &&
            (found == nullptr || entry->progressed_at < found->progressed_at)) {
            found = entry;
        }
    }
    return found;
}

account_entry* memory_account::stalled_request(time_point now, milliseconds stall_time) const
{
    account_entry* found = nullptr;
    for (account_entry* entry : this->entries) {
        const bool in_request =
            entry->phase == client_phase::reading || entry->phase == client_phase::writing;
        if (in_request && entry->progressed_at + stall_time <= now &&
            (found == nullptr || entry->progressed_at < found->progressed_at)) {
            found = entry;
        }
    }
    return found;
}

time_point memory_account::next_stall() const
{
    time_point next = no_deadline;
    for (const account_entry* entry : this->entries) {
        if (can_stall(*entry)) {
            next = std::min(next, entry->progressed_at + client_stall_time);
        }
    }
    return next;
}

} // namespace pomeloloft
