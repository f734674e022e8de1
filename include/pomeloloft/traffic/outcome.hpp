#pragma once

#include <cstdint>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// Whether a request was executed by its target, as far as the proxy knows.
enum class run_state : std::uint8_t { ran, not_run, unknown };

/// Names of `run_state` in the outcome header and in metrics.
inline constexpr name_table<run_state, 3> run_state_names{{
    {run_state::ran, "ran"},
    {run_state::not_run, "not-run"},
    {run_state::unknown, "unknown"},
}};

/// Reason for which a proxy responds to a request itself instead of passing on a response of the target.
enum class refusal_reason : std::uint8_t {
    not_ready,
    draining,
    no_route,
    no_endpoint,
    bad_request,
    key_required,
    key_invalid,
    key_expired,
    key_issuer_gone,
    key_answer_dropped,
    overloaded,
    deadline,
    quarantined,
    fenced,
    target_unreachable,
    connection_lost,
    target_lost,
    target_crashed,
    caller_gone,
};

/// Names of `refusal_reason` in the reason header and in metrics.
inline constexpr name_table<refusal_reason, 19> refusal_reason_names{{
    {refusal_reason::not_ready, "not-ready"},
    {refusal_reason::draining, "draining"},
    {refusal_reason::no_route, "no-route"},
    {refusal_reason::no_endpoint, "no-endpoint"},
    {refusal_reason::bad_request, "bad-request"},
    {refusal_reason::key_required, "key-required"},
    {refusal_reason::key_invalid, "key-invalid"},
    {refusal_reason::key_expired, "key-expired"},
    {refusal_reason::key_issuer_gone, "key-issuer-gone"},
    {refusal_reason::key_answer_dropped, "key-answer-dropped"},
    {refusal_reason::overloaded, "overloaded"},
    {refusal_reason::deadline, "deadline"},
    {refusal_reason::quarantined, "quarantined"},
    {refusal_reason::fenced, "fenced"},
    {refusal_reason::connection_lost, "connection-lost"},
    {refusal_reason::target_unreachable, "target-unreachable"},
    {refusal_reason::target_lost, "target-lost"},
    {refusal_reason::target_crashed, "target-crashed"},
    {refusal_reason::caller_gone, "caller-gone"},
}};

} // namespace pomeloloft
