#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/config/document.hpp"

namespace pomeloloft {

/// How configuration is distributed to proxies. All modes but `tree` are baselines for measurements.
enum class distribution_mode : std::uint8_t {
    /// Parents push changes to their children; only readers read the log.
    tree,
    /// Every proxy reads the log itself.
    poll,
    /// Over the tree, but every change is sent as a snapshot of the full state.
    full_state,
};

/// Names of `distribution_mode` in settings.
inline constexpr name_table<distribution_mode, 3> distribution_mode_names{{
    {distribution_mode::tree, "tree"},
    {distribution_mode::poll, "poll"},
    {distribution_mode::full_state, "whole"},
}};

/// Parameters of the links between nodes.
struct sync_options {
    /// Children per parent in the planned tree.
    std::size_t fan_out = 8;
    /// Maximum number of children per parent; further ones are refused and connect elsewhere.
    std::size_t max_children = 32;
    milliseconds heartbeat_interval{800};
    /// Time without a frame after which a link, and then its remote node, counts as lost.
    milliseconds lease{2400};
    /// Minimum time between two frames with changes on a link, so that changes are batched.
    milliseconds batch_window{0};
    /// Maximum number of links that are sent a snapshot or a full member table at the same time.
    std::size_t max_full_syncs = 4;
    distribution_mode mode = distribution_mode::tree;
};

/// Options of the declared preset, with the values that the declaration overrides.
[[nodiscard]] sync_options sync_options_for(const distribution& declared);

} // namespace pomeloloft
