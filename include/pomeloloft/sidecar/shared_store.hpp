#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::sidecar {

/// One record of the store; without a value the key is dropped.
struct store_record {
    std::string key;
    std::optional<std::string> value;
};

/// The platform's store: it loses nothing that it has acknowledged, and may be down, slow or lose answers.
class shared_store {
public:
    shared_store() = default;
    shared_store(const shared_store&) = delete;
    shared_store& operator=(const shared_store&) = delete;
    virtual ~shared_store() = default;

    /// Waits for a configuration document newer than those returned before.
    /// @return nothing when none came in a while.
    virtual net::task<result<std::optional<std::string>>> next_config() = 0;

    /// Lets the next call of `next_config` return the newest document, whatever came before it.
    virtual void skip_to_newest() = 0;

    /// Whether the store answers; cheap.
    virtual net::task<bool> is_reachable(time_point deadline) = 0;

    /// Writes records of the project's own, all or none. A write that was given up never replaces a later
    /// one.
    virtual net::task<result<void>> put(std::vector<store_record> records, time_point deadline) = 0;

    /// All records of the project's own.
    virtual net::task<result<std::vector<store_record>>> read_all(time_point deadline) = 0;
};

} // namespace pomeloloft::sidecar
