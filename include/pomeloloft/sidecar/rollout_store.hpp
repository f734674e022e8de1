#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/net/stream.hpp"
#include "pomeloloft/sidecar/rollout.hpp"

namespace pomeloloft::sidecar {

/// The state of a roll-out in the store, and the position that a write must name to replace it.
struct stored_rollout {
    std::optional<rollout> state;
    std::uint64_t position = 0;
};

/// The part of the platform's store that holds the operator's orders and the state of roll-outs.
class rollout_store {
public:
    rollout_store() = default;
    rollout_store(const rollout_store&) = delete;
    rollout_store& operator=(const rollout_store&) = delete;
    virtual ~rollout_store() = default;

    /// Makes reads of the configuration look for orders.
    virtual void follow_orders() = 0;

    /// Returns the orders that reads of the configuration have come upon since the last call.
    virtual std::vector<rollout_order> take_orders() = 0;

    /// Reads the newest state of a service's roll-out.
    virtual net::task<result<stored_rollout>> read_rollout(std::string service, time_point deadline) = 0;

    /// Writes a state, and the operator's status with it if the phase has changed, unless anything was
    /// written after `previous` was read. A write without a response may still take effect.
    /// @return whether the state was written.
    virtual net::task<result<bool>> write_rollout(const rollout& next, const stored_rollout& previous,
                                                  time_point deadline) = 0;
};

} // namespace pomeloloft::sidecar
