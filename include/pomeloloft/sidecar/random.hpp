#pragma once

#include <cstdint>

namespace pomeloloft::sidecar {

/// Returns 64 independent random bits.
[[nodiscard]] std::uint64_t random_draw();

} // namespace pomeloloft::sidecar
