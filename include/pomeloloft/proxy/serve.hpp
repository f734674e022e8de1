#pragma once

#include <string>

#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/request.hpp"
#include "pomeloloft/proxy/response_writer.hpp"

namespace pomeloloft {

/// How one attempt at a request ended.
struct attempt_result {
    run_state state = run_state::not_run;
    refusal_reason reason = refusal_reason::target_unreachable;
    /// The answer, whole or cut, has gone to the writer.
    bool answered = false;
};

/// One attempt at the target beside this proxy.
struct target_attempt {
    std::string id;
    std::string service;
    pomeloloft::priority priority = pomeloloft::priority::standard;
    /// Stop the work when the caller leaves.
    bool watch_caller = true;
};

/// Runs a request on the target beside: admission, quarantine and fence come before its first byte.
[[nodiscard]] attempt_result serve_on_target(blackboard& board, const request_head& head, request_body& body,
                                             const target_attempt& attempt, response_writer& writer);

/// Answers a request in the mesh's own name and counts the refusal.
/// @return the state told.
run_state refuse(blackboard& board, response_writer& writer, run_state state, refusal_reason reason,
                 const std::string& message);

/// Routes a request by the current view, tries targets within the retry rules, and answers in any case.
/// @param watch_caller stop the work when the caller leaves.
/// @return what the caller was told.
run_state route_request(blackboard& board, request_head& head, request_body& body, response_writer& writer,
                        bool watch_caller);

/// Serves a request that must run at most once, at the issuer of its key or by way of it.
/// @return what the caller was told.
run_state serve_keyed(blackboard& board, request_head& head, request_body& body, response_writer& writer);

/// Handles a request on the callers' or the internal listener.
void handle_caller(blackboard& board, http_request& request, http_response& response, bool internal);

/// Handles a request from another proxy.
void handle_peer(blackboard& board, http_request& request, http_response& response);

} // namespace pomeloloft
