#define BOOST_TEST_MODULE startup_signals
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

#include "sidecar_fleet.hpp"

namespace pomeloloft::testing {
namespace {

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Starts a sidecar that reads its settings from a named pipe, sends it a signal while it reads, and lets it
/// read on. At the path of the pipe there is then a file with the same settings.
void start_with_signal(sidecar_fleet& fleet, int signal)
{
    const std::string path = fleet.settings_path(0);
    const std::string settings = read_file(path);
    const std::string copy = path + ".copy";
    std::filesystem::rename(path, copy);
    BOOST_REQUIRE(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
    fleet.nodes[0].process = std::make_unique<child_process>(
        POMELOLOFT_BINARY, std::vector<std::string>{"sidecar", path}, path + ".log");
    int pipe = -1;
    // Opening fails until the sidecar has opened the pipe.
    BOOST_REQUIRE(fleet.run_until([&] {
        pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return pipe >= 0;
    }));
    std::filesystem::rename(copy, path);
    fleet.nodes[0].process->signal(signal);
    const bool written =
        ::write(pipe, settings.data(), settings.size()) == static_cast<ssize_t>(settings.size());
    ::close(pipe);
    BOOST_TEST(written);
}

} // namespace

// Guards against the default action of signals that arrive before their handlers are installed.
BOOST_AUTO_TEST_CASE(a_sidecar_that_receives_sighup_while_it_starts_reloads_and_runs_on)
{
    sidecar_fleet fleet(1);
    start_with_signal(fleet, SIGHUP);
    BOOST_TEST(fleet.run_until([&] { return fleet.readiness(0) == 200; }));
    BOOST_TEST(fleet.nodes[0].process->running());
    BOOST_TEST(read_file(fleet.settings_path(0) + ".log").find("settings-reloaded") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_sidecar_that_receives_sigterm_while_it_starts_ends_as_planned)
{
    sidecar_fleet fleet(1);
    start_with_signal(fleet, SIGTERM);
    BOOST_TEST(fleet.run_until([&] { return !fleet.nodes[0].process->running(); }));
    BOOST_TEST(read_file(fleet.settings_path(0) + ".log").find("event=stopped") != std::string::npos);
}

} // namespace pomeloloft::testing
