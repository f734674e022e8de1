#pragma once

#include <string>

#include "pomeloloft/sidecar/board.hpp"
#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {

/// The sidecar's metrics in the Prometheus text format.
[[nodiscard]] std::string metrics_text(const board& b, const target_gate& gate);

} // namespace pomeloloft::sidecar
