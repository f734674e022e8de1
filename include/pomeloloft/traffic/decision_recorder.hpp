#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

#include "pomeloloft/traffic/decision_trace.hpp"

namespace pomeloloft {

/// Ring buffer of the newest decisions of the request path, for later replay. Thread-safe.
class decision_recorder {
public:
    /// @param max_decisions number of decisions to keep; 0 disables recording.
    explicit decision_recorder(std::size_t max_decisions) : capacity(max_decisions) {}

    /// Whether recording is enabled. Callers check it before they build a record.
    [[nodiscard]] bool enabled() const { return this->capacity > 0; }

    /// Adds a decision, and drops the oldest one if the capacity is exceeded.
    void add(decision added);

    /// Returns the recorded decisions, oldest first.
    [[nodiscard]] std::vector<decision> recorded_decisions() const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<decision> decisions;
};

} // namespace pomeloloft
