#pragma once

#include <deque>
#include <optional>
#include <string>

#include "pomeloloft/sidecar/target.hpp"

namespace pomeloloft::sidecar {

/// Key of the record of a node in the platform's store.
[[nodiscard]] std::string departure_key(const std::string& node);

/// The same moment by two clocks. A record outlives the steady clock of a process.
struct clock_reading {
    time_point now;
    /// Unix milliseconds.
    std::int64_t wall_ms = 0;
};

/// Encodes the departures of a node's targets as JSON, for the platform's store.
/// @param departed newest last; not empty.
[[nodiscard]] std::string encode_departures(const std::deque<departure>& departed,
                                            const clock_reading& clock);

/// Whether a record holds a departure.
[[nodiscard]] bool holds_departure(const std::deque<departure>& recorded, const departure& left);

/// Decodes the departures of a record; nothing if the text is no such record.
[[nodiscard]] std::optional<std::deque<departure>> decode_departures(const std::string& text,
                                                                     const clock_reading& clock);

} // namespace pomeloloft::sidecar
