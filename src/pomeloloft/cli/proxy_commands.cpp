#include <csignal>
#include <iostream>

#include <pthread.h>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/cli/command_list.hpp"
#include "pomeloloft/proxy/daemon.hpp"

namespace pomeloloft {

int run_proxy(const argument_list& arguments)
{
    if (is_help_requested(arguments)) {
        std::cout << "usage: pomeloloft proxy [FLAGS]\n\n" << settings_manual();
        return to_int(exit_code::ok);
    }
    const auto settings = read_settings(arguments);
    if (!settings) {
        return fail(exit_code::usage, settings.error());
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    start_logging(settings.value().node);
    const auto daemon = proxy_daemon::start(settings.value());
    if (!daemon) {
        return fail(exit_code::failed, daemon.error());
    }
    int received = 0;
    sigwait(&signals, &received);
    daemon.value()->stop();
    return to_int(exit_code::ok);
}

int run_settings(const argument_list&)
{
    std::cout << settings_manual();
    return to_int(exit_code::ok);
}

} // namespace pomeloloft
