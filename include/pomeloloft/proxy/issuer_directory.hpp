#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/rcu_cell.hpp"
#include "pomeloloft/traffic/idempotency.hpp"

namespace pomeloloft {

/// The address at which a node accepts requests with keys that it issued.
struct node_address {
    std::string peer_address;
    std::uint64_t incarnation = 0;
    bool gone = false;
};

/// Nodes by name, including those that are gone but still in the member table.
using node_directory = std::unordered_map<std::string, node_address>;

/// State of the process that issued a key, as known to this node.
enum class issuer_state : std::uint8_t {
    live,
    /// Gone, or replaced by a process with a higher incarnation under the same node name.
    gone,
    /// No entry for the node name, or only one with a lower incarnation.
    unknown,
};

/// Result of looking up an issuer.
struct issuer_lookup {
    issuer_state state = issuer_state::unknown;
    /// Set only if `state` is `live`.
    std::string peer_address;
};

/// Looks up the process that issued a key.
[[nodiscard]] issuer_lookup find_issuer(const node_directory& directory, const idempotency_key& key);

/// Directory of the fleet's nodes, for forwarding requests to the issuers of their keys. Thread-safe.
class issuer_directory {
public:
    issuer_directory();

    /// Replaces the directory.
    void store(node_directory next);

    /// Looks up the issuer of a key. An unknown issuer may have just started, so a bounded number of calls
    /// wait concurrently for its entry, until `deadline` at most.
    [[nodiscard]] issuer_lookup await_issuer(const idempotency_key& key, time_point deadline);

private:
    rcu_cell<node_directory> current;
    std::mutex mutex;
    std::condition_variable directory_updated;
    std::size_t waiter_count = 0;
};

} // namespace pomeloloft
