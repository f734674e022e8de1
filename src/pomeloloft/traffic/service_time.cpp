#include "pomeloloft/traffic/service_time.hpp"

#include "pomeloloft/traffic/smoothed_time.hpp"

namespace pomeloloft {

void service_time_estimate::add(std::chrono::microseconds sample)
{
    // RFC 6298, section 2.2: the deviation of the first sample is taken to be half of it.
    const auto deviation = this->mean_us == 0 ? sample / 2 : std::chrono::abs(sample - this->mean());
    this->deviation_us = smoothed_micros(this->deviation_us, deviation);
    this->mean_us = smoothed_micros(this->mean_us, sample);
}

std::chrono::microseconds service_time_estimate::upper_bound() const
{
    // Factor K of RFC 6298, section 2.
    constexpr int deviations = 4;
    return std::chrono::microseconds(this->mean_us) +
           deviations * std::chrono::microseconds(this->deviation_us);
}

} // namespace pomeloloft
