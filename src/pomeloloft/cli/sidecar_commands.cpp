#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <malloc.h>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "platform/config_document.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"
#include "platform/target_api.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/cli/command_list.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/daemon.hpp"

namespace pomeloloft {
namespace {

constexpr const char* usage = "usage: pomeloloft sidecar [SETTINGS-FILE]\n\n"
                              "Runs the sidecar of a target on the platform. Without an argument,\n"
                              "POMELOLOFT_CONFIG names the settings file.\n";

/// Blocks of at least this size are returned to the system when they are freed.
constexpr int mmap_threshold_bytes = 128 << 10;

using signal_set = net::asio::basic_signal_set<net::executor>;

/// Reloads the settings file. The current settings are kept if the file is invalid.
void reload(sidecar::sidecar_daemon& daemon, const std::string& path)
{
    const auto next = platform::read_settings_file(path);
    if (!next) {
        log_warning("reload-failed", {{"reason", to_string(next.error())}});
        return;
    }
    daemon.reload(next.value().sidecar);
}

/// Polls the settings file and reloads it when it has changed without a SIGHUP.
net::task<void> watch_settings(sidecar::sidecar_daemon& daemon, std::string path)
{
    constexpr milliseconds interval{2000};
    std::error_code failed;
    auto previous_write = std::filesystem::last_write_time(path, failed);
    for (;;) {
        co_await net::sleep_for(interval);
        const auto last_write = std::filesystem::last_write_time(path, failed);
        if (!failed && last_write != previous_write) {
            previous_write = last_write;
            reload(daemon, path);
        }
    }
}

/// Holds back the signals that the sidecar handles. Their default action, until handlers are installed, ends
/// the process.
class held_signals {
public:
    held_signals()
    {
        sigset_t held;
        sigemptyset(&held);
        for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
            sigaddset(&held, number);
        }
        pthread_sigmask(SIG_BLOCK, &held, &this->previous);
    }
    held_signals(const held_signals&) = delete;
    held_signals& operator=(const held_signals&) = delete;
    ~held_signals() { this->deliver(); }

    /// Delivers the signals that have arrived.
    void deliver() const { pthread_sigmask(SIG_SETMASK, &this->previous, nullptr); }

private:
    sigset_t previous{};
};

void wait_for_signal(signal_set& signals, sidecar::sidecar_daemon& daemon, const std::string& path)
{
    signals.async_wait([&signals, &daemon, &path](const net::error_code& failed, int number) {
        if (failed) {
            return;
        }
        if (number == SIGHUP) {
            reload(daemon, path);
        } else {
            daemon.stop();
        }
        wait_for_signal(signals, daemon, path);
    });
}

std::string settings_path(const argument_list& arguments)
{
    if (!arguments.empty()) {
        return arguments.front();
    }
    const char* path = std::getenv(platform::settings_path_variable); // NOLINT(concurrency-mt-unsafe)
    return path != nullptr ? path : "";
}

} // namespace

int run_sidecar(const argument_list& arguments)
{
    const held_signals held;
    if (is_help_requested(arguments)) {
        std::cout << usage;
        return to_int(exit_code::ok);
    }
    const std::string path = settings_path(arguments);
    const auto settings = platform::read_settings_file(path);
    if (!settings) {
        return fail(exit_code::usage, settings.error());
    }
    const sidecar::settings& own = settings.value().sidecar;
    std::signal(SIGPIPE, SIG_IGN);
    // By default the allocator raises this threshold to the largest block that was freed, and then keeps the
    // memory of bodies.
    ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes); // NOLINT(concurrency-mt-unsafe)
    start_logging(own.node);
    net::event_loop loop(1);
    auto store = platform::store_client::open(loop, own.node, settings.value().store_address);
    if (!store) {
        return fail(exit_code::usage, store.error());
    }
    sidecar::sidecar_daemon daemon(loop, own, std::move(store.value()), platform::decode_config);
    const auto started = daemon.start(platform::control_handler(daemon), platform::ready_handler(daemon));
    if (!started) {
        return fail(exit_code::failed, started.error());
    }
    signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    wait_for_signal(signals, daemon, path);
    held.deliver();
    net::spawn(loop, watch_settings(daemon, path), "watch-settings");
    log_info("started", {{"service", own.service}, {"data_centre", own.data_centre}});
    loop.run();
    // Requests that were still in progress when the grace period ended are suspended. Their coroutines use
    // the daemon and the loop, so neither may be destroyed before them; `quick_exit` destroys nothing.
    std::cout.flush();
    std::quick_exit(to_int(exit_code::ok));
}

} // namespace pomeloloft
