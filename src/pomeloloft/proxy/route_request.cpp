#include <atomic>
#include <charconv>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/proxy/exchange.hpp"
#include "pomeloloft/proxy/serve.hpp"

namespace pomeloloft {
namespace {

/// Timeout for querying the state of an attempt at another proxy.
constexpr milliseconds inquiry_timeout{500};
/// Longer than any name of an attempt's state.
constexpr std::size_t max_state_bytes = 64;

std::uint64_t random_draw()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

std::string make_attempt_id()
{
    return to_hex(random_draw()) + to_hex(random_draw());
}

/// Counts a request as in flight at an endpoint for the lifetime of the object.
class in_flight_scope {
public:
    explicit in_flight_scope(endpoint_load& counted) : load(counted) { ++this->load.in_flight; }
    in_flight_scope(const in_flight_scope&) = delete;
    in_flight_scope& operator=(const in_flight_scope&) = delete;
    ~in_flight_scope() { --this->load.in_flight; }

private:
    endpoint_load& load;
};

std::uint32_t parse_number_header(const exchange& ex, const char* field)
{
    const std::string text = ex.response.get(field, "0");
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

endpoint_report endpoint_report_from(const exchange& ex)
{
    return {parse_number_header(ex, header::load), parse_number_header(ex, header::response_time)};
}

/// An attempt that has been sent to another proxy and whose response has not arrived yet.
struct pending_attempt {
    std::string id;
    std::string address;
    http_request* caller = nullptr;
    /// The remote proxy reported that the attempt was fenced: it has not run and never will.
    bool never_ran = false;
    /// The remote proxy reported that the attempt has finished, so its response is overdue.
    bool finished = false;
};

/// Queries the state of an attempt at the proxy of its target. An attempt that has not arrived there is
/// fenced, so that it cannot run later.
/// @param hop `ask` to query; `fence` to fence also an attempt that waits for a slot.
/// @return the state, or nothing when the proxy does not respond within `inquiry_timeout`.
std::optional<attempt_state> inquire(blackboard& board, const pending_attempt& attempt, const char* hop)
{
    ++board.requests.inquiries;
    request_head head;
    head.method = "POST";
    head.uri = "/pomeloloft/fence";
    request_body empty;
    empty.complete = true;
    empty.length = 0;
    empty.source = attempt.caller;
    exchange_request request;
    request.address = attempt.address;
    request.head = &head;
    request.body = &empty;
    request.deadline = steady_clock::now() + inquiry_timeout;
    request.watch_caller = false;
    request.extra_headers = {{header::attempt, attempt.id}, {header::hop, hop}};
    // Pooled idle connections may have failed for the same reason as the lost one, so a new one is opened.
    connection_pool fresh;
    exchange ex = send_request(fresh, request);
    if (ex.outcome != exchange_outcome::responded) {
        return std::nullopt;
    }
    return value_of(attempt_state_names, read_short_body(*ex.body, max_state_bytes).value_or(""));
}

/// Whether the response to an attempt can still arrive, according to the remote proxy.
bool should_keep_waiting(blackboard& board, pending_attempt& attempt)
{
    if (attempt.finished) {
        return false;
    }
    const auto state = inquire(board, attempt, "ask");
    attempt.never_ran = state == attempt_state::fenced;
    attempt.finished = state == attempt_state::finished;
    board.requests.inquiries_not_run += attempt.never_ran ? 1 : 0;
    return !attempt.never_ran;
}

/// Result of an attempt that ended without a response. Unless the attempt is known to be fenced or finished,
/// it is fenced now, to find out whether it has run.
attempt_result result_without_response(blackboard& board, pending_attempt& attempt, exchange_outcome end)
{
    if (end == exchange_outcome::unreachable) {
        return {run_state::not_run, refusal_reason::target_unreachable, false};
    }
    if (end == exchange_outcome::body_truncated) {
        return {run_state::unknown, refusal_reason::bad_request, false};
    }
    // Other idle connections to this address may be broken like the one that delivered no response.
    board.peer_connections.discard(attempt.address);
    bool reachable = attempt.never_ran || attempt.finished;
    if (!reachable) {
        const auto state = inquire(board, attempt, "fence");
        reachable = state.has_value();
        attempt.never_ran = state == attempt_state::fenced;
        board.requests.inquiries_not_run += attempt.never_ran ? 1 : 0;
    }
    const refusal_reason reason = end == exchange_outcome::deadline      ? refusal_reason::deadline
                                  : end == exchange_outcome::caller_gone ? refusal_reason::caller_gone
                                  : reachable                            ? refusal_reason::connection_lost
                                                                         : refusal_reason::target_unreachable;
    return {attempt.never_ran ? run_state::not_run : run_state::unknown, reason, false};
}

refusal_reason refusal_reason_from(const exchange& ex)
{
    return value_of(refusal_reason_names, ex.response.get(header::reason, ""))
        .value_or(refusal_reason::target_lost);
}

/// What all attempts at one request have in common.
struct attempt_context {
    const bound_route* route = nullptr;
    /// Version of the configuration that the request is routed by.
    std::uint64_t version = 0;
    bool watch_caller = true;
};

attempt_result send_to_peer(blackboard& board, const request_head& head, request_body& body,
                            const endpoint& chosen, const attempt_context& context, response_writer& writer)
{
    pending_attempt pending{make_attempt_id(), chosen.peer_address, body.source};
    exchange_request request;
    request.address = chosen.peer_address;
    request.head = &head;
    request.body = &body;
    request.deadline = head.deadline;
    request.watch_caller = context.watch_caller;
    request.extra_headers = {
        {header::hop, "target"},
        {header::attempt, pending.id},
        {header::service, context.route->rule.service},
        {header::priority, std::string(name_of(priority_names, context.route->rule.priority))}};
    if (!head.key.empty()) {
        request.extra_headers.emplace_back(header::key, head.key);
    }
    request.is_quarantined = [&] { return is_quarantined(board, head, body); };
    request.should_keep_waiting = [&board, &pending] { return should_keep_waiting(board, pending); };
    const in_flight_scope counted(*chosen.load);
    exchange ex = send_request(board.peer_connections, request);
    if (ex.outcome == exchange_outcome::withheld) {
        return result_of(ex.verdict);
    }
    if (ex.outcome != exchange_outcome::responded) {
        return result_without_response(board, pending, ex.outcome);
    }
    apply_report(*chosen.load, endpoint_report_from(ex), steady_clock::now());
    const auto state = value_of(run_state_names, ex.response.get(header::outcome, ""));
    if (state == run_state::ran) {
        writer.begin(response_head_from(ex, head.method), run_state::ran, context.version);
        if (relay_body(ex, board.peer_connections, chosen.peer_address, writer) == relay_outcome::truncated) {
            ++board.requests.responses_truncated;
        }
        return {run_state::ran, refusal_reason::target_lost, true};
    }
    attempt_result refused{state.value_or(run_state::unknown), refusal_reason_from(ex), false};
    discard_body(ex, board.peer_connections, chosen.peer_address);
    return refused;
}

attempt_result attempt_endpoint(blackboard& board, const request_head& head, request_body& body,
                                const endpoint& chosen, const attempt_context& context,
                                response_writer& writer)
{
    ++board.requests.attempts;
    if (chosen.node != board.settings.node) {
        return send_to_peer(board, head, body, chosen, context, writer);
    }
    const in_flight_scope counted(*chosen.load);
    const target_attempt attempt{"", context.route->rule.service, context.route->rule.priority,
                                 context.watch_caller};
    const attempt_result outcome = serve_on_target(board, head, body, attempt, writer);
    writer.report.reset();
    apply_report(*chosen.load, own_report(board), steady_clock::now());
    return outcome;
}

/// Whether the result indicates a failure of the endpoint, rather than of the request or an overload.
bool counts_as_failure(const attempt_result& outcome)
{
    return outcome.reason == refusal_reason::target_unreachable ||
           outcome.reason == refusal_reason::target_lost || outcome.reason == refusal_reason::no_endpoint ||
           (outcome.reason == refusal_reason::deadline && outcome.state == run_state::unknown);
}

const endpoint* find_endpoint(const service_view& endpoints, const std::string& node)
{
    for (const auto* list : {&endpoints.local, &endpoints.remote}) {
        for (const endpoint& e : *list) {
            if (e.node == node) {
                return &e;
            }
        }
    }
    return nullptr;
}

/// Chooses an endpoint and records the decision if recording is enabled.
const endpoint* decide_endpoint(blackboard& board, const endpoint_choice_inputs& choice)
{
    if (!board.decisions.enabled()) {
        return choose_endpoint(choice, board.endpoint_options);
    }
    decision recorded =
        replay_decision(record_choice(choice, board.endpoint_options), board.endpoint_options);
    const endpoint* chosen = find_endpoint(*choice.target, std::get<choice_decision>(recorded).decided);
    board.decisions.add(std::move(recorded));
    return chosen;
}

/// Decides whether to retry and records the decision if recording is enabled.
bool decide_retry(blackboard& board, const retry_inputs& inputs)
{
    const time_point now = steady_clock::now();
    const bool decided = may_retry(inputs, now);
    if (board.decisions.enabled()) {
        board.decisions.add(record_retry(inputs, decided, now));
    }
    return decided;
}

/// Whether no further attempt can be made, whatever the retry rules allow.
bool ends_request(refusal_reason reason)
{
    return reason == refusal_reason::caller_gone || reason == refusal_reason::quarantined;
}

/// Attempts the request at one endpoint after another until one responds or no retry is allowed.
attempt_result try_endpoints(blackboard& board, const request_head& head, request_body& body,
                             const attempt_context& context, attempt_history& history,
                             response_writer& writer)
{
    std::vector<std::string> tried_nodes;
    attempt_result last_result{run_state::not_run, refusal_reason::no_endpoint, false};
    board.retry_tokens.deposit();
    while (true) {
        const time_point now = steady_clock::now();
        const endpoint_choice_inputs choice{context.route->target, tried_nodes, random_draw(), now};
        const endpoint* chosen = decide_endpoint(board, choice);
        if (chosen == nullptr) {
            return last_result;
        }
        last_result = attempt_endpoint(board, head, body, *chosen, context, writer);
        if (last_result.responded) {
            record_success(*chosen->load);
            return last_result;
        }
        const bool unreachable = last_result.reason == refusal_reason::target_unreachable;
        if (counts_as_failure(last_result)) {
            record_failure(*chosen->load,
                           unreachable ? endpoint_failure::unreachable : endpoint_failure::no_response,
                           steady_clock::now(), board.endpoint_options);
        }
        // After a lost connection, the same endpoint may be retried on a new connection.
        if (last_result.reason != refusal_reason::connection_lost) {
            tried_nodes.push_back(chosen->node);
        }
        const bool reached = count_attempt(history, last_result.state, unreachable);
        if (ends_request(last_result.reason)) {
            return last_result;
        }
        const retry_inputs inputs{last_result.state,
                                  last_result.reason == refusal_reason::target_crashed,
                                  context.route->rule.idempotent,
                                  body.replayable(),
                                  head.retried_above,
                                  history.sent,
                                  head.deadline};
        if (!is_below_unreachable_limit(history) || !decide_retry(board, inputs)) {
            return last_result;
        }
        // An attempt that reached no endpoint added no load, so it does not use the retry budget.
        if (reached && !board.retry_tokens.withdraw()) {
            ++board.requests.retries_over_budget;
            return last_result;
        }
        ++board.requests.retries;
        if (last_result.reason == refusal_reason::overloaded) {
            const std::chrono::microseconds response_time{
                chosen->load->response_time_us.load(std::memory_order_relaxed)};
            const milliseconds spare = spare_time(head.deadline, steady_clock::now(), response_time);
            std::this_thread::sleep_for(retry_backoff(history.sent, spare, random_draw()));
        }
    }
}

std::string describe_outcome(const attempt_result& outcome)
{
    switch (outcome.state) {
    case run_state::not_run:
        return "the request did not run; it is safe to send it again";
    case run_state::unknown:
        return "the request may have run; no answer came from its target";
    case run_state::ran:
        break;
    }
    return "the request ran";
}

} // namespace

run_state refuse(blackboard& board, response_writer& writer, run_state state, refusal_reason reason,
                 const std::string& message)
{
    ++board.requests.refused[static_cast<std::size_t>(reason)];
    writer.refuse(state, reason, message);
    return state;
}

run_state route_request(blackboard& board, request_head& head, request_body& body, response_writer& writer,
                        bool watch_caller)
{
    const std::shared_ptr<const view> current = board.current_view.load();
    const bound_route* matched = match_route(*current, head.method, head.path, head.internal);
    if (matched == nullptr) {
        return refuse(board, writer, run_state::not_run, refusal_reason::no_route,
                      "no route for " + head.method + " " + head.path);
    }
    if (is_quarantined(board, head, body)) {
        return refuse(board, writer, run_state::not_run, refusal_reason::quarantined,
                      "targets crashed while they ran this request; it is refused for a time");
    }
    head.deadline = std::min(head.deadline, steady_clock::now() + milliseconds(matched->rule.deadline_ms));
    const attempt_context context{matched, current->config->version, watch_caller};
    attempt_history history;
    attempt_result outcome = try_endpoints(board, head, body, context, history, writer);
    outcome.state = reported_run_state(history, outcome.state);
    if (!outcome.responded) {
        return refuse(board, writer, outcome.state, outcome.reason, describe_outcome(outcome));
    }
    return run_state::ran;
}

} // namespace pomeloloft
