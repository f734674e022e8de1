#pragma once

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Runs a task on the loop by itself; an exception that ends it is logged.
/// @param name names the task in the log.
void spawn(event_loop& loop, task<void> work, const char* name);

} // namespace pomeloloft::net
