#pragma once

#include <cstdint>
#include <string>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Names of the headers that callers and targets use. They differ between platforms.
struct header_names {
    /// Identifies one attempt of a caller; echoed by targets.
    std::string request_id;
    /// Time left to the caller, in milliseconds.
    std::string time_left;
    /// The instance that alone may run the request.
    std::string expected_instance;
    /// The instance that answers.
    std::string instance;
    /// Marks an answer to a request that the target did not run.
    std::string not_executed;
    /// Proves that an answer is the target's own.
    std::string signature;
    /// Service beside which a request began.
    std::string caller_service;
};

/// Settings of one sidecar process.
struct settings {
    std::string node;
    std::string data_centre;
    /// Service of the target beside this process.
    std::string service;
    /// `host:port` of the target.
    std::string target_address;
    /// `host:port` where callers on this VM send requests.
    std::string outbound_address;
    /// `host:port` where other sidecars send requests.
    std::string peer_address;
    /// `host:port` of the readiness check.
    std::string ready_address;
    /// `host:port` where the target reports.
    std::string control_address;
    header_names headers;
    /// Retries a service may be sent beyond a tenth of its requests, summed over the fleet.
    double retry_reserve = 10;
    /// Time a target that leaves may still be sent requests after its report was acknowledged.
    milliseconds drain_period{2000};
    /// Time between SIGTERM and SIGKILL.
    milliseconds shutdown_grace{6000};
    /// Bandwidth of the VM's link.
    std::uint32_t link_mbps = 1000;
};

} // namespace pomeloloft::sidecar
