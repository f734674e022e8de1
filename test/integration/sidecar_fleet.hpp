#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet.hpp"
#include "platform_store.hpp"
#include "platform_target.hpp"
#include "pomeloloft/net/client.hpp"
#include "pomeloloft/sidecar/settings.hpp"

namespace pomeloloft::testing {

/// A request of a test caller.
struct caller_request {
    std::string method = "GET";
    std::string path = "/read/1";
    std::string id;
    std::string body;
    /// Further headers, as name and value.
    std::vector<std::pair<std::string, std::string>> headers;
    /// Sent as the request's deadline header.
    milliseconds time_left{1000};
};

/// A read of an idempotent route.
[[nodiscard]] caller_request read_request(const std::string& id);

/// The response to a caller, or how the exchange failed.
struct caller_response {
    net::exchange_end end = net::exchange_end::lost;
    /// 0 unless `end` is `answered`.
    int status = 0;
    std::string body;
    std::string retry_after;
    milliseconds elapsed{0};
    /// The head of the response.
    net::http::response_header<> head;

    /// Value of a header; empty if the response has none of that name.
    [[nodiscard]] std::string header(const std::string& name) const { return this->head[name]; }
};

/// One sidecar process and its target.
struct sidecar_node {
    /// The service of the settings is that of the target.
    sidecar::settings node_settings;
    std::unique_ptr<platform_target> target;
    std::unique_ptr<child_process> process;
    std::uint64_t heartbeat_sequence = 0;
    std::int64_t target_started_at_ms = 1;
    std::string target_version = "v1";
    std::uint32_t target_slots = 4;
};

/// A fleet of sidecar processes. Targets, callers and the platform's store run on one event loop of the test
/// process.
class sidecar_fleet {
public:
    /// Starts sidecars with targets of the service `register` and waits until all are ready.
    /// @param settings_lines lines added to the settings file of each sidecar.
    explicit sidecar_fleet(std::size_t size, std::string settings_lines = {});
    /// Starts a sidecar with a target for each of the services.
    /// @param reporting number of nodes whose targets report at once; the others' targets do so later.
    explicit sidecar_fleet(const std::vector<std::string>& services, std::string settings_lines = {},
                           std::size_t reporting = std::numeric_limits<std::size_t>::max());
    ~sidecar_fleet();
    sidecar_fleet(const sidecar_fleet&) = delete;
    sidecar_fleet& operator=(const sidecar_fleet&) = delete;

    /// Publishes a configuration with the routes `/read/` (idempotent) and `/write/` (not idempotent).
    /// @param extra_routes JSON of further routes, each with a leading comma.
    /// @param extra_fields JSON of further fields of the document, each with a leading comma.
    void configure(std::uint64_t version, const std::string& extra_routes = {},
                   const std::string& extra_fields = {});

    /// Runs the event loop until a condition holds or `limit` has passed.
    /// @return whether the condition held in time.
    bool run_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(5000));

    /// Runs the event loop for a duration.
    void run_for(milliseconds duration);

    /// Sends a request to a sidecar's outbound listener and waits for the response.
    caller_response call(std::size_t node, caller_request request);

    /// Sends requests concurrently, each on its own connection, and waits for all responses.
    std::vector<caller_response> call_all(std::size_t node, const std::vector<caller_request>& requests);

    /// Sends a heartbeat of a node's target.
    /// @return the response status; 0 without a response.
    int heartbeat(std::size_t node, const std::string& state = "ready");

    /// Posts an arbitrary body to a node's control listener.
    /// @return the response status; 0 without a response.
    int post_control(std::size_t node, const std::string& path, const std::string& body);

    /// Returns the metrics of a node's sidecar; empty without a response.
    std::string metrics(std::size_t node);

    /// Sends a fence request, as a peer does, that prevents an attempt from running at a node.
    /// @param process node name and incarnation to which the request is addressed.
    /// @return the response status; 0 without a response.
    int fence(std::size_t node, const std::string& process);

    /// Returns the response status of a node's readiness check; 0 without a response.
    int readiness(std::size_t node);

    /// Starts a node's sidecar. It must not be running.
    void start(std::size_t node);

    /// Path of a node's settings file; its log is beside it.
    [[nodiscard]] std::string settings_path(std::size_t node) const;

    /// Appends lines to a node's settings file.
    void append_settings(std::size_t node, const std::string& lines) const;

    /// Returns the log output of a node's sidecar.
    [[nodiscard]] std::string log_of(std::size_t node) const;

    net::event_loop loop;
    platform_store store;
    std::vector<sidecar_node> nodes;

private:
    int status_of(const std::string& address, net::request sent);
    net::response response_of(const std::string& address, net::request sent);

    std::string directory;
    std::string added_settings;
};

} // namespace pomeloloft::testing
