#pragma once

#include <chrono>
#include <cstdint>

namespace pomeloloft {

/// Smoothed service time of a target and its mean deviation, in the manner of RFC 6298 with a weight of 1/8
/// for each sample. Not synchronised.
class service_time_estimate {
public:
    /// Adds the duration of a run.
    void add(std::chrono::microseconds sample);

    /// Smoothed duration of a run; zero without samples.
    [[nodiscard]] std::chrono::microseconds mean() const { return std::chrono::microseconds(this->mean_us); }

    /// Duration that few runs exceed; zero without samples.
    [[nodiscard]] std::chrono::microseconds upper_bound() const;

private:
    std::uint32_t mean_us = 0;
    std::uint32_t deviation_us = 0;
};

} // namespace pomeloloft
