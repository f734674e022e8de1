#pragma once

#include <functional>

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Starts a task on the event loop without waiting for it. An exception that ends the task is logged.
/// @param name name of the task in the log.
void spawn(event_loop& loop, task<void> work, const char* name);

/// Starts a task that the process depends on while it runs. If an exception ends the task, that is logged and
/// the task is started again after a pause.
/// @param name name of the task in the log.
void keep_running(event_loop& loop, std::function<task<void>()> start, const char* name);

} // namespace pomeloloft::net
