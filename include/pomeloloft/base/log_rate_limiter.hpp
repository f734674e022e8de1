#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// Bounds how many log lines of one kind are written: a token bucket that counts what it holds back. The
/// first line of each second always passes. Not synchronised.
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::uint32_t lines_per_second = 5) : per_second(lines_per_second) {}

    /// Whether a line may be written now.
    [[nodiscard]] bool try_acquire(time_point now)
    {
        if (now >= this->refill_at) {
            this->refill_at = now + std::chrono::seconds(1);
            this->left = std::max(this->per_second, 1U);
        }
        if (this->left == 0) {
            ++this->suppressed;
            return false;
        }
        --this->left;
        return true;
    }

    /// Lines held back since the last call.
    [[nodiscard]] std::uint64_t take_suppressed() { return std::exchange(this->suppressed, 0); }

private:
    std::uint32_t per_second;
    std::uint32_t left = 0;
    std::uint64_t suppressed = 0;
    time_point refill_at;
};

} // namespace pomeloloft
