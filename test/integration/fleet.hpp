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

/// Required maximum time until a configuration change is active on every proxy.
inline constexpr milliseconds convergence_limit{3000};

/// Timeout for the start of a fleet on a busy machine.
inline constexpr milliseconds startup_timeout{15'000};

/// Polls a condition until it holds or `limit` has passed.
/// @return whether the condition held in time.
bool wait_until(milliseconds limit, const std::function<bool()>& condition);

/// A child process of a test; killed on destruction.
class child_process {
public:
    child_process(const std::string& binary, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// Sends a signal to the process.
    void signal(int number) const;

    /// Kills the process (SIGKILL) and waits until it has exited.
    void kill();

    /// Sends SIGTERM and waits until the process has exited.
    /// @return its exit code, or nothing if it is still running after `limit`.
    std::optional<int> terminate(milliseconds limit);

    /// Whether the process is running.
    [[nodiscard]] bool running();

    /// The process id.
    [[nodiscard]] int id() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

/// Listener addresses of one proxy (`host:port`).
struct node_addresses {
    std::string callers;
    std::string internal;
    std::string operators;
    std::string local;
    std::string peer;
    std::string control;
};

/// Options of one node of a test fleet.
struct node_options {
    std::string name;
    std::string data_centre = "celje-1";
    /// Service of the node's target; empty for a node without a target.
    std::string service;
    stand_ins::target_options target;
    std::vector<std::string> extra_flags;
    /// Insert fault proxies in front of the peer and control listeners and of the log.
    bool with_fault_proxies = false;
};

/// One node: a proxy process and optionally a target.
class node {
public:
    node(node_options setup, std::string log_address);

    /// Starts the proxy process with the node's options.
    void start();

    /// Starts the target, which announces itself to the proxy.
    void start_target();

    node_options options;
    node_addresses at;
    std::string log_address;
    std::unique_ptr<child_process> process;
    std::unique_ptr<stand_ins::target_server> target;
    /// Set if `node_options::with_fault_proxies` is set.
    std::unique_ptr<stand_ins::fault_proxy> peer_faults;
    std::unique_ptr<stand_ins::fault_proxy> control_faults;
    std::unique_ptr<stand_ins::fault_proxy> log_faults;

    /// The active configuration version; -1 if the proxy does not respond.
    [[nodiscard]] std::int64_t version() const;

    /// Whether the proxy's readiness check succeeds.
    [[nodiscard]] bool ready() const;
};

/// Exit code and output of a command.
struct command_result {
    int exit_code = -1;
    std::string output;
};

/// A fleet of nodes that share one log stand-in.
class fleet {
public:
    explicit fleet(const stand_ins::log_options& log_setup = {});

    /// Adds a node and starts its proxy and target.
    node& add(node_options setup);

    /// Waits until every running proxy is ready.
    [[nodiscard]] bool wait_until_ready(milliseconds limit);

    /// Waits until the active version of every running proxy is `version` or later.
    [[nodiscard]] bool wait_for_version(std::int64_t version, milliseconds limit);

    /// Waits until `observer` lists exactly `count` serving endpoints over all services.
    [[nodiscard]] bool wait_for_endpoints(const node& observer, std::size_t count, milliseconds limit);

    /// Runs a pomeloloft command and waits until it has exited.
    [[nodiscard]] command_result run(const std::vector<std::string>& arguments) const;

    /// Applies a file of declarations as the next version.
    [[nodiscard]] command_result apply(const node& entry_proxy, const std::string& file) const;

    /// Waits until all proxies are ready, applies the first declarations and waits until they are active on
    /// every proxy. Prints the error on failure.
    [[nodiscard]] bool bring_up(const node& entry_proxy, const std::string& file);

    /// Submits a patch against version `base`.
    /// @param operations JSON list of RFC 6902 operations.
    [[nodiscard]] client_response submit(const node& entry_proxy, const std::string& id, std::uint64_t base,
                                         const std::string& operations) const;

    std::unique_ptr<stand_ins::log_server> log;
    std::string log_address;
    std::vector<std::unique_ptr<node>> nodes;
};

/// Returns a loopback port that is free at the time of the call.
[[nodiscard]] std::uint16_t free_port();

/// Returns the path of an example's declarations.
[[nodiscard]] std::string example_path(const std::string& name);

/// Returns the random seed of this run: POMELOLOFT_SEED if set, otherwise a constant. Prints it once.
[[nodiscard]] std::uint64_t test_seed();

} // namespace pomeloloft::testing
