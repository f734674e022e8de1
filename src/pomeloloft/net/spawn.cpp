#include "pomeloloft/net/spawn.hpp"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft::net {

void spawn(event_loop& loop, task<void> work, const char* name)
{
    asio::co_spawn(loop, std::move(work), [name](std::exception_ptr failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& e) {
            log_warning("task-failed", {{"task", name}, {"reason", e.what()}});
        }
    });
}

} // namespace pomeloloft::net
