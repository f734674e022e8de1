#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Estimates the queueing delay on this VM's link from recent traffic. Large bodies saturate a narrow
/// link, and then a request is delayed even if the target has a free slot. Not synchronised.
class link_meter {
public:
    /// @param mbps bandwidth of the link in Mbit/s.
    explicit link_meter(std::uint32_t mbps);

    /// Records the body of a message that was transferred over the link.
    void record(std::size_t bytes, time_point now);

    /// Expected wait for the link, in milliseconds.
    [[nodiscard]] std::uint32_t wait_ms(time_point now) const;

private:
    [[nodiscard]] double decay_since(time_point now) const;

    double bytes_per_ms;
    /// Exponentially decayed sum of transferred bytes.
    double recent_bytes = 0;
    /// Exponentially decayed sum of squared message sizes, for the mean size of the message that another
    /// waits behind.
    double recent_squared_sizes = 0;
    time_point recorded_at;
};

} // namespace pomeloloft::sidecar
