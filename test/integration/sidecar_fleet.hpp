#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet.hpp"
#include "platform_store.hpp"
#include "platform_target.hpp"
#include "pomeloloft/net/client.hpp"
#include "pomeloloft/sidecar/settings.hpp"

namespace pomeloloft::testing {

/// A request of a caller.
struct caller_request {
    std::string method = "GET";
    std::string path = "/read/1";
    std::string id;
    std::string body;
    milliseconds time_left{1000};
};

/// What a caller got.
struct caller_answer {
    net::exchange_end end = net::exchange_end::lost;
    int status = 0;
    std::string body;
    std::string retry_after;
    milliseconds took{0};
};

/// One sidecar with the target beside it.
struct sidecar_node {
    sidecar::settings own;
    std::unique_ptr<platform_target> target;
    std::unique_ptr<child_process> process;
    std::uint64_t heartbeats = 0;
    std::int64_t target_started_at_ms = 1;
};

/// Sidecars as processes; targets, callers and the platform's store on one event loop of this process.
class sidecar_fleet {
public:
    /// Starts sidecars for targets of `register` and waits until each serves.
    explicit sidecar_fleet(std::size_t size);
    ~sidecar_fleet();
    sidecar_fleet(const sidecar_fleet&) = delete;
    sidecar_fleet& operator=(const sidecar_fleet&) = delete;

    /// Publishes a configuration with `/read/` (repeatable) and `/write/` (not), and `more` routes.
    void configure(std::uint64_t version, const std::string& more = {});

    /// Runs the event loop until the condition holds.
    /// @return whether it came to hold in time.
    bool run_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(5000));

    /// Runs the event loop for a while.
    void run_for(milliseconds duration);

    /// Sends a request to a sidecar's outbound listener and waits for the answer.
    caller_answer call(std::size_t node, caller_request request);

    /// Sends requests together, one a connection.
    std::vector<caller_answer> call_all(std::size_t node, const std::vector<caller_request>& requests);

    /// Sends a heartbeat of a node's target.
    /// @return the status of the answer.
    int heartbeat(std::size_t node, const std::string& state = "ready");

    /// Sends any body to a node's control listener.
    int post_control(std::size_t node, const std::string& path, const std::string& body);

    /// Asks a node's sidecar, as another would, to forbid an attempt.
    /// @param process the process that is meant.
    int fence(std::size_t node, const std::string& process);

    /// The status of a node's readiness check.
    int readiness(std::size_t node);

    /// Starts a node's sidecar, which must not run.
    void start(std::size_t node);

    /// Adds lines to a node's settings file.
    void append_settings(std::size_t node, const std::string& lines) const;

    /// What a node's sidecars have logged.
    [[nodiscard]] std::string log_of(std::size_t node) const;

    net::event_loop loop;
    platform_store store;
    std::vector<sidecar_node> nodes;

private:
    int status_of(const std::string& address, net::request sent);

    std::string directory;
};

} // namespace pomeloloft::testing
