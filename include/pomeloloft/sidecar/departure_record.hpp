#pragma once

#include <optional>
#include <string>

#include "pomeloloft/sidecar/target.hpp"

namespace pomeloloft::sidecar {

/// Key of the record of a node in the platform's store.
[[nodiscard]] std::string departure_key(const std::string& node);

/// Encodes the start of a target that has left as JSON, for the platform's store.
[[nodiscard]] std::string encode_departure(const instance_key& departure);

/// Decodes the start of a target that has left; nothing if the text is no such record.
[[nodiscard]] std::optional<instance_key> decode_departure(const std::string& text);

} // namespace pomeloloft::sidecar
