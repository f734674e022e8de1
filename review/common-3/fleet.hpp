#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace review {

/// Exit statuses of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// The events of a case, with their times, written to a file.
class recorder {
public:
    explicit recorder(const std::string& path) : file(path) {}
    void add(const std::string& line);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// A platform store with the topics and calls that sidecars use. Always sound.
class platform_store {
public:
    platform_store();
    [[nodiscard]] bool start() { return this->server.start(0); }
    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }

    /// Writes a record as the operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value);

private:
    using record = std::pair<std::string, std::string>;

    std::string handle(const message& received);
    std::string append(std::map<std::string, std::string>& query, const std::string& body);
    std::string read(std::map<std::string, std::string>& query);
    std::string newest(std::map<std::string, std::string>& query);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<record>> topics;
    std::map<std::string, std::uint64_t> epochs;
    http_server server;
};

/// An arrival at a target that reached its request handler.
struct arrival {
    double at = 0;
    std::string instance;
    std::string service;
    std::string id;
    std::string path;
    std::string caller_service;
};

/// How a target answers a request that it has begun to run.
struct run_end {
    int status = 200;
    /// The target crashes: its listener and all its connections end.
    bool crashes = false;
};

/// The target of a node: a server that checks `X-Expected-Instance`, as the protocol says.
class target_server {
public:
    target_server(std::uint16_t port, std::string service, std::string instance, recorder& events);

    /// Starts an instance. `born_ms` is the start time that it reports.
    [[nodiscard]] bool start(const std::string& instance, std::int64_t born_ms);
    /// Ends the instance as a crash or an exit does.
    void stop();

    [[nodiscard]] std::string instance() const;
    [[nodiscard]] bool running() const { return this->is_running; }
    [[nodiscard]] std::vector<arrival> arrivals() const;

    /// Body of the next heartbeat of this instance.
    [[nodiscard]] std::string heartbeat_body(const std::string& zone, const std::string& state);
    /// Body of the deregistration of this instance.
    [[nodiscard]] std::string deregistration_body() const;

    /// Whether the target is leaving: its health check then answers 503.
    std::atomic<bool> leaving = false;
    int service_ms = 20;
    /// Decides how a run ends; all end well without it.
    std::function<run_end(const message&)> run;
    /// Called on a thread of its own when a run has ended the target.
    std::function<void()> on_crash;

private:
    std::string handle(const message& received);

    std::uint16_t port;
    std::string service;
    recorder& events;
    mutable std::mutex mutex;
    std::string instance_id;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    std::vector<arrival> seen;
    std::atomic<bool> is_running = false;
    http_server server;
};

/// A sidecar process with its target.
struct node {
    std::string name;
    std::string zone;
    std::string service;
    held_port outbound;
    held_port inbound;
    held_port ready;
    held_port control;
    held_port app;
    std::string settings_path;
    pid_t process = -1;
    std::unique_ptr<target_server> target;
};

/// Settings of a small deployment.
struct deployment {
    /// One node for each of these services.
    std::vector<std::string> services;
    std::string drain_ms = "2500";
    std::string budget_slack = "206";
    int heartbeat_ms = 1500;
};

/// Sidecar processes, their targets and the store. Ends all processes when it is destroyed.
class fleet {
public:
    fleet(deployment settings, recorder& record);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// Starts the store, the targets and the sidecars, and waits until all are ready.
    [[nodiscard]] bool start(const std::string& config);

    /// Sends a heartbeat of a node's target. @return the status; 0 without an answer in a second.
    int heartbeat(std::size_t index, const std::string& state);
    /// Sends a prepared body to a node's control address. @return the status.
    int post_control(std::size_t index, const std::string& instance, const std::string& call_name,
                     const std::string& body);
    /// Whether regular heartbeats of a node's target are sent.
    void set_beating(std::size_t index, bool on) { this->beating[index] = on; }

    /// Sends a client's request at a node and records it.
    message request(std::size_t index, const std::string& method, const std::string& path,
                    const std::string& id, int deadline_ms, const header_list& further = {});

    /// Writes a configuration as the operator does; it is acknowledged on return.
    void configure(const std::string& config);

    /// Removes a machine as planned work does: its target drains, deregisters and exits, then its sidecar
    /// gets SIGTERM and `GraceS` to end.
    /// @return whether the drain was acknowledged and the sidecar ended by itself.
    [[nodiscard]] bool remove(std::size_t index);

    /// Starts clients that send requests at all nodes until the fleet ends.
    void start_clients(const std::vector<std::string>& paths, int pause_ms);
    void stop_clients();

    std::vector<node> nodes;

private:
    [[nodiscard]] bool start_process(node& of);
    void send_heartbeats();

    deployment options;
    recorder& events;
    platform_store store;
    std::string directory;
    std::vector<std::atomic<bool>> beating;
    std::atomic<bool> stopping = false;
    std::atomic<bool> clients_stopping = false;
    std::atomic<std::uint64_t> next_id = 1;
    std::vector<std::thread> threads;
    std::vector<std::thread> clients;
};

/// A tenant of a configuration.
struct tenant {
    std::string name;
    std::string key;
    int rate_per_s = 0;
    int burst = 0;
};

/// The configuration of the cases: the service `register` at `/lookup/` (idempotent) and `/order/` (not),
/// and `geometry` at `/avail/` (idempotent).
[[nodiscard]] std::string configuration(int version = 1, const std::vector<tenant>& tenants = {});

/// Unix time in milliseconds.
[[nodiscard]] std::int64_t unix_ms();

/// Whether the environment asks for the disruption.
[[nodiscard]] bool has_trouble();

} // namespace review
