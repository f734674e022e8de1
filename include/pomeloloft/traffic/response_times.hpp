#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace pomeloloft {

/// Distribution of the response times of a service over its last responses. Not synchronised.
class response_times {
public:
    /// @param window number of responses after which older ones are forgotten; between one and two windows
    /// are kept.
    explicit response_times(std::uint32_t window);
    ~response_times();
    response_times(response_times&& other) noexcept;
    response_times& operator=(response_times&& other) noexcept;

    /// Adds the time that one response took.
    void add(std::chrono::microseconds sample);

    /// Time within which a share of the responses arrived, to about an eighth; nothing before the first
    /// window is full.
    [[nodiscard]] std::optional<std::chrono::microseconds> quantile(double share) const;

private:
    struct windows;
    std::unique_ptr<windows> kept;
};

} // namespace pomeloloft
