#pragma once

#include <cstdint>
#include <string>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Names of the headers that callers and targets use; they differ between platforms.
struct header_names {
    /// Identifies one attempt of a caller; targets echo it.
    std::string request_id;
    /// Time left until the caller's deadline, in milliseconds.
    std::string time_left;
    /// The only instance that may run the request.
    std::string expected_instance;
    /// The instance that sent the response.
    std::string instance;
    /// Marks a response as sent without running the request.
    std::string not_executed;
    /// Proves that the target itself produced the response.
    std::string signature;
    /// Service on whose VM a request originated.
    std::string caller_service;
    /// Holds the caller's key; not passed on while organisations are configured.
    std::string authorization;
    /// Scheme of `authorization`, before the key.
    std::string key_scheme;
    /// Name of the caller's organisation; set by the sidecar where the request begins.
    std::string organisation;
};

/// Settings of one sidecar process.
struct settings {
    std::string node;
    std::string data_centre;
    /// Service of the target that this sidecar serves.
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
    /// Retries that a service may receive beyond a tenth of its requests, summed over the fleet.
    double retry_reserve = 10;
    /// Second attempts of slow idempotent requests, as a share of all idempotent requests; 0 for none.
    double hedge_share = 0;
    /// Time after the acknowledged shutdown report in which a target may still receive requests.
    milliseconds drain_period{2000};
    /// Time between SIGTERM and SIGKILL.
    milliseconds shutdown_grace{6000};
    /// Largest share of a service's requests that a new version may get before it has proved good; 0 where
    /// there are no roll-outs.
    double max_exposed_share = 0;
    /// Time after the last tolerated failure of a bad version in which it may still get requests.
    milliseconds rollback_time{5000};
    /// Bandwidth of the VM's link in Mbit/s.
    std::uint32_t link_mbps = 1000;
    /// Whether calls that targets make while they run a request are recognised and served first.
    bool calls_first = false;
    /// Whether runs are limited where such calls are refused; has no effect without `calls_first`.
    bool limit_runs = false;
    /// Whether idempotent requests that their target has not answered are given up in time for a repeat.
    bool give_up_silent = false;
    /// Memory of the VM in MB; by default that of the smallest one.
    std::uint32_t memory_mb = 160;
    /// File descriptors that the process may have open.
    std::uint32_t max_descriptors = 4096;
};

/// Whether the deployment has roll-outs.
[[nodiscard]] inline bool rollouts_enabled(const settings& s)
{
    return s.max_exposed_share > 0;
}

} // namespace pomeloloft::sidecar
