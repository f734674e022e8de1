#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/parse_number.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/peers.hpp"
#include "pomeloloft/sidecar/random.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds fence_timeout{150};
/// Bodies larger than this are sent only after `100 Continue`; for a smaller body the round trip costs more
/// than the transfer.
constexpr std::size_t min_offered_body_bytes = 8U << 10U;
/// Time beyond the longest queue wait in which a peer accepts or refuses a body; if it does not respond,
/// other endpoints are tried.
constexpr milliseconds offer_timeout{600};
/// Time beyond the deadline in which the peer's own timeout response may arrive.
constexpr milliseconds timeout_response_margin{40};

template <typename Message, typename Number>
Number header_number(const Message& message, const char* name, Number fallback)
{
    return parse_number<Number>(net::header_text(message, name)).value_or(fallback);
}

std::string encode_load(const load_report& load)
{
    return std::to_string(load.running) + ' ' + std::to_string(load.waiting) + ' ' +
           std::to_string(load.slots) + ' ' + std::to_string(load.service_us) + ' ' +
           std::to_string(load.link_ms) + ' ' + std::to_string(load.failed_percent) + ' ' +
           std::to_string(load.rejected_percent);
}

std::optional<load_report> decode_load(std::string_view text)
{
    load_report out;
    const char* at = text.data();
    const char* end = at + text.size();
    for (std::uint32_t* field : {&out.running, &out.waiting, &out.slots, &out.service_us, &out.link_ms,
                                 &out.failed_percent, &out.rejected_percent}) {
        while (at != end && *at == ' ') {
            ++at;
        }
        if (at == end && field == &out.rejected_percent) {
            // Sidecars of earlier versions do not send the rejected share.
            break;
        }
        const auto parsed = std::from_chars(at, end, *field);
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        at = parsed.ptr;
    }
    return out;
}

/// Identifies the process that a node is known to run (`NODE INCARNATION`); empty for an unknown node.
std::string process_name(const member_table& members, const std::string& node)
{
    const member* known = find_member(members, node);
    return known == nullptr ? std::string{} : node + ' ' + std::to_string(known->incarnation);
}

/// Whether a process name belongs to another node.
bool is_for_other_node(std::string_view process, const std::string& node)
{
    return process.substr(0, process.find(' ')) != node;
}

void erase_peer_headers(net::response& response)
{
    response.erase(peer_header::outcome);
    response.erase(peer_header::wait);
    response.erase(peer_header::crash);
    response.erase(peer_header::load);
    response.erase(peer_header::held);
    response.erase(peer_header::config);
}

/// Records the network time of an exchange that took `elapsed`.
/// @param transfer_time time to transfer the request's body, which does not count.
void record_held_time(endpoint_load& load, const net::response& response, steady_clock::duration elapsed,
                      milliseconds transfer_time)
{
    using std::chrono::microseconds;
    const auto held = parse_number<std::int64_t>(net::header_text(response, peer_header::held));
    if (held && *held >= 0) {
        const auto elapsed_us = std::chrono::duration_cast<microseconds>(elapsed);
        record_network_time(load, elapsed_us - microseconds(*held) - transfer_time);
    }
}

void set_call_headers(net::request& sent, const target_call& call, time_point now)
{
    sent.set(peer_header::service, call.service);
    sent.set(peer_header::priority, std::to_string(call.priority));
    sent.set(peer_header::max_wait, std::to_string(call.max_wait.count()));
    sent.set(peer_header::time_left, std::to_string(remaining(call.deadline, now).count()));
    sent.set(peer_header::idempotent, call.idempotent ? "1" : "0");
}

} // namespace

net::task<target_call_result> peer_links::forward(net::request& sent, const candidate& to,
                                                  net::tcp::endpoint address, target_call call)
{
    const std::string node = to.node;
    const bool to_same_data_centre = to.same_data_centre;
    endpoint_load& load = *to.load;
    target_call_result out;
    auto connected = co_await this->pool.acquire(address, call.deadline);
    if (!connected) {
        if (connected.error().code == pomeloloft::error_code::cancelled) {
            out.outcome = attempt_outcome::cancelled;
            co_return out;
        }
        this->shared.unreachable_peers.insert(node);
        out.detail = "cannot connect to the peer";
        co_return out;
    }
    const dispatch_verdict verdict =
        decide_dispatch(sent, call, this->shared.suspects, this->shared.local_settings.headers);
    if (verdict != dispatch_verdict::send) {
        this->pool.release(address, std::move(connected.value()));
        out.outcome = outcome_of(verdict);
        co_return out;
    }
    sent_attempt attempt;
    attempt.process = process_name(this->shared.members, node);
    if (!call.idempotent) {
        attempt.id = to_hex(random_draw()) + to_hex(random_draw());
    }
    const time_point now = steady_clock::now();
    set_call_headers(sent, call, now);
    sent.set(peer_header::attempt, attempt.id);
    sent.set(peer_header::process, attempt.process);
    sent.set(peer_header::config, std::to_string(config_version(this->shared)));
    net::exchange_options options;
    options.deadline = call.deadline + timeout_response_margin;
    options.id_header = this->shared.local_settings.headers.request_id;
    if (sent.body().size() > min_offered_body_bytes) {
        sent.set(net::http::field::expect, "100-continue");
        options.wait_for_continue = true;
        options.continue_deadline = now + call.max_wait + offer_timeout;
    }
    net::exchange_result completed = co_await net::exchange(*connected.value(), sent, options);
    sent.erase(net::http::field::expect);
    if (completed.end == net::exchange_end::cancelled) {
        out.outcome = attempt_outcome::cancelled;
        co_return out;
    }
    if (completed.end != net::exchange_end::answered) {
        this->pool.discard(address);
        if (completed.body_withheld) {
            out.detail = "peer did not respond to the Expect: 100-continue header";
            out.peer_timed_out = true;
            co_return out;
        }
        const bool timed_out = completed.end == net::exchange_end::timed_out;
        out.outcome = timed_out ? attempt_outcome::timed_out : attempt_outcome::lost;
        if (!call.idempotent) {
            out = co_await this->resolve_lost_attempt(address, attempt, timed_out);
        }
        out.peer_timed_out = timed_out;
        out.detail = connected.value()->reused ? "reused connection to the peer ended"
                                               : "connection to the peer ended";
        co_return out;
    }
    if (completed.reusable) {
        this->pool.release(address, std::move(connected.value()));
    }
    this->shared.unreachable_peers.erase(node);
    net::response& response = completed.response;
    const std::size_t sent_bytes = completed.body_withheld ? 0 : sent.body().size();
    this->shared.control.record_request(!to_same_data_centre, sent_bytes + response.body().size());
    if (const auto report = decode_load(net::header_text(response, peer_header::load))) {
        apply_load_report(load, *report, steady_clock::now());
    }
    if (!options.wait_for_continue) {
        record_held_time(load, response, steady_clock::now() - now, this->bodies.transfer_time(sent_bytes));
    }
    this->feed.handle_announced_version(node, net::header_text(response, peer_header::config));
    out.outcome = value_of(attempt_outcome_names, net::header_text(response, peer_header::outcome))
                      .value_or(attempt_outcome::lost);
    out.crash = net::header_text(response, peer_header::crash);
    out.wait = milliseconds(header_number<net::response, int>(response, peer_header::wait, 0));
    erase_peer_headers(response);
    out.response = std::move(response);
    co_return out;
}

net::task<target_call_result> peer_links::resolve_lost_attempt(net::tcp::endpoint address, sent_attempt sent,
                                                               bool timed_out)
{
    target_call_result out;
    const attempt_state state = co_await this->fence_attempt(address, std::move(sent));
    out.outcome = timed_out ? attempt_outcome::timed_out : attempt_outcome::lost;
    if (state == attempt_state::fenced) {
        out.outcome = attempt_outcome::unavailable;
    }
    co_return out;
}

net::task<attempt_state> peer_links::fence_attempt(net::tcp::endpoint address, sent_attempt attempt)
{
    // An idle connection may be unresponsive for the same reason as the lost one, so the request uses a new
    // one.
    const time_point deadline = steady_clock::now() + fence_timeout;
    auto connected = co_await this->pool.connect(address, deadline);
    if (!connected) {
        co_return attempt_state::started;
    }
    net::request sent{net::http::verb::post, peer_header::fence_path, 11};
    sent.set(peer_header::attempt, attempt.id);
    sent.set(peer_header::process, attempt.process);
    sent.prepare_payload();
    net::exchange_options options;
    options.deadline = deadline;
    const net::exchange_result completed = co_await net::exchange(*connected.value(), sent, options);
    if (completed.end != net::exchange_end::answered ||
        completed.response.result() != net::http::status::ok) {
        co_return attempt_state::started;
    }
    co_return value_of(attempt_state_names, completed.response.body()).value_or(attempt_state::started);
}

struct peer_links::forwarded {
    target_call call;
    std::string attempt;
    std::string request_id;
    bool addressed_here = false;
};

peer_links::forwarded peer_links::read_forwarded(const net::request& received) const
{
    forwarded out;
    out.call.service = net::header_text(received, peer_header::service);
    out.call.priority = header_number<net::request, std::uint32_t>(received, peer_header::priority, 0);
    out.call.max_wait = milliseconds(header_number<net::request, int>(received, peer_header::max_wait, 0));
    const int time_left_ms = header_number<net::request, int>(received, peer_header::time_left, 0);
    out.call.deadline = std::min(steady_clock::now() + milliseconds(time_left_ms), this->shared.serve_until);
    out.call.idempotent = received[peer_header::idempotent] == "1";
    out.attempt = net::header_text(received, peer_header::attempt);
    out.request_id = net::header_text(received, this->shared.local_settings.headers.request_id);
    out.addressed_here = !is_for_other_node(net::header_text(received, peer_header::process),
                                            this->shared.local_settings.node);
    return out;
}

net::response peer_links::make_response_to_peer(const std::string& request_id,
                                                target_call_result call_result) const
{
    const time_point now = steady_clock::now();
    net::response out = call_result.outcome == attempt_outcome::answered
                            ? std::move(call_result.response)
                            : net::make_response(net::http::status::ok);
    if (out.need_eof()) {
        // The connection also ends when this process is killed, so its end must not mark that of the body.
        out.prepare_payload();
    }
    out.set(this->shared.local_settings.headers.request_id, request_id);
    out.set(peer_header::outcome, std::string(name_of(attempt_outcome_names, call_result.outcome)));
    if (!call_result.crash.empty()) {
        out.set(peer_header::crash, call_result.crash);
    }
    out.set(peer_header::wait, std::to_string(call_result.wait.count()));
    load_report report = this->gate.report();
    report.waiting += this->bodies.count();
    const auto backlog_ms = static_cast<std::uint32_t>(this->bodies.expected_wait().count());
    report.link_ms = std::max(this->shared.link.wait_ms(now), backlog_ms);
    out.set(peer_header::load, encode_load(report));
    out.set(peer_header::config, std::to_string(config_version(this->shared)));
    return out;
}

std::optional<target_call_result> peer_links::find_body_refusal(const forwarded& forwarded_request,
                                                                std::uint64_t body_bytes) const
{
    const time_point now = steady_clock::now();
    if (!forwarded_request.addressed_here || now >= this->shared.peers_refused_from) {
        return target_call_result{};
    }
    if (auto refused = this->gate.find_early_refusal(forwarded_request.call, this->bodies.count())) {
        return refused;
    }
    const milliseconds wait = this->bodies.expected_wait();
    const time_point arrival = now + wait + this->bodies.transfer_time(body_bytes);
    if (wait <= forwarded_request.call.max_wait &&
        arrival <= this->gate.latest_start_of(forwarded_request.call)) {
        return std::nullopt;
    }
    target_call_result refused;
    refused.outcome = attempt_outcome::refused;
    refused.wait = wait;
    return refused;
}

net::task<net::expect_continue_decision> peer_links::screen_body(net::request& header,
                                                                 std::uint64_t body_bytes)
{
    net::expect_continue_decision out;
    const forwarded forwarded_request = this->read_forwarded(header);
    std::optional<target_call_result> refused = this->find_body_refusal(forwarded_request, body_bytes);
    if (!refused) {
        // The sender times out slightly later, so that it still receives the refusal.
        const time_point wait_deadline = steady_clock::now() + forwarded_request.call.max_wait;
        const time_point latest_transfer =
            this->gate.latest_start_of(forwarded_request.call) - this->bodies.transfer_time(body_bytes);
        out.body_reservation =
            co_await this->bodies.admit(body_bytes, std::min(wait_deadline, latest_transfer));
    }
    if (!out.body_reservation) {
        if (!refused) {
            refused.emplace();
            refused->outcome = attempt_outcome::refused;
            refused->wait = this->bodies.expected_wait();
        }
        out.refusal = this->make_response_to_peer(forwarded_request.request_id, std::move(*refused));
    }
    co_return out;
}

net::task<net::reply> peer_links::serve_forwarded(net::request& received, net::client_watch& sender)
{
    const time_point arrived = steady_clock::now();
    forwarded forwarded_request = this->read_forwarded(received);
    forwarded_request.call.caller = &sender;
    const std::string& attempt = forwarded_request.attempt;
    if (received.find(net::http::field::expect) != received.end()) {
        // The body has been transferred and would have to be transferred again to another endpoint.
        forwarded_request.call.max_wait = remaining(forwarded_request.call.deadline, steady_clock::now());
    }
    for (const char* name :
         {peer_header::service, peer_header::priority, peer_header::max_wait, peer_header::time_left,
          peer_header::idempotent, peer_header::attempt, peer_header::process, peer_header::config}) {
        received.erase(name);
    }
    received.erase(net::http::field::expect);
    target_call_result call_result;
    const bool is_new_attempt =
        attempt.empty() || (this->attempts.record_arrival(attempt) && this->attempts.begin(attempt));
    const bool shutting_down = steady_clock::now() >= this->shared.peers_refused_from;
    const bool may_run = forwarded_request.addressed_here && is_new_attempt && !shutting_down;
    if (may_run) {
        call_result = co_await this->gate.serve(received, forwarded_request.call);
    }
    if (!attempt.empty()) {
        this->attempts.finish(attempt, !was_withheld(call_result.outcome));
    }
    this->shared.link.record(received.body().size() + call_result.response.body().size(),
                             steady_clock::now());
    net::reply out{this->make_response_to_peer(forwarded_request.request_id, std::move(call_result))};
    const auto held = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - arrived);
    out.response.set(peer_header::held, std::to_string(held.count()));
    co_return out;
}

net::reply peer_links::serve_fence(const net::request& received)
{
    if (received[peer_header::process] !=
        process_name(this->shared.members, this->shared.local_settings.node)) {
        return {net::make_response(net::http::status::misdirected_request)};
    }
    const attempt_state state =
        this->attempts.fence(std::string(net::header_text(received, peer_header::attempt)), true);
    return {net::make_response(net::http::status::ok, std::string(name_of(attempt_state_names, state)))};
}

} // namespace pomeloloft::sidecar
