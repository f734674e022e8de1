#pragma once

#include <memory>

#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/settings.hpp"

namespace pomeloloft::sidecar {

/// Gives the listeners for callers and for other sidecars one account of what the memory and the descriptors
/// of the VM allow. Readiness checks and reports of the target come from this VM only; they are not counted,
/// so that they are answered also while the account is exhausted.
[[nodiscard]] std::shared_ptr<net::client_account> limit_clients(net::event_loop& loop,
                                                                 const settings& local_settings,
                                                                 net::server& outbound, net::server& inbound);

} // namespace pomeloloft::sidecar
