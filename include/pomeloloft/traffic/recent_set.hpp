#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// Set of recently added hashes, bounded in age and size. Thread-safe.
class recent_set {
public:
    /// Adds a hash, or renews its expiry.
    void add(std::uint64_t hash, time_point now);

    /// Removes all hashes.
    void clear();

    /// Whether a hash was added within the last minute.
    [[nodiscard]] bool contains(std::uint64_t hash, time_point now) const;

private:
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, time_point> expiry;
    std::deque<std::uint64_t> order;
};

} // namespace pomeloloft
