#pragma once

#include <memory>
#include <string>
#include <vector>

#include "stand_ins.hpp"

namespace review {

/// A machine: a backend and the sidecar beside it.
struct machine {
    std::unique_ptr<store_link> to_store;
    std::unique_ptr<sidecar> process;
    std::unique_ptr<backend> application;
};

/// What a machine of a fleet runs.
struct machine_plan {
    std::string node;
    std::string zone;
    std::string service;
};

/// A small deployment: the store, and machines with their sidecars and backends.
class fleet {
public:
    /// Starts everything and waits until it serves; ends the case with `could_not_run` if it does not.
    /// @param directory for settings files and the output of the sidecars.
    fleet(const std::vector<machine_plan>& plans, const std::string& first_config, backend::options defaults,
          recorder& log);
    ~fleet();

    /// Writes a configuration, as the operator does.
    /// @return when the store acknowledged it.
    time_point configure(const std::string& config);

    store platform;
    std::vector<machine> machines;

private:
    std::string directory;
    recorder& log;
};

/// A route of a configuration.
struct route {
    std::string prefix;
    std::string type;
    std::string service;
    int timeout_ms = 3000;
    int max_attempts = 2;
};

/// The text of a configuration for the host `trips.example`.
std::string config_text(int version, const std::vector<route>& routes);

/// Sends a request from a client on a machine and records it.
client_response call(const machine& from, const std::string& method, const std::string& path,
                     milliseconds deadline, recorder& log);

} // namespace review
