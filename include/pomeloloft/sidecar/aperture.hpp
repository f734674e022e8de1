#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pomeloloft::sidecar {

/// Endpoints of its data centre that a sender prefers: few enough that it hears of each one's load often.
inline constexpr std::size_t aperture_size = 5;

/// Positions of the endpoints that a sender prefers among those of its data centre. Senders at successive
/// positions take successive ranges, so that each endpoint is preferred by about as many senders as any
/// other.
/// @param sender_position position of the sender among the `senders` of its data centre.
/// @param size endpoints that each sender prefers; all if there are fewer.
[[nodiscard]] std::vector<std::size_t> aperture_positions(std::size_t sender_position, std::size_t senders,
                                                          std::size_t endpoints, std::size_t size);

} // namespace pomeloloft::sidecar
