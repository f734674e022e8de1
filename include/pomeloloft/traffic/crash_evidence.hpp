#pragma once

#include <cstdint>
#include <mutex>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/traffic/recent_set.hpp"

namespace pomeloloft {

/// Whether a response shows that its request does not crash targets: only a success does, as a target can
/// answer with an error without having run the request.
/// @param status HTTP status of a complete response.
[[nodiscard]] bool shows_survival(int status);

/// Requests that a target has run to a successful end in its present life, that is, since it last crashed.
/// A crash does not count against them. Bounded in age and size like `recent_set`. Thread-safe.
class survived_requests {
public:
    /// @param life number of crashes of the target before its present life; the requests of an earlier life
    /// are forgotten.
    void add(std::uint64_t fingerprint, std::uint64_t life, time_point now);

    /// Whether the target has run a request to a successful end in a life.
    [[nodiscard]] bool contains(std::uint64_t fingerprint, std::uint64_t life, time_point now) const;

private:
    mutable std::mutex mutex;
    std::uint64_t current_life = 0;
    recent_set requests;
};

} // namespace pomeloloft
