#include "pomeloloft/sidecar/link_meter.hpp"

#include <algorithm>
#include <cmath>

namespace pomeloloft::sidecar {
namespace {

/// Time over which what has passed fades: a few large bodies on the narrowest links.
constexpr double memory_ms = 1000.0;
/// A fuller link counts as this full; its queue is not bounded by what passed.
constexpr double most_busy = 0.95;

} // namespace

link_meter::link_meter(std::uint32_t mbps)
    : bytes_per_ms(std::max(mbps, 1U) * 125.0), noted_at(steady_clock::now())
{}

double link_meter::decay_since(time_point now) const
{
    const std::chrono::duration<double, std::milli> age = now - this->noted_at;
    return std::exp(-std::max(0.0, age.count()) / memory_ms);
}

void link_meter::note(std::size_t bytes, time_point now)
{
    const double kept = this->decay_since(now);
    const auto size = static_cast<double>(bytes);
    this->recent_bytes = this->recent_bytes * kept + size;
    this->recent_squares = this->recent_squares * kept + size * size;
    this->noted_at = now;
}

std::uint32_t link_meter::wait_ms(time_point now) const
{
    if (this->recent_bytes <= 0) {
        return 0;
    }
    const double passed = this->recent_bytes * this->decay_since(now);
    const double busy = std::min(most_busy, passed / (this->bytes_per_ms * memory_ms));
    const double transfer_ms = this->recent_squares / this->recent_bytes / this->bytes_per_ms;
    return static_cast<std::uint32_t>(busy / (1.0 - busy) * transfer_ms);
}

} // namespace pomeloloft::sidecar
