#pragma once

#include <cstdint>
#include <string>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/mesh/member_table.hpp"

namespace pomeloloft::sidecar {

/// Nodes of each data centre that keep calling an unreachable store at short intervals.
inline constexpr std::size_t probers_per_data_centre = 2;

/// Whether a node calls an unreachable store at short intervals for its data centre: the nodes with the
/// lowest tree weights of those whose targets are not draining. The others learn of the store's recovery from
/// them.
[[nodiscard]] bool is_store_prober(const member_table& members, const std::string& node);

/// What decides when a node calls an unreachable store again.
struct store_poll_state {
    /// Calls that failed since the last success.
    std::uint32_t failures = 0;
    bool holds_config = false;
    bool is_prober = false;
};

/// Mean pause before the next call to an unreachable store. The load is an outage that every node of a large
/// fleet notices at once: a node that already holds a configuration leaves the store to the probers after its
/// second failure, and then only covers for probers that cannot reach it either.
[[nodiscard]] milliseconds store_retry_pause(const store_poll_state& state);

/// Time after which a read that need not wait for a change is checked. The load is a document that takes
/// seconds over a narrow link: the time doubles with each read that was abandoned, so that the transfer ends.
[[nodiscard]] milliseconds read_patience(std::uint32_t abandoned_reads);

} // namespace pomeloloft::sidecar
