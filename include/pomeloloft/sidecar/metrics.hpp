#pragma once

#include <string>

#include "pomeloloft/net/client_account.hpp"
#include "pomeloloft/net/pipelining.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/rollout_controller.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// The sidecar's metrics in the Prometheus text format.
/// @param clients null before the listeners are open.
/// @param sent_ahead counts of the listener for callers.
/// @param rollouts null where there are no roll-outs.
[[nodiscard]] std::string metrics_text(const sidecar_state& state, const target_gate& gate,
                                       const net::client_account* clients,
                                       const net::pipelining_counters& sent_ahead,
                                       const rollout_counters* rollouts);

} // namespace pomeloloft::sidecar
