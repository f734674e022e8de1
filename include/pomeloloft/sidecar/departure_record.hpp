#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/sidecar/target.hpp"

namespace pomeloloft::sidecar {

/// Key of the record of a node in the platform's store.
[[nodiscard]] std::string departure_key(const std::string& node);

/// Encodes the starts of targets that have left as JSON, for the platform's store.
/// @param departed newest last; not empty.
[[nodiscard]] std::string encode_departures(const std::deque<instance_key>& departed);

/// The departures that a record does not hold.
[[nodiscard]] std::vector<instance_key> departures_missing(const std::deque<instance_key>& departed,
                                                           const std::deque<instance_key>& recorded);

/// Decodes the starts of targets that have left; nothing if the text is no such record.
[[nodiscard]] std::optional<std::deque<instance_key>> decode_departures(const std::string& text);

} // namespace pomeloloft::sidecar
