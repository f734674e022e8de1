#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// Limits how many log lines of one kind are written per second, and counts the suppressed ones. The first
/// line of each second is always written. Not thread-safe.
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::uint32_t lines_per_second = 5) : max_per_second(lines_per_second) {}

    /// Whether a line may be written at `now`; counts the line as suppressed if not.
    [[nodiscard]] bool try_acquire(time_point now)
    {
        if (now >= this->refill_at) {
            this->refill_at = now + std::chrono::seconds(1);
            this->remaining_lines = std::max(this->max_per_second, 1U);
        }
        if (this->remaining_lines == 0) {
            ++this->suppressed;
            return false;
        }
        --this->remaining_lines;
        return true;
    }

    /// Number of lines suppressed since the last call.
    [[nodiscard]] std::uint64_t take_suppressed() { return std::exchange(this->suppressed, 0); }

private:
    std::uint32_t max_per_second;
    std::uint32_t remaining_lines = 0;
    std::uint64_t suppressed = 0;
    time_point refill_at;
};

} // namespace pomeloloft
