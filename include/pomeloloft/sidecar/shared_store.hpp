#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/net/stream.hpp"
#include "pomeloloft/sidecar/rollout_store.hpp"

namespace pomeloloft::sidecar {

/// A record of the store; a record without a value deletes the key.
struct store_record {
    std::string key;
    std::optional<std::string> value;
};

/// The platform's store. It never loses acknowledged writes, but may be unavailable or slow, or may apply a
/// write whose response is lost.
class shared_store {
public:
    shared_store() = default;
    shared_store(const shared_store&) = delete;
    shared_store& operator=(const shared_store&) = delete;
    virtual ~shared_store() = default;

    /// Waits for a configuration document newer than those returned before.
    /// @param max_wait time that the store may wait for one; the transfer may take longer.
    /// @return nothing when none arrived in that time.
    virtual net::task<result<std::optional<std::string>>> next_config(milliseconds max_wait) = 0;

    /// Makes the next call of `next_config` return the newest document, even if it was returned before.
    virtual void skip_to_newest() = 0;

    /// Checks with a small call whether the store serves the configuration.
    virtual net::task<bool> is_reachable(time_point deadline) = 0;

    /// Checks with the cheapest call whether the store responds at all; for checks at short intervals.
    virtual net::task<bool> ping(time_point deadline) = 0;

    /// Writes records of this project, all or none. An abandoned write never replaces a later one.
    virtual net::task<result<void>> put(std::vector<store_record> records, time_point deadline) = 0;

    /// Reads all records of this project.
    virtual net::task<result<std::vector<store_record>>> read_all(time_point deadline) = 0;

    /// The part that holds roll-outs; null if there is none.
    virtual rollout_store* rollouts() { return nullptr; }
};

} // namespace pomeloloft::sidecar
