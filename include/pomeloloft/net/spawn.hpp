#pragma once

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Starts a task on the event loop without waiting for it. An exception that ends the task is logged.
/// @param name name of the task in the log.
void spawn(event_loop& loop, task<void> work, const char* name);

} // namespace pomeloloft::net
