#pragma once

#include <string>

#include "pomeloloft/http/connection_pool.hpp"

namespace pomeloloft {

/// Checks after a lost connection whether the process of a target still runs, by whether it accepts and keeps
/// a connection. A process that is ending may still accept connections for a short time; they end with it,
/// and the next one is refused.
[[nodiscard]] bool is_target_running(const connection_pool& connections, const std::string& address);

} // namespace pomeloloft
