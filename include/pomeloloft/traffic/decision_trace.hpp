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

/// A decision on admission with all that it was taken by.
struct admission_decision {
    admission_view view;
    pomeloloft::priority priority = pomeloloft::priority::standard;
    std::chrono::microseconds left{0};
    admission decided = admission::run;
};

/// A decision on a retry with all that it was taken by.
struct retry_decision {
    /// Its deadline is set anew from `left` on replay.
    retry_inputs inputs;
    std::chrono::microseconds left{0};
    bool decided = false;
};

/// One endpoint among which was chosen.
struct recorded_endpoint {
    std::string node;
    bool near = true;
    bool tried = false;
    bool passed_over = false;
    std::uint32_t in_flight = 0;
    std::uint32_t reported_load = 0;
    /// In microseconds; 0 when it was not known or not recent enough.
    std::uint32_t response_time_us = 0;
    /// Since it began serving.
    milliseconds age{0};
};

/// A choice of an endpoint with all that it was taken by.
struct choice_decision {
    std::uint32_t slots = 1;
    std::uint32_t slow_start_ms = 0;
    std::uint64_t random = 0;
    std::vector<recorded_endpoint> endpoints;
    /// The node chosen; empty for none.
    std::string decided;
};

/// One decision of the request path, as recorded by a proxy.
using decision = std::variant<admission_decision, retry_decision, choice_decision>;

/// What a decision is about.
enum class decision_kind : std::uint8_t { admission, retry, choice };

/// Names of `decision_kind` in traces.
inline constexpr name_table<decision_kind, 3> decision_kind_names{{
    {decision_kind::admission, "admission"},
    {decision_kind::retry, "retry"},
    {decision_kind::choice, "choice"},
}};

/// Records an admission as it was decided.
[[nodiscard]] admission_decision record_admission(const admission_view& view,
                                                  const admission_request& request, admission decided,
                                                  time_point now);

/// Records a retry as it was decided.
[[nodiscard]] retry_decision record_retry(const retry_inputs& inputs, bool decided, time_point now);

/// Records what a choice is to be made by. Loads change meanwhile, so a choice that is recorded is then taken
/// from the record (`replay_decision`) and not from the loads.
[[nodiscard]] choice_decision record_choice(const endpoint_choice_inputs& request,
                                            const endpoint_choice_options& options);

/// Takes the decision anew from its recorded inputs.
/// @return the decision, equal to the one given where the rules are still the same.
[[nodiscard]] decision replay_decision(const decision& recorded, const endpoint_choice_options& options = {});

/// A decision as one line of JSON.
[[nodiscard]] std::string to_json_line(const decision& recorded);

/// Reads a line; errors name the field.
[[nodiscard]] result<decision> parse_decision(std::string_view line);

/// What was decided, for a person: `run`, `retry`, `give-up` or a node's name.
[[nodiscard]] std::string outcome_of(const decision& recorded);

} // namespace pomeloloft
