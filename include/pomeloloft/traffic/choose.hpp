#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/mesh/view.hpp"

namespace pomeloloft {

/// Parameters of endpoint choice and outlier ejection.
struct endpoint_choice_options {
    /// Load per slot of the best local endpoint above which endpoints in other data centres are considered.
    double spillover_load = 1.0;
    /// Share of its slots that an endpoint is assumed to have at the beginning of its slow start.
    double initial_share = 0.1;
    /// Consecutive failures after which an endpoint is ejected.
    std::uint32_t failures_to_eject = 3;
    /// Time for which an endpoint stays ejected.
    milliseconds ejection_time{5000};
    /// Percentage of a list of endpoints that may be ejected. If more fail, the cause is not the endpoints
    /// themselves, and ejections are ignored.
    std::uint32_t max_ejected_percent = 50;
    /// Age from which a reported response time is no longer used.
    milliseconds response_time_max_age{30'000};
    /// One choice in this many ignores response times, so that an endpoint that was slow is measured again.
    std::uint32_t explore_one_in = 128;
};

/// Inputs of one endpoint choice.
struct endpoint_choice_inputs {
    /// Service that the request is sent to.
    const service_view* target = nullptr;
    /// Nodes that this request has already been sent to without success.
    std::span<const std::string> tried;
    /// Random bits; the lower and the upper half are used as two independent draws.
    std::uint64_t random = 0;
    time_point now;
};

/// Chooses the endpoint for a request by power of two choices: of two random local endpoints, the one with
/// the lower product of load and response time. If that endpoint is overloaded, two endpoints in other data
/// centres are compared in the same way, and the better one is used if it has less load per slot.
/// @return null if no endpoint is left.
[[nodiscard]] const endpoint* choose_endpoint(const endpoint_choice_inputs& inputs,
                                              const endpoint_choice_options& options);

/// Load of an endpoint per usable slot. During slow start, only a share of its slots counts as usable.
[[nodiscard]] double load_score(const endpoint& e, const service& limits, time_point now,
                                const endpoint_choice_options& options);

/// Whether an endpoint is ejected because of its failures.
[[nodiscard]] bool is_ejected(const endpoint& e, time_point now);

/// Whether the response time of an endpoint is known and recent enough to be compared.
[[nodiscard]] bool has_recent_response_time(const endpoint_load& load, time_point now,
                                            const endpoint_choice_options& options);

/// Kind of an endpoint failure.
enum class endpoint_failure : std::uint8_t {
    no_response,
    /// No connection could be established. The endpoint is ejected at once.
    unreachable,
};

/// Records a failure of an endpoint, and ejects the endpoint if necessary.
void record_failure(endpoint_load& load, endpoint_failure failure, time_point now,
                    const endpoint_choice_options& options);

/// Load report on a target, which its proxy sends with every response.
struct endpoint_report {
    /// Number of running and queued requests.
    std::uint32_t load = 0;
    /// Smoothed response time of the target, in microseconds; 0 if unknown.
    std::uint32_t response_time_us = 0;
};

/// Stores the load report of an endpoint.
void apply_report(endpoint_load& load, const endpoint_report& report, time_point now);

/// Records that an endpoint responded, which ends its ejection.
void record_success(endpoint_load& load);

} // namespace pomeloloft
