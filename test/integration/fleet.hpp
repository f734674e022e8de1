#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "http_client.hpp"
#include "log_server.hpp"
#include "pomeloloft/base/clock.hpp"
#include "target_server.hpp"

namespace pomeloloft::testing {

/// The time within which a change is to be in force everywhere, from the stated target.
inline constexpr milliseconds convergence_limit{3000};

/// Time for a fleet to start on a busy machine.
inline constexpr milliseconds startup_timeout{15'000};

/// Waits until a condition holds.
/// @return whether it held before the time was over.
bool wait_until(milliseconds limit, const std::function<bool()>& condition);

/// A process started by a test; ended with it.
class child_process {
public:
    child_process(const std::string& binary, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Sends a signal.
    void signal(int number) const;

    /// Kills the process and waits for its end.
    void kill();

    /// Asks the process to stop and waits for its end.
    /// @return its exit code, or nothing when it did not end in time.
    std::optional<int> terminate(milliseconds limit);

    /// Whether the process runs.
    [[nodiscard]] bool running();

    /// Its process id.
    [[nodiscard]] int id() const;

private:
    struct parts;
    std::unique_ptr<parts> self;
};

/// Where one proxy of a test listens.
struct node_addresses {
    std::string callers;
    std::string internal;
    std::string operators;
    std::string local;
    std::string peer;
    std::string control;
};

/// How one node of a test fleet is set up.
struct node_options {
    std::string name;
    std::string data_centre = "celje-1";
    /// Service of the target beside; empty for none.
    std::string service;
    stand_ins::target_options target;
    std::vector<std::string> extra_flags;
    /// Put fault proxies before the peer and control listeners and before the log.
    bool with_fault_proxies = false;
};

/// One node: a proxy process and, if it has one, the target beside it.
class node {
public:
    node(node_options setup, std::string log_address);

    /// Starts the proxy process.
    void start();

    /// Starts the target.
    void start_target();

    node_options options;
    node_addresses at;
    std::string log_address;
    std::unique_ptr<child_process> process;
    std::unique_ptr<stand_ins::target_server> target;
    /// Before the listeners, when asked for.
    std::unique_ptr<stand_ins::fault_proxy> peer_faults;
    std::unique_ptr<stand_ins::fault_proxy> control_faults;
    std::unique_ptr<stand_ins::fault_proxy> log_faults;

    /// The version in force; -1 when the proxy does not answer.
    [[nodiscard]] std::int64_t version() const;

    /// Whether the proxy takes requests.
    [[nodiscard]] bool ready() const;
};

/// What a command printed and its exit code.
struct command_result {
    int exit_code = -1;
    std::string output;
};

/// A fleet over one log stand-in.
class fleet {
public:
    explicit fleet(const stand_ins::log_options& log_setup = {});

    /// Adds a node and starts its proxy and target.
    node& add(node_options setup);

    /// Waits until every running proxy is ready.
    [[nodiscard]] bool wait_until_ready(milliseconds limit);

    /// Waits until every running proxy has at least this version in force.
    [[nodiscard]] bool wait_for_version(std::int64_t version, milliseconds limit);

    /// Waits until a proxy knows this many serving endpoints of any service.
    [[nodiscard]] bool wait_for_endpoints(const node& asked, std::size_t count, milliseconds limit);

    /// Runs the command line against a proxy.
    [[nodiscard]] command_result run(const std::vector<std::string>& arguments) const;

    /// Submits declarations as the next version.
    [[nodiscard]] command_result apply(const node& through, const std::string& file) const;

    /// Waits until all are ready, submits the first declarations and waits until they are in force
    /// everywhere. Prints what went wrong.
    [[nodiscard]] bool bring_up(const node& through, const std::string& file);

    /// Submits a patch with the given base and operations.
    [[nodiscard]] client_response submit(const node& through, const std::string& id, std::uint64_t base,
                                         const std::string& operations) const;

    std::unique_ptr<stand_ins::log_server> log;
    std::string log_address;
    std::vector<std::unique_ptr<node>> nodes;
};

/// A free loopback port.
[[nodiscard]] std::uint16_t free_port();

/// Path of an example's declarations.
[[nodiscard]] std::string example_path(const std::string& name);

/// The seed of this run, printed once: from POMELOLOFT_SEED, else fixed.
[[nodiscard]] std::uint64_t test_seed();

} // namespace pomeloloft::testing
