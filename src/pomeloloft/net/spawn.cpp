#include "pomeloloft/net/spawn.hpp"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {

namespace {

constexpr milliseconds restart_pause{500};

void log_failure(const char* name, const std::exception& failure)
{
    log_warning("task-failed", {{"task", name}, {"reason", failure.what()}});
}

task<void> run_until_completed(std::function<task<void>()> start, const char* name)
{
    bool completed = false;
    while (!completed) {
        try {
            co_await start();
            completed = true;
        } catch (const std::exception& failure) {
            log_failure(name, failure);
        }
        if (!completed) {
            co_await sleep_for(restart_pause);
        }
    }
}

} // namespace

void spawn(event_loop& loop, task<void> work, const char* name)
{
    asio::co_spawn(loop, std::move(work), [name](std::exception_ptr failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& e) {
            log_failure(name, e);
        }
    });
}

void keep_running(event_loop& loop, std::function<task<void>()> start, const char* name)
{
    spawn(loop, run_until_completed(std::move(start), name), name);
}

} // namespace pomeloloft::net
