#include "pomeloloft/traffic/smoothed_time.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

constexpr std::int64_t smoothing_divisor = 8;
constexpr std::int64_t max_sample_us = 600'000'000;

} // namespace

void smoothed_time::add(std::chrono::microseconds sample)
{
    const std::int64_t sample_us = std::clamp<std::int64_t>(sample.count(), 1, max_sample_us);
    const std::int64_t average_us = this->micros();
    const std::int64_t next_average_us =
        average_us == 0 ? sample_us : average_us + (sample_us - average_us) / smoothing_divisor;
    this->value.store(static_cast<std::uint32_t>(std::max<std::int64_t>(next_average_us, 1)),
                      std::memory_order_relaxed);
}

} // namespace pomeloloft
