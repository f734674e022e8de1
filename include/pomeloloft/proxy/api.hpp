#pragma once

#include <string>

#include "pomeloloft/http/server.hpp"
#include "pomeloloft/proxy/blackboard.hpp"

namespace pomeloloft {

/// Handles a request from the local target, or for metrics and health:
/// `PUT /v1/target`, `DELETE /v1/target`, `GET /metrics`, `/healthz`, `/readyz`.
void handle_local(blackboard& board, http_request& request, http_response& response);

/// Handles a request from an operator:
/// `POST /v1/patches`, `GET /v1/config`, `/v1/status`, `/v1/fleet`, `/v1/view`,
/// `/v1/audit`, `/v1/decisions`.
void handle_operator(blackboard& board, http_request& request, http_response& response);

/// All counters and gauges in the Prometheus text format.
[[nodiscard]] std::string metrics_text(blackboard& board);

} // namespace pomeloloft
