#include "pomeloloft/sidecar/store_polling.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{1000};
/// Pause of a node that leaves the store to the probers.
constexpr milliseconds covered_pause{6000};
/// Failures after which a node leaves the store to the probers: a single call may fail in a healthy store.
constexpr std::uint32_t failures_before_covered = 2;

} // namespace

bool is_store_prober(const member_table& members, const std::string& node)
{
    const member* self = find_member(members, node);
    if (self == nullptr) {
        return true;
    }
    const std::uint64_t weight = tree_weight(node);
    const auto precedes = [&](const auto& entry) {
        const member& m = entry.second.value;
        return m.data_centre == self->data_centre && m.state != member_state::gone &&
               m.state != member_state::draining && tree_weight(m.node) < weight;
    };
    const auto preceding = std::count_if(members.entries.begin(), members.entries.end(), precedes);
    return static_cast<std::size_t>(preceding) < probers_per_data_centre;
}

milliseconds store_retry_pause(const store_poll_state& state)
{
    const bool covered = state.holds_config && !state.is_prober && state.failures >= failures_before_covered;
    if (covered) {
        return covered_pause;
    }
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings = std::min(std::max(state.failures, 1U) - 1, max_doublings);
    return std::min(min_pause * (1U << doublings), max_pause);
}

milliseconds read_patience(std::uint32_t abandoned_reads)
{
    constexpr milliseconds first{1000};
    constexpr std::uint32_t max_doublings = 2;
    return first * (1U << std::min(abandoned_reads, max_doublings));
}

} // namespace pomeloloft::sidecar
