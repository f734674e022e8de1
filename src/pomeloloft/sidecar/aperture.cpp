#include "pomeloloft/sidecar/aperture.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {

std::vector<std::size_t> aperture_positions(std::size_t sender_position, std::size_t senders,
                                            std::size_t endpoints, std::size_t size)
{
    std::vector<std::size_t> out;
    if (senders == 0 || endpoints == 0) {
        return out;
    }
    const std::size_t first = sender_position * endpoints / senders;
    const std::size_t count = std::min(size, endpoints);
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back((first + i) % endpoints);
    }
    return out;
}

} // namespace pomeloloft::sidecar
