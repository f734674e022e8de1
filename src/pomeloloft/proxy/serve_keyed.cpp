#include <algorithm>

#include "pomeloloft/proxy/exchange.hpp"
#include "pomeloloft/proxy/serve.hpp"

namespace pomeloloft {
namespace {

/// Times a request is sent to the issuer of its key before giving up.
constexpr int max_issuer_attempts = 2;

run_state replay(blackboard& board, response_writer& writer,
                 const std::shared_ptr<const stored_response>& stored)
{
    if (!stored || stored->body_dropped) {
        return refuse(board, writer, run_state::ran, refusal_reason::key_answer_dropped,
                      "the request ran once; its answer is no longer kept");
    }
    ++board.requests.keys_replayed;
    writer.replay(*stored);
    return run_state::ran;
}

run_state execute_claimed_request(blackboard& board, const idempotency_key& key, request_head& head,
                                  request_body& body, response_writer& writer)
{
    writer.keep_copy();
    // The request runs to its end even if the caller disconnects: the response is stored and replayed when
    // the caller repeats the request.
    const run_state state = route_request(board, head, body, writer, false);
    board.keys.finish_run(key.serial, state, writer.copy());
    return state;
}

run_state serve_as_issuer(blackboard& board, const idempotency_key& key, request_head& head,
                          request_body& body, response_writer& writer)
{
    const key_claim claim = board.keys.claim(key, head.deadline);
    switch (claim.state) {
    case claim_state::run:
        return execute_claimed_request(board, key, head, body, writer);
    case claim_state::replay:
        return replay(board, writer, claim.response);
    case claim_state::invalid:
        return refuse(board, writer, run_state::not_run, refusal_reason::key_invalid,
                      "Idempotency-Key: was not issued by this mesh");
    case claim_state::expired:
        return refuse(board, writer, run_state::unknown, refusal_reason::key_expired,
                      "the key has expired; whether its request ran is no longer known");
    case claim_state::in_progress:
        return refuse(board, writer, run_state::unknown, refusal_reason::deadline,
                      "the request is still running under this key; ask again later");
    case claim_state::unknown:
        break;
    }
    return refuse(board, writer, run_state::unknown, refusal_reason::target_lost,
                  "the request may have run under this key; it is not run again");
}

/// Passes the issuer's response on to the caller, including its mesh headers.
run_state relay_from_issuer(blackboard& board, exchange& ex, const std::string& address,
                            const request_head& head, response_writer& writer)
{
    const run_state state =
        value_of(run_state_names, ex.response.get(header::outcome, "")).value_or(run_state::unknown);
    response_head relayed_head = response_head_from(ex, head.method);
    for (const char* field : {header::reason, header::replayed, header::version}) {
        if (ex.response.has(field)) {
            relayed_head.headers.emplace_back(field, ex.response.get(field));
        }
    }
    writer.begin(relayed_head, state, 0);
    if (relay_body(ex, board.peer_connections, address, writer) == relay_outcome::truncated) {
        ++board.requests.responses_truncated;
    }
    return state;
}

exchange_request request_to_issuer(const request_head& head, request_body& body, const std::string& address)
{
    exchange_request request;
    request.address = address;
    request.head = &head;
    request.body = &body;
    request.deadline = head.deadline;
    request.extra_headers = {{header::hop, "issuer"}, {header::key, head.key}};
    if (head.internal) {
        request.extra_headers.emplace_back(header::internal, "1");
    }
    if (head.retried_above) {
        request.extra_headers.emplace_back(header::retried, "1");
    }
    return request;
}

run_state forward_to_issuer(blackboard& board, const idempotency_key& key, request_head& head,
                            request_body& body, response_writer& writer)
{
    const issuer_lookup issuer = board.issuers.await_issuer(key, head.deadline);
    if (issuer.state != issuer_state::live) {
        return refuse(board, writer, run_state::unknown, refusal_reason::key_issuer_gone,
                      "the proxy that issued the key is gone; whether its request ran is not known");
    }
    const std::string& address = issuer.peer_address;
    exchange_outcome outcome = exchange_outcome::unreachable;
    // A request with a key is idempotent at its issuer, so it is sent again after a lost connection.
    for (int attempt = 0; attempt < max_issuer_attempts && body.replayable(); ++attempt) {
        exchange ex = send_request(board.peer_connections, request_to_issuer(head, body, address));
        outcome = ex.outcome;
        if (outcome == exchange_outcome::responded) {
            return relay_from_issuer(board, ex, address, head, writer);
        }
        if (outcome == exchange_outcome::deadline || outcome == exchange_outcome::caller_gone ||
            outcome == exchange_outcome::withheld) {
            break;
        }
    }
    return refuse(board, writer, run_state::unknown,
                  outcome == exchange_outcome::deadline ? refusal_reason::deadline
                                                        : refusal_reason::target_lost,
                  "no answer from the proxy that issued the key; send the request again with the same key");
}

} // namespace

run_state serve_keyed(blackboard& board, request_head& head, request_body& body, response_writer& writer)
{
    const auto key = parse_key(head.key);
    if (!key) {
        return refuse(board, writer, run_state::not_run, refusal_reason::key_invalid, to_string(key.error()));
    }
    const auto current = board.current_view.load();
    if (const bound_route* matched = match_route(*current, head.method, head.path, head.internal)) {
        head.deadline =
            std::min(head.deadline, steady_clock::now() + milliseconds(matched->rule.deadline_ms));
    }
    if (key.value().issuer == board.settings.node && key.value().incarnation == board.incarnation) {
        return serve_as_issuer(board, key.value(), head, body, writer);
    }
    return forward_to_issuer(board, key.value(), head, body, writer);
}

} // namespace pomeloloft
