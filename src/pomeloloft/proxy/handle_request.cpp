#include <array>

#include <nlohmann/json.hpp>

#include "pomeloloft/proxy/exchange.hpp"
#include "pomeloloft/proxy/serve.hpp"

namespace pomeloloft {
namespace {

constexpr std::string_view keys_path = "/.well-known/pomeloloft/keys";
constexpr int created = 201;

void issue_key(blackboard& board, http_response& response)
{
    const auto key = board.keys.issue();
    if (!key) {
        send_text(response, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain",
                  to_string(key.error()) + "\n");
        return;
    }
    ++board.requests.keys_issued;
    send_text(response, created, "application/json", nlohmann::json{{"key", key.value()}}.dump() + "\n");
}

/// Whether the request matches a route that is not declared idempotent.
bool requires_idempotency_key(const blackboard& board, const request_head& head)
{
    const auto current = board.current_view.load();
    const bound_route* matched = match_route(*current, head.method, head.path, head.internal);
    return matched != nullptr && !matched->rule.idempotent;
}

run_state serve(blackboard& board, request_head& head, request_body& body, response_writer& writer)
{
    if (!requires_idempotency_key(board, head)) {
        return route_request(board, head, body, writer, true);
    }
    if (head.key.empty()) {
        return refuse(board, writer, run_state::not_run, refusal_reason::key_required,
                      "Idempotency-Key: is missing; POST " + std::string(keys_path) + " gives one");
    }
    return serve_keyed(board, head, body, writer);
}

/// Reads and discards the rest of a request body after a response that was sent before the end of the body,
/// so that the caller can read that response. Cuts the connection if the body is too long, because its
/// remainder would be parsed as the next request.
void drain_request_body(http_request& request, request_body& body)
{
    constexpr std::size_t max_discarded = 4U << 20U;
    std::array<char, 16384> buffer{};
    std::size_t discarded = 0;
    while (discarded < max_discarded && body.source_stream->good()) {
        body.source_stream->read(buffer.data(), buffer.size());
        discarded += static_cast<std::size_t>(body.source_stream->gcount());
    }
    if (!body.source_stream->eof()) {
        abort_connection(request);
    }
}

/// Reads head and body prefix, then serves the request. A request that cannot be parsed is refused and its
/// connection closed.
template <typename Handler>
run_state read_and_serve(blackboard& board, http_request& request, http_response& response,
                         response_writer& writer, Handler handler)
{
    auto head = read_head(request, steady_clock::now());
    if (!head) {
        response.setKeepAlive(false);
        return refuse(board, writer, run_state::not_run, refusal_reason::bad_request,
                      to_string(head.error()));
    }
    enter_phase(request, client_phase::reading);
    const memory_reservation memory(request, held_bytes_of(request));
    if (!memory.granted()) {
        response.setKeepAlive(false);
        return refuse(board, writer, run_state::not_run, refusal_reason::overloaded,
                      "this proxy holds as much for other callers as it may");
    }
    auto body = read_body_prefix(request);
    enter_phase(request, client_phase::handling);
    if (!body) {
        response.setKeepAlive(false);
        return refuse(board, writer, run_state::not_run, refusal_reason::bad_request,
                      to_string(body.error()));
    }
    const run_state state = handler(head.value(), body.value());
    if (!body.value().complete) {
        enter_phase(request, client_phase::reading);
        drain_request_body(request, body.value());
    }
    return state;
}

/// Serves a request that another proxy forwarded, to the local target or as the issuer of its key.
run_state serve_peer_request(blackboard& board, http_request& request, request_head& head, request_body& body,
                             response_writer& writer)
{
    const std::string hop = request.get(header::hop, "");
    if (hop == "issuer") {
        head.internal = request.has(header::internal);
        return serve_keyed(board, head, body, writer);
    }
    if (hop != "target") {
        return refuse(board, writer, run_state::not_run, refusal_reason::bad_request,
                      std::string(header::hop) + ": unknown hop");
    }
    target_attempt attempt;
    attempt.id = request.get(header::attempt, "");
    attempt.service = request.get(header::service, "");
    attempt.priority =
        value_of(priority_names, request.get(header::priority, "")).value_or(priority::standard);
    const attempt_result outcome = serve_on_target(board, head, body, attempt, writer);
    if (!outcome.responded) {
        ++board.requests.refused[static_cast<std::size_t>(outcome.reason)];
        writer.refuse(outcome.state, outcome.reason, "");
    }
    return outcome.state;
}

/// Responds with the state of an attempt. Fences it if it has not arrived, and with hop `fence` also if it
/// waits for a slot.
void handle_fence_request(blackboard& board, http_request& request, http_response& response)
{
    const bool include_waiting = request.get(header::hop, "") == "fence";
    const attempt_state state = board.attempts.fence(request.get(header::attempt, ""), include_waiting);
    response.set(header::outcome,
                 std::string(name_of(run_state_names, state == attempt_state::fenced ? run_state::not_run
                                                                                     : run_state::unknown)));
    send_text(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain",
              std::string(name_of(attempt_state_names, state)));
}

/// Responds with the configuration version and readiness of this proxy.
void handle_status_request(blackboard& board, http_response& response)
{
    const auto current = board.current_view.load();
    const nlohmann::json body{
        {"node", board.settings.node},         {"data_centre", board.settings.data_centre},
        {"version", current->config->version}, {"hash", current->config->hash},
        {"ready", board.ready.load()},         {"reader", board.is_reader.load()}};
    send_text(response, Poco::Net::HTTPResponse::HTTP_OK, "application/json", body.dump() + "\n");
}

} // namespace

void handle_caller(blackboard& board, http_request& request, http_response& response, bool internal)
{
    ++board.requests.received;
    response_writer writer(request, response);
    run_state state = run_state::not_run;
    if (board.stopping) {
        response.setKeepAlive(false);
        state = refuse(board, writer, run_state::not_run, refusal_reason::draining, "this proxy is stopping");
    } else if (!board.ready) {
        state = refuse(board, writer, run_state::not_run, refusal_reason::not_ready,
                       "this proxy has no current configuration yet");
    } else if (request.getURI() == keys_path && request.getMethod() == "POST") {
        issue_key(board, response);
        return;
    } else {
        state = read_and_serve(board, request, response, writer, [&](request_head& head, request_body& body) {
            head.internal = internal;
            return serve(board, head, body, writer);
        });
    }
    ++board.requests.by_outcome[static_cast<std::size_t>(state)];
}

void handle_peer(blackboard& board, http_request& request, http_response& response)
{
    if (request.getURI() == "/pomeloloft/fence") {
        handle_fence_request(board, request, response);
        return;
    }
    if (request.getURI() == "/pomeloloft/status") {
        handle_status_request(board, response);
        return;
    }
    response_writer writer(request, response);
    read_and_serve(board, request, response, writer, [&](request_head& head, request_body& body) {
        return serve_peer_request(board, request, head, body, writer);
    });
}

} // namespace pomeloloft
