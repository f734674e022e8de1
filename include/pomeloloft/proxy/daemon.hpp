#pragma once

#include <memory>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/settings.hpp"

namespace pomeloloft {

/// A running proxy: one blackboard with its listeners, links and threads.
class proxy_daemon {
public:
    /// Starts all listeners and threads. An error names the setting of the listener that failed.
    static result<std::unique_ptr<proxy_daemon>> start(const proxy_settings& settings);

    proxy_daemon(const proxy_daemon&) = delete;
    proxy_daemon& operator=(const proxy_daemon&) = delete;
    ~proxy_daemon();

    /// Shuts down gracefully: refuses new requests, lets those in progress finish within `shutdown_grace`,
    /// and announces to the fleet that this node leaves.
    void stop();

    /// The shared state, for tests and examples.
    [[nodiscard]] blackboard& board();

private:
    struct components;
    explicit proxy_daemon(std::unique_ptr<components> started);

    std::unique_ptr<components> impl;
};

} // namespace pomeloloft
