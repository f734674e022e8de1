#pragma once

#include <memory>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/settings.hpp"

namespace pomeloloft {

/// One running proxy: its listeners, links and threads around one blackboard.
class proxy_daemon {
public:
    /// Starts everything; an error names the setting of the listener that failed.
    static result<std::unique_ptr<proxy_daemon>> start(const proxy_settings& settings);

    proxy_daemon(const proxy_daemon&) = delete;
    proxy_daemon& operator=(const proxy_daemon&) = delete;
    ~proxy_daemon();

    /// Leaves: new requests are refused, those in progress finish within the grace time, the fleet is told.
    void stop();

    /// The shared state, for tests and examples.
    [[nodiscard]] blackboard& board();

private:
    struct components;
    explicit proxy_daemon(std::unique_ptr<components> started);

    std::unique_ptr<components> impl;
};

} // namespace pomeloloft
