#include "pomeloloft/traffic/smoothed_time.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

constexpr std::int64_t smoothing_divisor = 8;
constexpr std::int64_t max_sample_us = 600'000'000;

} // namespace

std::uint32_t smoothed_micros(std::uint32_t average_us, std::chrono::microseconds sample)
{
    const std::int64_t sample_us = std::clamp<std::int64_t>(sample.count(), 1, max_sample_us);
    const std::int64_t previous_us = average_us;
    const std::int64_t next_us =
        previous_us == 0 ? sample_us : previous_us + (sample_us - previous_us) / smoothing_divisor;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(next_us, 1));
}

void smoothed_time::add(std::chrono::microseconds sample)
{
    this->value.store(smoothed_micros(this->micros(), sample), std::memory_order_relaxed);
}

} // namespace pomeloloft
