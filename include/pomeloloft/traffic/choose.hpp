#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/mesh/view.hpp"

namespace pomeloloft {

/// How endpoints are chosen and passed over.
struct endpoint_choice_options {
    /// Load per slot from which another data centre is considered.
    double spill_load = 1.0;
    /// Share of its slots a cold endpoint is trusted with at first.
    double cold_share = 0.1;
    /// Failures in a row after which an endpoint is passed over.
    std::uint32_t failures_to_eject = 3;
    milliseconds ejection{5000};
    /// Percent of a list that may be passed over; beyond that failures are not the endpoints' own.
    std::uint32_t max_ejected_percent = 50;
    /// How long an answer time that was told counts.
    milliseconds time_memory{30'000};
    /// One choice in so many goes by load alone, so that an endpoint that was slow is heard of again.
    std::uint32_t explore_one_in = 128;
};

/// One choice to make.
struct endpoint_choice_inputs {
    const service_view* target = nullptr;
    /// Nodes this request has been refused by.
    std::span<const std::string> tried;
    /// Two independent draws in one.
    std::uint64_t random = 0;
    time_point now;
};

/// The endpoint for a request: of two random ones nearby the one that will answer sooner by its load and the
/// time its target takes, or of two farther away when those nearby are full; null when none is left.
[[nodiscard]] const endpoint* choose_endpoint(const endpoint_choice_inputs& request,
                                              const endpoint_choice_options& options);

/// Load per trusted slot of an endpoint.
[[nodiscard]] double load_score(const endpoint& e, const service& limits, time_point now,
                                const endpoint_choice_options& options);

/// Whether an endpoint is passed over for its failures.
[[nodiscard]] bool is_ejected(const endpoint& e, time_point now);

/// Whether an endpoint's answer time is known and recent enough to be compared.
[[nodiscard]] bool has_recent_response_time(const endpoint_load& load, time_point now,
                                            const endpoint_choice_options& options);

/// How an endpoint failed.
enum class endpoint_failure : std::uint8_t {
    no_response,
    /// Nothing takes connections there: it is passed over at once.
    unreachable,
};

/// Notes that an endpoint failed.
void record_failure(endpoint_load& load, endpoint_failure failure, time_point now,
                    const endpoint_choice_options& options);

/// What the proxy beside a target tells of it with every answer.
struct endpoint_report {
    /// Running and queued requests.
    std::uint32_t load = 0;
    /// Smoothed time its target takes to answer, in microseconds; 0 when not known.
    std::uint32_t response_time_us = 0;
};

/// Takes in what an endpoint reported.
void apply_report(endpoint_load& load, const endpoint_report& report, time_point now);

/// Notes that an endpoint answered.
void record_success(endpoint_load& load);

} // namespace pomeloloft
