#include "pomeloloft/sidecar/entry.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/beast/http/rfc7230.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/random.hpp"

namespace pomeloloft::sidecar {
namespace {

namespace http = net::http;

/// Told to callers that come while no configuration is known.
constexpr milliseconds retry_after_no_config{500};
/// Told to callers of a request that crashes targets; sightings are forgotten after a while.
constexpr milliseconds retry_after_suspect{5000};
/// Told to callers that come while the process ends: another sidecar can serve them at once.
constexpr milliseconds retry_after_leaving{50};

/// Removes what concerns one connection only, and names used between sidecars.
template <typename Message>
void erase_hop_headers(Message& message)
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

std::optional<milliseconds> time_left_in(const net::request& received, const std::string& header)
{
    const auto text = received[header];
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || value < 0 || value > 1e9) {
        return std::nullopt;
    }
    return milliseconds(static_cast<std::int64_t>(value));
}

net::response unavailable(milliseconds retry_after)
{
    net::response out = net::make_response(http::status::service_unavailable);
    constexpr double ms_per_s = 1000.0;
    std::array<char, 32> text{};
    const auto written =
        std::to_chars(text.data(), text.data() + text.size(),
                      static_cast<double>(retry_after.count()) / ms_per_s, std::chars_format::fixed, 3);
    out.set(http::field::retry_after, std::string_view(text.data(), written.ptr - text.data()));
    return out;
}

std::uint64_t fingerprint(const net::request& received)
{
    const auto target = received.target();
    return fingerprint_of(net::header_text(received, http::field::host), {target.data(), target.size()},
                          received.body());
}

bool is_server_error(const net::response& answer)
{
    return to_status_class(answer.result()) == http::status_class::server_error;
}

} // namespace

/// One request on its way.
struct entry_router::journey {
    std::shared_ptr<const routing::route_table> table;
    const routing::route* route = nullptr;
    std::string service;
    time_point started;
    time_point deadline;
    /// Until when an answer is worth most to the caller.
    time_point aim;
    std::vector<std::string> tried;
    journey_state state;
    /// The last answer of a target.
    std::optional<net::response> kept;
    /// Shortest expected wait that an endpoint told; zero when none did.
    milliseconds least_wait{0};
};

entry_router::entry_router(board& all, target_gate& own_gate, peer_links& links)
    : shared(all), gate(own_gate), peers(links)
{
    constexpr double kbit_per_kb = 8.0;
    const double mbps = std::max(all.own.link_mbps, 1U);
    this->options.peer_ms_per_kb = kbit_per_kb / mbps;
}

bool entry_router::is_refused_as_suspect(const net::request& received, time_point now) const
{
    return !this->shared.suspects.empty() && this->shared.suspects.refuses(fingerprint(received), now);
}

void entry_router::note_suspicion(const net::request& received, const std::string& node,
                                  const try_result& ended)
{
    if (ended.broke_target) {
        this->shared.suspects.add({fingerprint(received), node}, steady_clock::now());
    } else if (ended.outcome == try_outcome::answered && !this->shared.suspects.empty()) {
        this->shared.suspects.clear(fingerprint(received));
    }
}

void entry_router::log_failed_try(const net::request& received, const journey& j, const std::string& node,
                                  const try_result& ended)
{
    const time_point now = steady_clock::now();
    if (!this->failed_try_lines.try_acquire(now)) {
        return;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(now - j.started);
    log_info("try-failed", {{"request", net::header_text(received, this->shared.own.headers.request_id)},
                            {"route", j.route->name},
                            {"endpoint", node},
                            {"outcome", name_of(try_outcome_names, ended.outcome)},
                            {"detail", ended.detail},
                            {"waited_ms", static_cast<std::int64_t>(waited.count())},
                            {"arrivals", static_cast<std::uint64_t>(j.state.arrivals)},
                            {"suppressed", this->failed_try_lines.take_suppressed()}});
}

void entry_router::log_unserved(const net::request& received, const journey& j)
{
    const time_point now = steady_clock::now();
    if (!this->unserved_lines.try_acquire(now)) {
        return;
    }
    const auto found = this->shared.endpoints.find(j.service);
    const std::size_t endpoints = found == this->shared.endpoints.end() ? 0 : found->second.candidates.size();
    log_info("request-unserved",
             {{"request", net::header_text(received, this->shared.own.headers.request_id)},
              {"route", j.route->name},
              {"service", j.service},
              {"last", name_of(try_outcome_names, j.state.last)},
              {"arrivals", static_cast<std::uint64_t>(j.state.arrivals)},
              {"redirects", static_cast<std::uint64_t>(j.state.redirects)},
              {"endpoints", static_cast<std::uint64_t>(endpoints)},
              {"left_ms", static_cast<std::int64_t>(remaining(j.deadline, now).count())},
              {"suppressed", this->unserved_lines.take_suppressed()}});
}

net::task<net::reply> entry_router::answer(net::request& received)
{
    const std::string id(net::header_text(received, this->shared.own.headers.request_id));
    net::response out = co_await this->route(received);
    if (!id.empty()) {
        out.set(this->shared.own.headers.request_id, id);
    }
    co_return net::reply{std::move(out)};
}

net::task<net::response> entry_router::route(net::request& received)
{
    journey j;
    j.table = routes_of(this->shared);
    const bool leaves = steady_clock::now() >= this->shared.callers_refused_from;
    if (!j.table || leaves) {
        ++this->shared.counters.refused;
        co_return unavailable(leaves ? retry_after_leaving : retry_after_no_config);
    }
    const auto target = received.target();
    j.route = routing::match_route(*j.table, net::header_text(received, http::field::host),
                                   {target.data(), target.size()});
    if (j.route == nullptr) {
        ++this->shared.counters.not_found;
        co_return net::make_response(http::status::not_found);
    }
    j.service = this->splits.pick(*j.route);
    j.started = steady_clock::now();
    const header_names& names = this->shared.own.headers;
    const milliseconds told = time_left_in(received, names.time_left).value_or(j.route->timeout);
    j.deadline = j.started + std::min(told, j.route->timeout);
    j.aim = j.started + j.route->target_latency;
    erase_hop_headers(received);
    erase_peer_headers(received);
    received.set(names.caller_service, this->shared.own.service);
    received.version(11);
    received.prepare_payload();
    if (this->is_refused_as_suspect(received, j.started)) {
        ++this->shared.counters.quarantined;
        co_return unavailable(retry_after_suspect);
    }
    j.state.idempotent = j.route->idempotent;
    j.state.max_arrivals = j.route->max_attempts;
    budget_of(this->shared, j.service).deposit();
    this->shared.link.note(received.body().size(), j.started);
    net::response out = co_await this->serve(received, j);
    erase_hop_headers(out);
    out.prepare_payload();
    this->shared.link.note(out.body().size(), steady_clock::now());
    co_return out;
}

net::task<try_result> entry_router::try_on(net::request& sent, const journey& j, std::size_t position,
                                           target_call call)
{
    const endpoint_list& list = this->shared.endpoints[j.service];
    const candidate chosen = list.candidates[position];
    const net::tcp::endpoint address = list.addresses[position];
    endpoint_load& load = *chosen.load;
    struct in_flight {
        endpoint_load& load;
        explicit in_flight(endpoint_load& counted) : load(counted)
        {
            ++this->load.in_flight;
            ++this->load.sent_since;
        }
        ~in_flight() { --this->load.in_flight; }
    } counted(load);
    try_result out;
    if (chosen.own) {
        out = co_await this->gate.serve(sent, call);
        note_load(load, this->gate.report(), steady_clock::now());
    } else {
        out = co_await this->peers.forward(sent, chosen, address, call);
    }
    if (out.outcome == try_outcome::unavailable || out.outcome == try_outcome::lost || out.peer_silent) {
        note_failure(load, steady_clock::now(), this->options);
    } else if (out.outcome == try_outcome::answered) {
        note_success(load);
    }
    co_return out;
}

std::optional<std::size_t> entry_router::pick(journey& j, std::size_t body_bytes, time_point now)
{
    const auto found = this->shared.endpoints.find(j.service);
    if (now >= j.deadline || found == this->shared.endpoints.end()) {
        return std::nullopt;
    }
    const std::vector<candidate>& all = found->second.candidates;
    chosen_endpoint chosen = choose({all, j.tried, body_bytes, random_draw(), now}, this->options);
    if (chosen.endpoint == nullptr &&
        (j.state.last_round || j.state.redirects == 0 || j.state.arrivals > 0)) {
        return std::nullopt;
    }
    if (chosen.endpoint == nullptr || has_searched(j.state, j.started, j.aim, now)) {
        // Every endpoint asked is busy: take the one with the shortest queue and wait there.
        j.state.last_round = true;
        j.tried.clear();
        chosen = choose({all, {}, body_bytes, random_draw(), now}, this->options);
    }
    if (chosen.endpoint == nullptr) {
        return std::nullopt;
    }
    j.state.last_round = j.state.last_round || is_busy_everywhere(chosen.wait, j.started, j.aim);
    j.tried.push_back(chosen.endpoint->node);
    return static_cast<std::size_t>(chosen.endpoint - all.data());
}

next_step entry_router::note_end(const net::request& sent, journey& j, try_result ended)
{
    const std::string& node = j.tried.back();
    const bool answered = ended.outcome == try_outcome::answered;
    j.least_wait = j.least_wait.count() == 0 ? ended.wait : std::min(j.least_wait, ended.wait);
    note_try(j.state, ended.outcome, answered && is_server_error(ended.answer));
    this->note_suspicion(sent, node, ended);
    const bool expected =
        answered || ended.outcome == try_outcome::refused || ended.outcome == try_outcome::cancelled;
    if (!expected) {
        this->log_failed_try(sent, j, node, ended);
    }
    if (answered) {
        j.kept = std::move(ended.answer);
    }
    const next_step step = decide_next(j.state, steady_clock::now(), j.deadline);
    if (step == next_step::redirect) {
        ++this->shared.counters.redirected;
    }
    if (step != next_step::retry) {
        return step;
    }
    if (!budget_of(this->shared, j.service).withdraw(retry_cost(j.state.last))) {
        return next_step::finish;
    }
    ++this->shared.counters.retried;
    return step;
}

net::response entry_router::conclude(const net::request& received, journey& j)
{
    request_counters& counters = this->shared.counters;
    if (j.kept) {
        ++counters.answered;
        return std::move(*j.kept);
    }
    if (j.state.last == try_outcome::cancelled) {
        // The caller has left: nobody reads this answer.
        ++counters.cancelled;
        return net::make_response(http::status::bad_gateway);
    }
    this->log_unserved(received, j);
    switch (final_answer(j.state, steady_clock::now(), j.deadline)) {
    case final_status::not_run:
        ++counters.refused;
        return unavailable(retry_after(j.least_wait, random_draw()));
    case final_status::timed_out:
        ++counters.timed_out;
        return net::make_response(http::status::gateway_timeout);
    case final_status::lost:
        break;
    }
    ++counters.failed;
    return net::make_response(http::status::bad_gateway);
}

net::task<net::response> entry_router::serve(net::request& received, journey& j)
{
    next_step step = next_step::redirect;
    while (step != next_step::finish) {
        const time_point now = steady_clock::now();
        const auto position = this->pick(j, received.body().size(), now);
        if (!position) {
            break;
        }
        target_call call;
        call.service = j.service;
        call.priority = j.route->priority;
        call.deadline = j.deadline;
        call.idempotent = j.route->idempotent;
        call.max_wait = longest_wait(j.state.last_round, j.started, j.aim, now);
        try_result ended = co_await this->try_on(received, j, *position, call);
        step = this->note_end(received, j, std::move(ended));
    }
    co_return this->conclude(received, j);
}

} // namespace pomeloloft::sidecar
