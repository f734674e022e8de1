#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/config/document.hpp"

namespace pomeloloft {

/// How configuration reaches a proxy. All but `tree` are baselines to measure against.
enum class distribution_mode : std::uint8_t {
    tree,
    /// Every proxy reads the log itself.
    poll,
    /// By the tree, but the whole state for every change.
    whole,
};

/// Names of `distribution_mode` in settings.
inline constexpr name_table<distribution_mode, 3> distribution_mode_names{{
    {distribution_mode::tree, "tree"},
    {distribution_mode::poll, "poll"},
    {distribution_mode::whole, "whole"},
}};

/// How a node spreads what it knows.
struct sync_options {
    /// Children a parent is planned for.
    std::size_t fan_out = 8;
    /// Children a parent takes at the most; more are sent elsewhere.
    std::size_t max_children = 32;
    milliseconds heartbeat_interval{800};
    /// Silence after which a link, and then its remote node, counts as lost.
    milliseconds lease{2400};
    /// How long changes are gathered before they are passed on.
    milliseconds batch_window{0};
    /// Links that may receive a snapshot or a whole member table at one time.
    std::size_t max_full_syncs = 4;
    distribution_mode mode = distribution_mode::tree;
};

/// Options of a preset, with what is declared otherwise.
[[nodiscard]] sync_options sync_options_for(const distribution& declared);

} // namespace pomeloloft
