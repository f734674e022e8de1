#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Estimates how long bytes wait for this VM's link, from what has passed it of late. Answers large bodies on
/// narrow links, where a free slot is worth little behind a full link. Not synchronised.
class link_meter {
public:
    /// @param mbps bandwidth of the link.
    explicit link_meter(std::uint32_t mbps);

    /// Notes the body of one message that passed the link.
    void record(std::size_t bytes, time_point now);

    /// Expected wait for the link, in milliseconds.
    [[nodiscard]] std::uint32_t wait_ms(time_point now) const;

private:
    [[nodiscard]] double decay_since(time_point now) const;

    double bytes_per_ms;
    /// Bytes seen, each counting less the longer ago it passed.
    double recent_bytes = 0;
    /// The same of their squares, for the mean size of what a message waits behind.
    double recent_bytes_squared = 0;
    time_point recorded_at;
};

} // namespace pomeloloft::sidecar
