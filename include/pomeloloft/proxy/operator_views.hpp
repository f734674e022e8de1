#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "pomeloloft/http/server.hpp"
#include "pomeloloft/proxy/blackboard.hpp"

namespace pomeloloft {

/// Sends a JSON response.
void send_json(http_response& response, int status, const nlohmann::json& body);

/// Sends an error response in JSON.
/// @param outcome short name of the error.
void send_error(http_response& response, int status, const std::string& outcome, const std::string& message);

/// Sends the state of this proxy and its links.
void show_status(blackboard& board, http_response& response);

/// Sends the state of every proxy of the fleet; each is queried for its configuration version.
void show_fleet(blackboard& board, http_response& response);

/// Sends the view that requests are routed by: its routes and the endpoints of each service.
void show_view(blackboard& board, http_response& response);

/// Sends the recorded decisions, one line of JSON each, oldest first.
void show_decisions(blackboard& board, http_response& response);

} // namespace pomeloloft
