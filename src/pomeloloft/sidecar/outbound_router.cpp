#include "pomeloloft/sidecar/outbound_router.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/beast/http/rfc7230.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/random.hpp"
#include "pomeloloft/sidecar/request_context.hpp"

namespace pomeloloft::sidecar {
namespace {

namespace http = net::http;

/// `Retry-After` while no configuration is known.
constexpr milliseconds retry_after_no_config{500};
/// `Retry-After` while the process shuts down: another sidecar can serve the caller immediately.
constexpr milliseconds retry_after_shutdown{50};
/// `Retry-After` of a request over its organisation's quota.
constexpr milliseconds retry_after_over_quota{500};

/// Removes hop-by-hop headers, including those listed in `Connection`.
template <typename Message>
void erase_hop_by_hop_headers(Message& message)
{
    std::vector<std::string> listed;
    for (const auto& option : http::token_list{message[http::field::connection]}) {
        listed.emplace_back(option.data(), option.size());
    }
    for (const std::string& name : listed) {
        message.erase(name);
    }
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
          http::field::trailer, http::field::upgrade, http::field::transfer_encoding, http::field::expect}) {
        message.erase(name);
    }
}

/// Removes hop-by-hop headers of a target's response. The headers by which the caller checks the response are
/// kept, even if the target lists them in `Connection`: without its signature, a response is not valid.
void erase_hop_by_hop_headers(net::response& message, const header_names& names)
{
    std::vector<std::pair<std::string, std::string>> kept;
    for (const std::string& name : {names.request_id, names.instance, names.not_executed, names.signature}) {
        if (const auto found = message.find(name); found != message.end()) {
            kept.emplace_back(name, found->value());
        }
    }
    erase_hop_by_hop_headers(message);
    for (const auto& [name, value] : kept) {
        if (message.find(name) == message.end()) {
            message.set(name, value);
        }
    }
}

void erase_peer_headers(net::request& received)
{
    std::vector<std::string> internal;
    const std::string_view prefix = peer_header::prefix;
    for (const auto& field : received) {
        const auto name = field.name_string();
        if (name.size() > prefix.size() && net::beast::iequals(name.substr(0, prefix.size()), prefix)) {
            internal.emplace_back(name.data(), name.size());
        }
    }
    for (const std::string& name : internal) {
        received.erase(name);
    }
}

std::optional<milliseconds> parse_time_left(const net::request& received, const std::string& header)
{
    const auto text = received[header];
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || value < 0 || value > 1e9) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(value));
}

/// Response to a request that was not run.
net::response refusal(http::status status, milliseconds retry_after)
{
    net::response out = net::make_response(status);
    constexpr double ms_per_s = 1000.0;
    std::array<char, 32> text{};
    const auto written =
        std::to_chars(text.data(), text.data() + text.size(),
                      static_cast<double>(retry_after.count()) / ms_per_s, std::chars_format::fixed, 3);
    out.set(http::field::retry_after, std::string_view(text.data(), written.ptr - text.data()));
    return out;
}

net::response unavailable(milliseconds retry_after)
{
    return refusal(http::status::service_unavailable, retry_after);
}

/// Whether an outcome is logged as a failure of the endpoint.
bool is_endpoint_failure(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::unavailable:
    case attempt_outcome::rejected:
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
        return true;
    case attempt_outcome::answered:
    case attempt_outcome::refused:
    case attempt_outcome::cancelled:
    case attempt_outcome::abandoned:
    case attempt_outcome::quarantined:
        break;
    }
    return false;
}

bool is_server_error(const net::response& response)
{
    return to_status_class(response.result()) == http::status_class::server_error;
}

} // namespace

outbound_router::outbound_router(sidecar_state& process_state, target_gate& local_gate, peer_links& links,
                                 quota_exchange& quota_credits)
    : shared(process_state), gate(local_gate), peers(links), quotas(quota_credits)
{
    constexpr double kbit_per_kb = 8.0;
    const double mbps = std::max(process_state.local_settings.link_mbps, 1U);
    this->options.transfer_ms_per_kb = kbit_per_kb / mbps;
}

bool outbound_router::is_crash_suspect(const net::request& received, time_point now) const
{
    return !this->shared.suspects.empty() &&
           this->shared.suspects.is_quarantined(fingerprint_of(received, this->shared.local_settings.headers),
                                                now);
}

milliseconds outbound_router::quarantine_left(const net::request& received, time_point now) const
{
    // Where only the endpoint has the observations yet, this sidecar learns them before the caller returns.
    return std::max(this->shared.suspects.quarantine_left(
                        fingerprint_of(received, this->shared.local_settings.headers), now),
                    this->options.initial_backoff);
}

milliseconds outbound_router::time_until_free(const request_context& context) const
{
    // Endpoints that cannot be reached state no wait; they are passed over for the first backoff.
    return context.min_wait.count() > 0 ? context.min_wait : this->options.initial_backoff;
}

void outbound_router::update_crash_suspects(const net::request& received,
                                            const target_call_result& call_result)
{
    const time_point now = steady_clock::now();
    if (!call_result.crash.empty()) {
        this->shared.suspects.add(
            {fingerprint_of(received, this->shared.local_settings.headers), call_result.crash}, now);
    } else if (call_result.outcome == attempt_outcome::answered && !this->shared.suspects.empty()) {
        clear_by_response(this->shared.suspects,
                          fingerprint_of(received, this->shared.local_settings.headers),
                          static_cast<int>(call_result.response.result_int()), now);
    }
}

void outbound_router::log_failed_attempt(const net::request& received, const request_context& context,
                                         const std::string& node, const target_call_result& call_result)
{
    const time_point now = steady_clock::now();
    if (!this->failed_attempt_log_limiter.try_acquire(now)) {
        return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(now - context.started);
    log_info("try-failed",
             {{"request", net::header_text(received, this->shared.local_settings.headers.request_id)},
              {"route", context.route->name},
              {"endpoint", node},
              {"outcome", name_of(attempt_outcome_names, call_result.outcome)},
              {"detail", call_result.detail},
              {"waited_ms", static_cast<std::int64_t>(waited.count())},
              {"arrivals", static_cast<std::uint64_t>(context.state.dispatches)},
              {"suppressed", this->failed_attempt_log_limiter.take_suppressed()}});
}

void outbound_router::log_unserved_request(const net::request& received, const request_context& context)
{
    const time_point now = steady_clock::now();
    if (!this->unserved_log_limiter.try_acquire(now)) {
        return;
    }
    const auto found = this->shared.endpoints.find(context.service);
    const std::size_t endpoints = found == this->shared.endpoints.end() ? 0 : found->second.candidates.size();
    log_info("request-unserved",
             {{"request", net::header_text(received, this->shared.local_settings.headers.request_id)},
              {"route", context.route->name},
              {"service", context.service},
              {"last", name_of(attempt_outcome_names, context.state.last)},
              {"arrivals", static_cast<std::uint64_t>(context.state.dispatches)},
              {"redirects", static_cast<std::uint64_t>(context.state.redirects)},
              {"endpoints", static_cast<std::uint64_t>(endpoints)},
              {"left_ms", static_cast<std::int64_t>(remaining(context.deadline, now).count())},
              {"suppressed", this->unserved_log_limiter.take_suppressed()}});
}

bool outbound_router::may_overlap(const net::request& received) const
{
    const auto table = routes_of(this->shared);
    if (!table) {
        return false;
    }
    const auto target = received.target();
    const routing::route* route = routing::match_route(*table, net::header_text(received, http::field::host),
                                                       {target.data(), target.size()});
    return route != nullptr && route->idempotent;
}

net::task<net::reply> outbound_router::handle(net::request& received, net::client_watch& caller)
{
    const std::string id(net::header_text(received, this->shared.local_settings.headers.request_id));
    net::response out = co_await this->route(received, caller);
    if (!id.empty()) {
        out.set(this->shared.local_settings.headers.request_id, id);
    }
    co_return net::reply{std::move(out)};
}

net::task<net::response> outbound_router::route(net::request& received, net::client_watch& caller)
{
    request_context context;
    context.caller = &caller;
    context.table = routes_of(this->shared);
    const bool shutting_down = steady_clock::now() >= this->shared.callers_refused_from;
    if (!context.table || shutting_down) {
        ++this->shared.counters.refused;
        co_return unavailable(shutting_down ? retry_after_shutdown : retry_after_no_config);
    }
    const auto target = received.target();
    context.route = routing::match_route(*context.table, net::header_text(received, http::field::host),
                                         {target.data(), target.size()});
    if (context.route == nullptr) {
        ++this->shared.counters.not_found;
        co_return net::make_response(http::status::not_found);
    }
    if (!this->identify(received, context)) {
        ++this->shared.counters.unauthorized;
        net::response out = net::make_response(http::status::unauthorized);
        out.set(http::field::www_authenticate, this->shared.local_settings.headers.key_scheme);
        co_return out;
    }
    context.service = this->splits.pick(*context.route);
    context.version_draw = static_cast<std::uint32_t>(random_draw() % full_share);
    context.started = steady_clock::now();
    const header_names& names = this->shared.local_settings.headers;
    const milliseconds caller_time_left =
        parse_time_left(received, names.time_left).value_or(context.route->timeout);
    context.deadline = std::min(context.started + std::min(caller_time_left, context.route->timeout),
                                this->shared.serve_until);
    this->detect_call(context, context.started + caller_time_left);
    erase_hop_by_hop_headers(received);
    erase_peer_headers(received);
    received.set(names.caller_service, this->shared.local_settings.service);
    received.version(11);
    received.prepare_payload();
    if (this->is_crash_suspect(received, context.started)) {
        ++this->shared.counters.quarantined;
        co_return unavailable(this->quarantine_left(received, context.started));
    }
    if (context.organisation != nullptr && context.organisation->rate_per_s > 0) {
        context.credit = co_await this->quotas.acquire(*context.organisation, context.deadline);
        if (!context.credit) {
            ++this->shared.counters.over_quota;
            co_return refusal(http::status::too_many_requests,
                              retry_after(retry_after_over_quota, random_draw()));
        }
    }
    context.state.idempotent = context.route->idempotent;
    context.state.max_dispatches = context.route->max_attempts;
    if (context.state.idempotent && this->shared.hedges.enabled()) {
        this->shared.hedges.count_request();
    }
    retry_budget_of(this->shared, context.service).deposit();
    this->shared.link.record(received.body().size(), context.started);
    net::response out = co_await this->send_with_retries(received, context);
    erase_hop_by_hop_headers(out, names);
    out.prepare_payload();
    this->shared.link.record(out.body().size(), steady_clock::now());
    co_return out;
}

void outbound_router::detect_call(request_context& context, time_point caller_deadline)
{
    // Calls carry no key.
    if (!this->shared.local_settings.calls_first || context.organisation != nullptr) {
        return;
    }
    const detected_call found = this->calls.record(context.route->name, caller_deadline, this->gate.runs());
    context.is_call = found.is_call;
    context.parent_route = found.parent == nullptr ? std::string{} : *found.parent;
    this->shared.counters.calls += found.is_call ? 1 : 0;
}

void outbound_router::report_refused_call(const request_context& context)
{
    const bool had_no_room = context.state.last == attempt_outcome::refused &&
                             context.state.refused_because != refusal_cause::other;
    if (!context.is_call || !had_no_room) {
        return;
    }
    ++this->shared.counters.calls_refused;
    if (this->shared.local_settings.limit_runs && !context.parent_route.empty()) {
        this->gate.record_refused_call(context.parent_route);
    }
}

bool outbound_router::identify(net::request& received, request_context& context) const
{
    if (!context.table->requires_keys) {
        return true;
    }
    const header_names& names = this->shared.local_settings.headers;
    const routing::caller_identity caller = routing::identify_caller(
        *context.table, *context.route,
        routing::key_in(net::header_text(received, names.authorization), names.key_scheme));
    received.erase(names.authorization);
    received.erase(names.organisation);
    context.organisation = caller.member_of;
    if (caller.member_of != nullptr) {
        received.set(names.organisation, caller.member_of->name);
    }
    return caller.admitted;
}

net::task<target_call_result> outbound_router::send_to_endpoint(net::request& sent, const candidate& to,
                                                                target_call call)
{
    const endpoint_list& list = this->shared.endpoints[call.service];
    const candidate chosen = to;
    const net::tcp::endpoint address = list.addresses[&to - list.candidates.data()];
    endpoint_load& load = *chosen.load;
    struct in_flight {
        endpoint_load& load;
        explicit in_flight(endpoint_load& counted) : load(counted)
        {
            ++this->load.in_flight;
            ++this->load.sent_since_report;
        }
        ~in_flight() { --this->load.in_flight; }
    } counted(load);
    target_call_result out;
    if (chosen.is_own_target) {
        out = co_await this->gate.serve(sent, call);
        apply_load_report(load, this->gate.report(), steady_clock::now());
    } else {
        out = co_await this->peers.forward(sent, chosen, address, call);
    }
    if (out.outcome == attempt_outcome::unavailable || out.outcome == attempt_outcome::lost ||
        out.peer_timed_out) {
        record_endpoint_failure(load, steady_clock::now(), this->options);
    } else if (out.outcome == attempt_outcome::answered) {
        record_endpoint_success(load);
    }
    co_return out;
}

std::optional<chosen_endpoint> outbound_router::pick_endpoint(request_context& context,
                                                              std::size_t body_bytes, time_point now)
{
    const auto found = this->shared.endpoints.find(context.service);
    if (now >= context.deadline || found == this->shared.endpoints.end()) {
        return std::nullopt;
    }
    const endpoint_list& list = found->second;
    const auto choose_from = [&](std::span<const candidate> usable) {
        return choose({usable, context.tried, body_bytes, random_draw(), now, context.deadline},
                      this->options);
    };
    chosen_endpoint chosen = choose_from(usable_endpoints(list, context.version_draw));
    if (chosen.endpoint == nullptr && context.version_draw < list.next_share &&
        list.next_share < full_share) {
        // None of the new version is left to try.
        context.version_draw = full_share;
        chosen = choose_from(usable_endpoints(list, context.version_draw));
    }
    return chosen.endpoint == nullptr ? std::nullopt : std::optional(chosen);
}

next_step outbound_router::handle_result(const net::request& sent, request_context& context,
                                         const std::string& node, target_call_result call_result)
{
    const bool answered = call_result.outcome == attempt_outcome::answered;
    context.min_wait =
        context.min_wait.count() == 0 ? call_result.wait : std::min(context.min_wait, call_result.wait);
    record_attempt(context.state, call_result.outcome, answered && is_server_error(call_result.response));
    this->update_crash_suspects(sent, call_result);
    if (is_endpoint_failure(call_result.outcome)) {
        this->log_failed_attempt(sent, context, node, call_result);
    }
    if (answered) {
        context.last_response = std::move(call_result.response);
    }
    const next_step step = decide_next_step(context.state, steady_clock::now(), context.deadline);
    if (step == next_step::redirect) {
        ++this->shared.counters.redirected;
    }
    if (step != next_step::retry) {
        return step;
    }
    if (!retry_budget_of(this->shared, context.service).withdraw(retry_cost(context.state.last))) {
        return next_step::finish;
    }
    ++this->shared.counters.retried;
    return step;
}

net::response outbound_router::make_final_response(const net::request& received, request_context& context)
{
    request_counters& counters = this->shared.counters;
    if (context.last_response) {
        ++counters.answered;
        return std::move(*context.last_response);
    }
    if (context.state.last == attempt_outcome::cancelled ||
        context.state.last == attempt_outcome::abandoned) {
        // The caller has closed its connection, so this response is not read.
        ++counters.cancelled;
        return net::make_response(http::status::bad_gateway);
    }
    this->log_unserved_request(received, context);
    this->report_refused_call(context);
    switch (decide_final_status(context.state, steady_clock::now(), context.deadline)) {
    case final_status::not_run:
        if (context.credit) {
            this->quotas.give_back(context.organisation->name, *context.credit);
        }
        if (context.state.last == attempt_outcome::quarantined) {
            ++counters.quarantined;
            return unavailable(this->quarantine_left(received, steady_clock::now()));
        }
        ++counters.refused;
        return unavailable(retry_after(this->time_until_free(context), random_draw()));
    case final_status::timed_out:
        ++counters.timed_out;
        return net::make_response(http::status::gateway_timeout);
    case final_status::lost:
        break;
    }
    ++counters.failed;
    return net::make_response(http::status::bad_gateway);
}

net::task<net::response> outbound_router::send_with_retries(net::request& received, request_context& context)
{
    next_step step = next_step::redirect;
    while (step != next_step::finish) {
        const time_point now = steady_clock::now();
        const auto chosen = this->pick_endpoint(context, received.body().size(), now);
        if (!chosen) {
            break;
        }
        std::string node = chosen->endpoint->node;
        target_call call;
        call.service = context.service;
        call.route = context.route->name;
        call.priority = queue_rank(routing::rank_of(context.organisation, *context.route), context.is_call);
        call.deadline = context.deadline;
        call.idempotent = context.route->idempotent;
        call.repeatable = this->shared.local_settings.give_up_silent && call.idempotent &&
                          context.state.dispatches + 1 < context.state.max_dispatches &&
                          retry_budget_of(this->shared, context.service).has_retry();
        call.caller = context.caller;
        call.max_wait = max_queue_wait(*chosen, now, context.deadline);
        target_call_result call_result = co_await this->send_attempt(received, node, call, context);
        context.state.refused_because = cause_of_refusal(call_result.wait, call.max_wait);
        // An endpoint that is busier than others has reported its load and can be the best one again.
        if (call_result.outcome != attempt_outcome::refused ||
            context.state.refused_because != refusal_cause::slower_than_others) {
            context.tried.push_back(node);
        }
        step = this->handle_result(received, context, node, std::move(call_result));
    }
    co_return this->make_final_response(received, context);
}

} // namespace pomeloloft::sidecar
