#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {

task<void> sleep_for(milliseconds duration)
{
    timer delay(co_await asio::this_coro::executor, duration);
    co_await delay.async_wait(use_task);
}

} // namespace pomeloloft::net
