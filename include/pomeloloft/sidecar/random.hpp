#pragma once

#include <cstdint>

namespace pomeloloft::sidecar {

/// An independent draw of 64 random bits.
[[nodiscard]] std::uint64_t random_draw();

} // namespace pomeloloft::sidecar
