#include <csignal>
#include <iostream>
#include <string>

#include <pthread.h>
#include <tclap/CmdLine.h>

#include "log_server.hpp"
#include "target_server.hpp"

namespace {

using namespace pomeloloft;
using namespace pomeloloft::stand_ins;

int wait_for_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

void block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int run_log(const std::string& address, long retention_ms)
{
    log_options options;
    options.address = address;
    options.retention = milliseconds(retention_ms);
    const auto log = log_server::start(options);
    if (!log) {
        std::cerr << to_string(log.error()) << "\n";
        return 1;
    }
    wait_for_signal();
    log.value()->stop();
    return 0;
}

int run_target(const target_options& options)
{
    const auto target = target_server::start(options);
    if (!target) {
        std::cerr << to_string(target.error()) << "\n";
        return 1;
    }
    wait_for_signal();
    target.value()->withdraw_and_stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    block_signals();
    TCLAP::CmdLine command_line("Runs a stand-in for a log or a target, for tests and demos.", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> kind("what", "which stand-in to run: log or target", true, "",
                                               "what", command_line);
    TCLAP::ValueArg<std::string> address("", "address", "address to listen on", false, "127.0.0.1:0",
                                         "host:port", command_line);
    TCLAP::ValueArg<std::string> service("", "service", "service that the target belongs to", false, "",
                                         "name", command_line);
    TCLAP::ValueArg<std::string> local("", "local",
                                       "local listener of the proxy that the target announces itself to",
                                       false, "", "host:port", command_line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "concurrent requests the target accepts", false, 10, "n",
                                    command_line);
    TCLAP::ValueArg<long> service_time("", "work-ms", "execution time of a request", false, 0, "ms",
                                       command_line);
    TCLAP::ValueArg<long> retention("", "retention-ms", "age at which the log's records expire", false,
                                    86'400'000, "ms", command_line);
    command_line.parse(argc, argv);
    if (kind.getValue() == "log") {
        return run_log(address.getValue(), retention.getValue());
    }
    target_options options;
    options.address = address.getValue();
    options.service = service.getValue();
    options.proxy_local_address = local.getValue();
    options.slots = slots.getValue();
    options.service_time = milliseconds(service_time.getValue());
    return run_target(options);
}
