#pragma once

#include <string>

#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// The sidecar's metrics in the Prometheus text format.
[[nodiscard]] std::string metrics_text(const sidecar_state& state, const target_gate& gate);

} // namespace pomeloloft::sidecar
