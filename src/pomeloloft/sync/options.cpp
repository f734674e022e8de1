#include "pomeloloft/sync/options.hpp"

namespace pomeloloft {
namespace {

/// Number of missed heartbeats after which a link counts as lost.
constexpr int heartbeats_per_lease = 3;
/// Ratio of `max_children` to `fan_out`: a parent also accepts the children of lost parents.
constexpr std::size_t max_children_factor = 4;

sync_options preset_options(distribution_preset preset)
{
    sync_options options;
    if (preset == distribution_preset::bytes) {
        options.heartbeat_interval = milliseconds{4000};
        options.lease = milliseconds{12000};
        options.batch_window = milliseconds{400};
    }
    return options;
}

} // namespace

sync_options sync_options_for(const distribution& declared)
{
    sync_options options = preset_options(declared.preset);
    if (declared.fan_out) {
        options.fan_out = *declared.fan_out;
        options.max_children = options.fan_out * max_children_factor;
    }
    if (declared.heartbeat_ms) {
        options.heartbeat_interval = milliseconds(*declared.heartbeat_ms);
        options.lease = options.heartbeat_interval * heartbeats_per_lease;
    }
    if (declared.batch_window_ms) {
        options.batch_window = milliseconds(*declared.batch_window_ms);
    }
    return options;
}

} // namespace pomeloloft
