#include <boost/asio/experimental/awaitable_operators.hpp>

#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/outbound_router.hpp"
#include "pomeloloft/sidecar/random.hpp"
#include "pomeloloft/sidecar/request_context.hpp"

namespace pomeloloft::sidecar {
namespace {

using namespace net::asio::experimental::awaitable_operators;

/// Whether a result ends the search for a response: the target has responded and did not fail.
bool is_good(const target_call_result& ended)
{
    return ended.outcome == attempt_outcome::answered &&
           to_status_class(ended.response.result()) != net::http::status_class::server_error;
}

std::chrono::microseconds since(time_point started)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started);
}

} // namespace

/// Two attempts of one request that run side by side. Each attempt completes only when its result is the one
/// to return; the other is then cancelled.
struct outbound_router::attempt_pair {
    explicit attempt_pair(const net::executor& executor) : second_ended(executor), never(executor)
    {
        this->second_ended.expires_at(time_point::max());
        this->never.expires_at(time_point::max());
    }

    std::string first_node;
    std::optional<target_call_result> first;
    std::string second_node;
    std::optional<target_call_result> second;
    /// Cancelled when the second attempt has ended.
    net::timer second_ended;
    net::timer never;
};

net::task<void> outbound_router::run_first_attempt(net::request& sent, target_call call, attempt_pair& pair)
{
    target_call_result ended = co_await this->send_to_node(sent, pair.first_node, std::move(call));
    pair.first = std::move(ended);
    const bool second_in_progress = !pair.second_node.empty() && !pair.second;
    if (!is_good(*pair.first) && second_in_progress) {
        co_await pair.second_ended.async_wait(net::use_task);
    }
}

std::optional<chosen_endpoint> outbound_router::pick_second_endpoint(const net::request& sent,
                                                                     const request_context& context,
                                                                     const std::string& first_node)
{
    const time_point now = steady_clock::now();
    std::vector<std::string> tried = context.tried;
    tried.push_back(first_node);
    const auto found = this->shared.endpoints.find(context.service);
    if (found == this->shared.endpoints.end()) {
        return std::nullopt;
    }
    choice_request wanted;
    wanted.candidates = usable_endpoints(found->second, context.version_draw);
    wanted.tried = tried;
    wanted.body_bytes = sent.body().size();
    wanted.random = random_draw();
    wanted.now = now;
    wanted.deadline = context.deadline;
    const chosen_endpoint chosen = choose(wanted, this->options);
    hedge_facts facts;
    facts.caller_connected = !context.caller->has_closed();
    facts.crash_suspect =
        !this->shared.suspects.empty() &&
        this->shared.suspects.crash_count(fingerprint_of(sent, this->shared.local_settings.headers), now) > 0;
    facts.dispatches = context.state.dispatches + 1;
    facts.max_dispatches = context.state.max_dispatches;
    facts.has_free_slot =
        chosen.endpoint != nullptr && may_have_free_slot(*chosen.endpoint->load, now, this->options);
    if (chosen.endpoint != nullptr) {
        const double expected_ms = expected_response_ms(*chosen.endpoint, wanted, this->options);
        facts.expected_response = milliseconds(static_cast<std::int64_t>(expected_ms));
    }
    facts.deadline = context.deadline;
    hedge_verdict verdict = decide_hedge(facts, now);
    if (verdict == hedge_verdict::send) {
        verdict = this->shared.hedges.take(retry_budget_of(this->shared, context.service));
    }
    if (verdict != hedge_verdict::send) {
        ++this->shared.hedges.counters.held_back.at(static_cast<std::size_t>(verdict));
        return std::nullopt;
    }
    ++this->shared.hedges.counters.begun;
    return chosen;
}

net::task<void> outbound_router::run_second_attempt(net::request copy, target_call call, time_point due,
                                                    const request_context& context, attempt_pair& pair)
{
    net::timer delay(co_await net::asio::this_coro::executor);
    delay.expires_at(due);
    const auto [cancelled] = co_await delay.async_wait(net::use_task);
    if (cancelled) {
        co_return;
    }
    const auto chosen = this->pick_second_endpoint(copy, context, pair.first_node);
    if (chosen) {
        pair.second_node = chosen->endpoint->node;
        // Only into a slot that is free now, and without a further repeat.
        call.max_wait = milliseconds{0};
        call.repeatable = false;
        target_call_result ended = co_await this->send_to_node(copy, pair.second_node, std::move(call));
        pair.second = std::move(ended);
        if (was_withheld(pair.second->outcome)) {
            this->shared.hedges.refund();
        }
        if (is_good(*pair.second)) {
            co_return;
        }
        pair.second_ended.cancel();
    }
    co_await pair.never.async_wait(net::use_task);
}

net::task<target_call_result> outbound_router::send_hedged(net::request& sent, std::string& node,
                                                           target_call call, request_context& context)
{
    const time_point started = steady_clock::now();
    const auto due = this->shared.hedges.second_attempt_at(context.service, started);
    if (!due || *due >= call.deadline) {
        target_call_result only = co_await this->send_to_node(sent, node, std::move(call));
        if (is_good(only)) {
            this->shared.hedges.add_response(context.service, since(started));
        }
        co_return only;
    }
    attempt_pair pair(co_await net::asio::this_coro::executor);
    pair.first_node = node;
    net::task<void> first = this->run_first_attempt(sent, call, pair);
    net::task<void> second = this->run_second_attempt(sent, call, *due, context, pair);
    co_await (std::move(first) || std::move(second));
    const bool second_wins = pair.second && is_good(*pair.second) && !(pair.first && is_good(*pair.first));
    if (second_wins || (pair.first && is_good(*pair.first))) {
        this->shared.hedges.add_response(context.service, since(started));
    }
    hedge_counters& counters = this->shared.hedges.counters;
    const bool first_cancelled = !pair.first;
    const bool second_cancelled = !pair.second_node.empty() && !pair.second;
    counters.won += second_wins ? 1 : 0;
    counters.cancelled += (first_cancelled ? 1 : 0) + (second_cancelled ? 1 : 0);
    // The attempt that is not returned may have reached its target, too.
    const bool other_reached = second_wins
                                   ? first_cancelled || !was_withheld(pair.first->outcome)
                                   : second_cancelled || (pair.second && !was_withheld(pair.second->outcome));
    context.state.dispatches += other_reached ? 1 : 0;
    if (!second_wins && !pair.first) {
        target_call_result ended;
        ended.outcome = attempt_outcome::cancelled;
        co_return ended;
    }
    if (second_wins) {
        context.tried.push_back(pair.first_node);
        node = pair.second_node;
        co_return std::move(pair.second.value());
    }
    if (!pair.second_node.empty()) {
        context.tried.push_back(pair.second_node);
    }
    co_return std::move(pair.first.value());
}

net::task<target_call_result> outbound_router::send_attempt(net::request& sent, std::string& node,
                                                            target_call call, request_context& context)
{
    const bool may_hedge = this->shared.hedges.enabled() && call.idempotent;
    net::task<target_call_result> sending = may_hedge
                                                ? this->send_hedged(sent, node, std::move(call), context)
                                                : this->send_to_node(sent, node, std::move(call));
    target_call_result ended = co_await std::move(sending);
    co_return ended;
}

net::task<target_call_result> outbound_router::send_to_node(net::request& sent, std::string node,
                                                            target_call call)
{
    // The list may have changed since the endpoint was chosen.
    const auto found = this->shared.endpoints.find(call.service);
    if (found != this->shared.endpoints.end()) {
        for (const candidate& c : found->second.candidates) {
            if (c.node == node) {
                target_call_result ended = co_await this->send_to_endpoint(sent, c, std::move(call));
                co_return ended;
            }
        }
    }
    co_return target_call_result{};
}

} // namespace pomeloloft::sidecar
