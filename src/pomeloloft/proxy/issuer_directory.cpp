#include "pomeloloft/proxy/issuer_directory.hpp"

#include <algorithm>
#include <utility>

namespace pomeloloft {
namespace {

/// The longest time until the first entry of a node reaches the other nodes: the backoff after a lost link
/// plus one heartbeat.
constexpr milliseconds max_entry_wait{3000};
/// Maximum number of requests that wait concurrently, so that keys which no proxy issued cannot block all
/// threads.
constexpr std::size_t max_waiters = 32;

} // namespace

issuer_lookup find_issuer(const node_directory& directory, const idempotency_key& key)
{
    const auto found = directory.find(key.issuer);
    if (found == directory.end() || found->second.incarnation < key.incarnation) {
        return {issuer_state::unknown, ""};
    }
    if (found->second.gone || found->second.incarnation > key.incarnation) {
        return {issuer_state::gone, ""};
    }
    return {issuer_state::live, found->second.peer_address};
}

issuer_directory::issuer_directory()
{
    this->current.store(std::make_shared<node_directory>());
}

void issuer_directory::store(node_directory next)
{
    const std::lock_guard lock(this->mutex);
    this->current.store(std::make_shared<node_directory>(std::move(next)));
    this->directory_updated.notify_all();
}

issuer_lookup issuer_directory::await_issuer(const idempotency_key& key, time_point deadline)
{
    issuer_lookup found = find_issuer(*this->current.load(), key);
    if (found.state != issuer_state::unknown) {
        return found;
    }
    const time_point limit = std::min(deadline, steady_clock::now() + max_entry_wait);
    std::unique_lock lock(this->mutex);
    if (this->waiter_count >= max_waiters) {
        return found;
    }
    ++this->waiter_count;
    this->directory_updated.wait_until(lock, limit, [&] {
        found = find_issuer(*this->current.load(), key);
        return found.state != issuer_state::unknown;
    });
    --this->waiter_count;
    return found;
}

} // namespace pomeloloft
