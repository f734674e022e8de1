#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

using timer = asio::basic_waitable_timer<steady_clock, asio::wait_traits<steady_clock>, executor>;

/// Suspends the task for `duration`; returns early when the task is cancelled.
[[nodiscard]] task<void> sleep_for(milliseconds duration);

} // namespace pomeloloft::net
