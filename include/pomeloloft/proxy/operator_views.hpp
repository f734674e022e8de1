#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "pomeloloft/http/server.hpp"
#include "pomeloloft/proxy/blackboard.hpp"

namespace pomeloloft {

/// Answers with JSON.
void send_json(http_response& response, int status, const nlohmann::json& body);

/// Answers with what went wrong.
/// @param outcome a short name of the fault.
void send_error(http_response& response, int status, const std::string& outcome, const std::string& message);

/// Shows this proxy and its links.
void show_status(blackboard& board, http_response& response);

/// Shows every proxy of the fleet, each asked for its version.
void show_fleet(blackboard& board, http_response& response);

/// Shows the view that requests are routed by: its routes, and each service's endpoints.
void show_view(blackboard& board, http_response& response);

/// Shows the recorded decisions, one line of JSON each, oldest first.
void show_decisions(blackboard& board, http_response& response);

} // namespace pomeloloft
