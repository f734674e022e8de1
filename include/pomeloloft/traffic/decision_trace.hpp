#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/traffic/admission.hpp"
#include "pomeloloft/traffic/choose.hpp"
#include "pomeloloft/traffic/retry.hpp"

namespace pomeloloft {

/// Admission decision with all of its inputs.
struct admission_decision {
    admission_view view;
    pomeloloft::priority priority = pomeloloft::priority::standard;
    /// Time that was left until the deadline.
    std::chrono::microseconds time_to_deadline{0};
    admission decided = admission::run;
};

/// Retry decision with all of its inputs.
struct retry_decision {
    /// On replay, the deadline in it is recomputed from `time_to_deadline`.
    retry_inputs inputs;
    /// Time that was left until the deadline.
    std::chrono::microseconds time_to_deadline{0};
    /// Whether the request was to be retried.
    bool decided = false;
};

/// Recorded state of one candidate endpoint.
struct recorded_endpoint {
    std::string node;
    /// The endpoint is in the data centre of the recording proxy.
    bool is_local = true;
    bool tried = false;
    bool ejected = false;
    std::uint32_t in_flight = 0;
    std::uint32_t reported_load = 0;
    /// In microseconds; 0 if it was unknown or not recent enough.
    std::uint32_t response_time_us = 0;
    /// Time since the endpoint began to serve.
    milliseconds age{0};
};

/// Endpoint choice with all of its inputs.
struct choice_decision {
    std::uint32_t slots = 1;
    std::uint32_t slow_start_ms = 0;
    std::uint64_t random = 0;
    std::vector<recorded_endpoint> endpoints;
    /// Chosen node; empty if there was none.
    std::string decided;
};

/// Decision on the request path, as recorded by a proxy.
using decision = std::variant<admission_decision, retry_decision, choice_decision>;

/// Kind of a recorded decision.
enum class decision_kind : std::uint8_t { admission, retry, choice };

/// Names of `decision_kind` in traces.
inline constexpr name_table<decision_kind, 3> decision_kind_names{{
    {decision_kind::admission, "admission"},
    {decision_kind::retry, "retry"},
    {decision_kind::choice, "choice"},
}};

/// Builds the record of an admission decision.
[[nodiscard]] admission_decision record_admission(const admission_view& view,
                                                  const admission_request& request, admission decided,
                                                  time_point now);

/// Builds the record of a retry decision.
[[nodiscard]] retry_decision record_retry(const retry_inputs& inputs, bool decided, time_point now);

/// Builds the record of an endpoint choice, without its outcome. Loads change concurrently, so a recorded
/// choice is then made from the record by `replay_decision` and not from the live loads.
[[nodiscard]] choice_decision record_choice(const endpoint_choice_inputs& inputs,
                                            const endpoint_choice_options& options);

/// Makes a decision again from its recorded inputs.
/// @return the record with the new outcome, which equals the recorded one if the rules have not changed.
[[nodiscard]] decision replay_decision(const decision& recorded, const endpoint_choice_options& options = {});

/// Serialises a decision as one line of JSON, without a line break.
[[nodiscard]] std::string to_json_line(const decision& recorded);

/// Parses a line written by `to_json_line`.
/// @return `invalid` with the name of the field that is missing or has the wrong type.
[[nodiscard]] result<decision> parse_decision(std::string_view line);

/// The outcome in readable form: a name of `admission_names`, `retry` or `give-up`, a node name or `none`.
[[nodiscard]] std::string outcome_of(const decision& recorded);

} // namespace pomeloloft
