#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"

namespace pomeloloft::sidecar {

/// What a node asks a holder for one organisation.
struct quota_ask {
    std::string organisation;
    /// Credits needed.
    std::uint32_t wanted = 0;
    /// Unused credits of the holder that are given back.
    std::uint32_t unused = 0;
};

/// Encodes the asks of a node for all organisations of one holder.
[[nodiscard]] std::string encode_quota_asks(const std::vector<quota_ask>& asks);

/// @return `corrupt` naming the field that is wrong.
[[nodiscard]] result<std::vector<quota_ask>> decode_quota_asks(std::string_view text);

/// Encodes the credits granted for each ask, in the order of the asks.
[[nodiscard]] std::string encode_quota_grants(const std::vector<std::uint32_t>& grants);

/// @return `corrupt` unless the text has `count` grants.
[[nodiscard]] result<std::vector<std::uint32_t>> decode_quota_grants(std::string_view text,
                                                                     std::size_t count);

} // namespace pomeloloft::sidecar
