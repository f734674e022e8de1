#include "pomeloloft/sidecar/link_meter.hpp"

#include <algorithm>
#include <cmath>

namespace pomeloloft::sidecar {
namespace {

/// Decay time of recorded traffic: the transfer time of a few large bodies on the narrowest links.
constexpr double decay_time_ms = 1000.0;
/// Upper bound on the estimated utilisation: the queue of a fuller link cannot be derived from the traffic
/// that passed.
constexpr double max_utilisation = 0.95;

} // namespace

link_meter::link_meter(std::uint32_t mbps)
    : bytes_per_ms(std::max(mbps, 1U) * 125.0), recorded_at(steady_clock::now())
{}

double link_meter::decay_since(time_point now) const
{
    const std::chrono::duration<double, std::milli> age = now - this->recorded_at;
    return std::exp(-std::max(0.0, age.count()) / decay_time_ms);
}

void link_meter::record(std::size_t bytes, time_point now)
{
    const double decay = this->decay_since(now);
    const auto size = static_cast<double>(bytes);
    this->recent_bytes = this->recent_bytes * decay + size;
    this->recent_squared_sizes = this->recent_squared_sizes * decay + size * size;
    this->recorded_at = now;
}

std::uint32_t link_meter::wait_ms(time_point now) const
{
    if (this->recent_bytes <= 0) {
        return 0;
    }
    const double decayed_bytes = this->recent_bytes * this->decay_since(now);
    const double utilisation =
        std::min(max_utilisation, decayed_bytes / (this->bytes_per_ms * decay_time_ms));
    const double transfer_ms = this->recent_squared_sizes / this->recent_bytes / this->bytes_per_ms;
    return static_cast<std::uint32_t>(utilisation / (1.0 - utilisation) * transfer_ms);
}

} // namespace pomeloloft::sidecar
