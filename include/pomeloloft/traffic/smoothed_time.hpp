#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace pomeloloft {

/// Average in microseconds after a further sample, which has a weight of 1/8; an average of 0 has no samples.
[[nodiscard]] std::uint32_t smoothed_micros(std::uint32_t average_us, std::chrono::microseconds sample);

/// Exponentially weighted moving average of a duration, in microseconds; each sample has a weight of 1/8.
/// Thread-safe: of concurrent samples, one may be lost, which is acceptable for an average.
class smoothed_time {
public:
    /// Adds a sample.
    void add(std::chrono::microseconds sample);

    /// Discards all samples.
    void reset() { this->value.store(0, std::memory_order_relaxed); }

    /// Returns the average in microseconds; 0 without samples.
    [[nodiscard]] std::uint32_t micros() const { return this->value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint32_t> value{0};
};

} // namespace pomeloloft
