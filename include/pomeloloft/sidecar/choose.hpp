#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// What this process knows of the load of one endpoint.
struct endpoint_load {
    /// Requests this process has under way there.
    std::uint32_t in_flight = 0;
    /// Running and waiting requests as the endpoint told last.
    std::uint32_t reported_load = 0;
    /// Requests sent there since that was told.
    std::uint32_t sent_since_report = 0;
    std::uint32_t slots = 1;
    /// Smoothed time its target holds a slot, in microseconds; 0 when not known.
    std::uint32_t service_us = 0;
    /// Expected wait for the link of its VM, in milliseconds.
    std::uint32_t link_ms = 0;
    /// Share of the requests that its target failed of late, in percent.
    std::uint32_t failed_percent = 0;
    /// Share of the requests that its target turned away without running them, in percent.
    std::uint32_t rejected_percent = 0;
    time_point reported_at;
    /// Failures to reach it or its target in a row.
    std::uint32_t consecutive_failures = 0;
    /// Passed over until then.
    time_point backoff_until;
};

/// One endpoint of a service as a request may choose it.
struct candidate {
    std::string node;
    /// The target beside this process.
    bool is_local = false;
    bool same_data_centre = false;
    endpoint_load* load = nullptr;
};

/// How endpoints are compared.
struct choice_options {
    /// Time a told load counts; it is taken to shrink evenly to nothing over this.
    milliseconds load_decay_time{1500};
    /// Time a told share of failures counts. Longer than a load's: each sender that forgets it loses a
    /// request.
    milliseconds failure_decay_time{5000};
    /// Added for a target that fails every request; grows with the third power of the share, so that the few
    /// failures of a sound target hardly count and a long queue elsewhere counts for more than some failures.
    double failure_penalty_ms = 2000.0;
    /// Added for a target that turns every request away; grows with the fourth power of the share, as what
    /// is turned away can be sent elsewhere at once.
    double rejection_penalty_ms = 2000.0;
    /// Added to the expected time of an endpoint on another VM, in milliseconds.
    double remote_vm_ms = 1.0;
    /// Added for each KB that a request carries to another VM: its time on the VM's link.
    double remote_vm_ms_per_kb = 0.008;
    /// Added for an endpoint in another data centre, for the network and what its bytes cost.
    double remote_data_centre_ms = 60.0;
    /// Added for each KB that a request carries to another data centre.
    double remote_data_centre_ms_per_kb = 2.0;
    /// Assumed service time where no endpoint has told one.
    double default_service_ms = 50.0;
    /// Share of the service time added at full load, as targets slow down when they are nearly full.
    double full_load_slowdown = 0.3;
    /// Spread of the random factor, so that senders with the same news do not all choose alike.
    double jitter = 0.15;
    /// Pause after the first failure; doubles with each further one.
    milliseconds initial_backoff{300};
    milliseconds max_backoff{5000};
};

/// One choice to make.
struct choice_request {
    std::span<const candidate> candidates;
    /// Nodes already tried for this request.
    std::span<const std::string> tried;
    std::size_t body_bytes = 0;
    std::uint64_t random = 0;
    time_point now;
};

/// Requests believed to run or wait at an endpoint.
[[nodiscard]] double estimated_load(const endpoint_load& load, time_point now, const choice_options& options);

/// Expected time until the endpoint would answer, in milliseconds.
[[nodiscard]] double expected_answer_ms(const candidate& c, const choice_request& request,
                                        const choice_options& options);

/// What was chosen.
struct chosen_endpoint {
    /// Null when all endpoints were tried.
    const candidate* endpoint = nullptr;
    /// Expected wait for a slot there.
    milliseconds wait{0};
};

/// The untried endpoint that is expected to answer first; those passed over only when no other is left. One
/// that told no service time is taken to need what the others need on average. Answers uneven and changing
/// loads, with targets of unlike speed, and targets that fail fast and so seem to be free.
[[nodiscard]] chosen_endpoint choose(const choice_request& request, const choice_options& options);

/// Notes that an endpoint or its target could not be reached.
void record_endpoint_failure(endpoint_load& load, time_point now, const choice_options& options);

/// Notes that an endpoint's target answered.
void record_endpoint_success(endpoint_load& load);

/// What an endpoint tells of itself with every answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::uint32_t service_us = 0;
    std::uint32_t link_ms = 0;
    std::uint32_t failed_percent = 0;
    std::uint32_t rejected_percent = 0;
};

/// Takes in what an endpoint told.
void apply_load_report(endpoint_load& load, const load_report& report, time_point now);

} // namespace pomeloloft::sidecar
