#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Load of one endpoint as this process knows it.
struct endpoint_load {
    /// Requests from this process that are in flight at the endpoint.
    std::uint32_t in_flight = 0;
    /// Running and waiting requests in the endpoint's last load report.
    std::uint32_t reported_load = 0;
    /// Requests that this process sent to the endpoint since that report.
    std::uint32_t sent_since_report = 0;
    std::uint32_t slots = 1;
    /// Smoothed time a request occupies a slot of the target, in microseconds; 0 when unknown.
    std::uint32_t service_us = 0;
    /// Expected wait for the network link of the endpoint's VM, in milliseconds.
    std::uint32_t link_ms = 0;
    /// Smoothed time that requests and responses spend between the two sidecars, in microseconds; 0 when
    /// unknown.
    std::uint32_t network_us = 0;
    /// Smoothed share of recent requests that the target failed, in percent.
    std::uint32_t failed_percent = 0;
    /// Smoothed share of recent requests that the target rejected without running them, in percent.
    std::uint32_t rejected_percent = 0;
    time_point reported_at;
    /// Consecutive failures to reach the endpoint or its target.
    std::uint32_t consecutive_failures = 0;
    /// Until this time the endpoint is chosen only if every other one is in backoff or was tried.
    time_point backoff_until;
};

/// An endpoint of a service that a request can be sent to.
struct candidate {
    std::string node;
    /// Whether the endpoint is the target that this sidecar serves.
    bool is_own_target = false;
    bool same_data_centre = false;
    endpoint_load* load = nullptr;
};

/// Parameters of the cost estimate by which endpoints are compared.
struct choice_options {
    /// Time over which a reported load and a measured network time give way linearly to what is assumed
    /// without them.
    milliseconds load_decay_time{1500};
    /// Time over which reported failure and rejection shares decay linearly to zero, and reported service
    /// times to the mean. It is longer than for the load, because every sender whose report has expired loses
    /// a request to a failing or slow target.
    milliseconds failure_decay_time{5000};
    /// Transfer time of a KB of request body to another VM, by the bandwidth of this VM's link, in
    /// milliseconds.
    double transfer_ms_per_kb = 0.008;
    /// Network time assumed for endpoints in the same and in other data centres that were not measured
    /// lately, in milliseconds.
    double default_local_network_ms = 0.0;
    double default_remote_network_ms = 0.0;
    /// Service time assumed while no endpoint has reported one, in milliseconds.
    double default_service_ms = 50.0;
    /// Slots assumed of an endpoint that has not reported yet.
    double default_slots = 1.0;
    /// Load per slot assumed of an endpoint in so far as its last load report has decayed.
    double default_load_per_slot = 0.0;
    /// Relative spread of the random factor on the cost, so that senders with the same load reports do not
    /// all choose the same endpoint.
    double jitter = 0.15;
    /// Backoff after the first failure; it doubles with each consecutive failure, up to `max_backoff`.
    milliseconds initial_backoff{300};
    milliseconds max_backoff{5000};
};

/// Inputs of one endpoint choice.
struct choice_request {
    std::span<const candidate> candidates;
    /// Nodes already tried for this request; they are not chosen again.
    std::span<const std::string> tried;
    std::size_t body_bytes = 0;
    std::uint64_t random = 0;
    time_point now;
    time_point deadline = no_deadline;
};

/// Estimated number of requests that run or wait at an endpoint.
[[nodiscard]] double estimated_load(const endpoint_load& load, time_point now, const choice_options& options);

/// Expected time until the endpoint responds, in milliseconds.
[[nodiscard]] double expected_response_ms(const candidate& c, const choice_request& request,
                                          const choice_options& options);

/// Expected cost of sending a request to an endpoint, in milliseconds of its caller's time: the time until
/// the response, the time lost if the target fails or rejects the request, and the time for which the request
/// delays the next one.
[[nodiscard]] double expected_cost_ms(const candidate& c, const choice_request& request,
                                      const choice_options& options);

/// The result of a choice.
struct chosen_endpoint {
    /// Null when every endpoint was tried.
    const candidate* endpoint = nullptr;
    /// Expected wait for a slot at the chosen endpoint.
    milliseconds wait{0};
    /// Wait for a slot from which another endpoint is expected to respond sooner, including the time to ask
    /// it; nothing if there is no other.
    std::optional<milliseconds> max_wait;
};

/// Chooses the untried endpoint with the lowest expected cost. Endpoints in backoff are chosen only
/// when no other is left. An endpoint that has not reported a service time is assumed to need the mean of the
/// others, and one without a recent load report to be as loaded as those that have reported. The estimate
/// handles uneven and changing load, targets of different speed, and targets that fail fast and therefore
/// look idle.
[[nodiscard]] chosen_endpoint choose(const choice_request& request, const choice_options& options);

/// Records that an endpoint or its target could not be reached, and starts its backoff.
void record_endpoint_failure(endpoint_load& load, time_point now, const choice_options& options);

/// Records that an endpoint's target responded, and ends its backoff.
void record_endpoint_success(endpoint_load& load);

/// Load report that an endpoint sends with every response.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::uint32_t service_us = 0;
    std::uint32_t link_ms = 0;
    std::uint32_t failed_percent = 0;
    std::uint32_t rejected_percent = 0;
};

/// Records the time that a request and its response spent between the two sidecars.
void record_network_time(endpoint_load& load, std::chrono::microseconds sample);

/// Applies a load report received from an endpoint.
void apply_load_report(endpoint_load& load, const load_report& report, time_point now);

} // namespace pomeloloft::sidecar
