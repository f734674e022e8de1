#pragma once

#include <string>

#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/request.hpp"
#include "pomeloloft/proxy/response_writer.hpp"
#include "pomeloloft/traffic/dispatch.hpp"

namespace pomeloloft {

/// Result of one attempt at a request.
struct attempt_result {
    run_state state = run_state::not_run;
    refusal_reason reason = refusal_reason::target_unreachable;
    /// A response, complete or truncated, has been passed to the writer.
    bool responded = false;
};

/// One attempt at the local target.
struct target_attempt {
    /// Id that other proxies can query or fence the attempt by; empty for an attempt from this proxy.
    std::string id;
    std::string service;
    pomeloloft::priority priority = pomeloloft::priority::standard;
    /// Whether to stop when the caller disconnects.
    bool watch_caller = true;
};

/// Whether a request is refused because targets crashed while they ran it.
[[nodiscard]] bool is_quarantined(blackboard& board, const request_head& head, const request_body& body);

/// Result of an attempt that was withheld.
[[nodiscard]] attempt_result result_of(dispatch_verdict withheld);

/// Runs a request on the local target. Nothing is sent to it before the attempt has passed admission and the
/// fence, and is neither quarantined nor abandoned by its caller.
[[nodiscard]] attempt_result serve_on_target(blackboard& board, const request_head& head, request_body& body,
                                             const target_attempt& attempt, response_writer& writer);

/// Refuses a request with an error response from this proxy and counts the refusal.
/// @return `state`, as reported to the caller.
run_state refuse(blackboard& board, response_writer& writer, run_state state, refusal_reason reason,
                 const std::string& message);

/// Routes a request by the current view and attempts it at endpoints within the retry rules. Always writes a
/// response.
/// @param watch_caller whether to stop when the caller disconnects.
/// @return the outcome reported to the caller.
run_state route_request(blackboard& board, request_head& head, request_body& body, response_writer& writer,
                        bool watch_caller);

/// Serves a request that must run at most once. The issuer of its key runs it; other proxies forward it
/// there.
/// @return the outcome reported to the caller.
run_state serve_keyed(blackboard& board, request_head& head, request_body& body, response_writer& writer);

/// Handles a request on the callers' listener or on the internal one.
void handle_caller(blackboard& board, http_request& request, http_response& response, bool internal);

/// Handles a request from another proxy.
void handle_peer(blackboard& board, http_request& request, http_response& response);

} // namespace pomeloloft
