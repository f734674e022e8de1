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

/// Where a node takes requests under keys it has issued.
struct node_address {
    std::string peer_address;
    std::uint64_t incarnation = 0;
    bool gone = false;
};

/// Nodes by name, those gone of late included.
using node_directory = std::unordered_map<std::string, node_address>;

/// What a node knows of a key's issuer.
enum class issuer_state : std::uint8_t {
    live,
    /// Gone, or replaced by a later process under its name.
    gone,
    /// Not heard of, or only of an earlier process under its name.
    unknown,
};

/// An issuer looked up.
struct issuer_lookup {
    issuer_state state = issuer_state::unknown;
    /// Set for a live one.
    std::string peer_address;
};

/// Looks up the process that issued a key.
[[nodiscard]] issuer_lookup find_issuer(const node_directory& directory, const idempotency_key& key);

/// The nodes of this moment, for requests under keys of other proxies. Safe for many threads.
class issuer_directory {
public:
    issuer_directory();

    /// Replaces the directory.
    void store(node_directory next);

    /// Looks up a key's issuer. One not heard of yet may have started a moment ago, so its entry is waited
    /// for, by a bounded number of requests at one time.
    [[nodiscard]] issuer_lookup await_issuer(const idempotency_key& key, time_point deadline);

private:
    rcu_cell<node_directory> current;
    std::mutex mutex;
    std::condition_variable directory_updated;
    std::size_t waiter_count = 0;
};

} // namespace pomeloloft
