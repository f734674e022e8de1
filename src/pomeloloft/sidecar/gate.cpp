#include "pomeloloft/sidecar/gate.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/silence.hpp"

namespace pomeloloft::sidecar {
namespace {

/// The target is on the same VM: a connection that is not accepted within this time is unlikely to be
/// accepted later.
constexpr milliseconds connect_timeout{250};
/// Time before an unreachable target is tried again.
constexpr milliseconds reconnect_pause{250};
/// A target that responded within this time counts as reachable even if it accepts no further connection.
constexpr milliseconds recent_response_window{500};
/// Maximum idle time of a connection that carries a non-idempotent request. Targets may close idle
/// connections early, and a request sent on a connection that is being closed counts as possibly run.
constexpr milliseconds max_idle_non_idempotent{1000};
constexpr milliseconds max_idle_idempotent{5000};
/// Weight of one response in the failure and rejection ratios: a target that starts to fail is recognised
/// after a few responses.
constexpr double ratio_sample_weight = 0.1;

/// Routes whose service times are kept.
constexpr std::size_t max_timed_routes = 1024;

net::client_options target_pool_options()
{
    net::client_options out;
    out.connect_timeout = connect_timeout;
    out.max_idle = max_idle_idempotent;
    return out;
}

net::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto parsed = net::parse_endpoint(address, "target address");
    return parsed ? parsed.value() : net::tcp::endpoint{};
}

slot_request request_of(const target_call& call)
{
    return {call.priority, call.deadline, call.max_wait};
}

void add_sample(double& ratio, bool counts)
{
    ratio += ((counts ? 1.0 : 0.0) - ratio) * ratio_sample_weight;
}

/// Counts an exchange as in progress during its lifetime.
class in_progress_scope {
public:
    in_progress_scope(std::multiset<time_point>& exchanges, time_point started)
        : all(exchanges), entry(exchanges.insert(started))
    {}
    in_progress_scope(const in_progress_scope&) = delete;
    in_progress_scope& operator=(const in_progress_scope&) = delete;
    ~in_progress_scope() { this->all.erase(this->entry); }

private:
    std::multiset<time_point>& all;
    std::multiset<time_point>::iterator entry;
};

/// Lists a run as in progress during its lifetime.
class run_scope {
public:
    run_scope(runs_in_progress& runs, const target_call& call)
        : all(runs), entry(runs.emplace(call.deadline, call.route))
    {}
    run_scope(const run_scope&) = delete;
    run_scope& operator=(const run_scope&) = delete;
    ~run_scope() { this->all.erase(this->entry); }

private:
    runs_in_progress& all;
    runs_in_progress::iterator entry;
};

bool is_server_error(const net::response& response)
{
    return to_status_class(response.result()) == net::http::status_class::server_error;
}

/// Whether the sender may send the request to this target again.
bool may_be_sent_again(const target_call_result& ended)
{
    return ended.outcome == attempt_outcome::rejected ||
           (ended.outcome == attempt_outcome::answered && is_server_error(ended.response));
}

} // namespace

struct target_gate::waiter {
    waiter(net::event_loop& loop, const slot_request& requested_slot)
        : request(requested_slot), ready(loop.get_executor())
    {}

    slot_request request;
    net::timer ready;
    bool granted = false;
};

/// Releases a slot when the request that occupied it ends.
class target_gate::slot {
public:
    explicit slot(target_gate& from) : gate(from) {}
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot()
    {
        if (this->may_run_until > steady_clock::now()) {
            net::spawn(this->gate.loop, this->gate.hold_slot(this->may_run_until), "hold-slot");
        } else {
            this->gate.release_slot();
        }
    }

    /// Time until which the run may go on after the request has ended.
    time_point may_run_until;

private:
    target_gate& gate;
};

target_gate::target_gate(net::event_loop& io_loop, const settings& settings, crash_suspects& crash_suspects)
    : loop(io_loop), local_settings(settings), suspects(crash_suspects),
      address(endpoint_of(settings.target_address)), pool(io_loop, target_pool_options())
{}

std::uint32_t target_gate::queued_ahead_of(const slot_request& requested_slot) const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(), [&requested_slot](const waiter* w) {
            return !is_served_before(requested_slot, w->request);
        }));
}

gate_snapshot target_gate::snapshot(const slot_request& requested_slot, const std::string& route) const
{
    // Short calls and long runs may share a target: whether a run can end in time depends on its route.
    const auto of_route = this->route_times.find(route);
    const service_time_estimate& own_time =
        of_route == this->route_times.end() ? this->service_time : of_route->second;
    gate_snapshot out{this->target.slots, this->running, this->queued_ahead_of(requested_slot),
                      this->service_time.mean(), own_time.upper_bound()};
    if (!this->waiting.empty()) {
        out.queued_for =
            std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - this->queued_since);
    }
    return out;
}

time_point target_gate::latest_start_of(const target_call& call) const
{
    const slot_request requested_slot = request_of(call);
    return latest_start(this->snapshot(requested_slot, call.route), requested_slot);
}

load_report target_gate::report() const
{
    constexpr double percent = 100.0;
    const bool open = may_dispatch(this->target, steady_clock::now()) && this->target_reachable;
    return {this->running,
            static_cast<std::uint32_t>(this->waiting.size()),
            open ? this->target.slots : 0,
            static_cast<std::uint32_t>(this->service_time.mean().count()),
            0,
            static_cast<std::uint32_t>(this->failure_ratio * percent),
            static_cast<std::uint32_t>(this->rejection_ratio * percent)};
}

void target_gate::grant_slots()
{
    while (this->running < this->target.slots && !this->waiting.empty()) {
        const auto first = std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [](const waiter* a, const waiter* b) { return is_served_before(a->request, b->request); });
        waiter* next = *first;
        this->waiting.erase(first);
        next->granted = true;
        ++this->running;
        next->ready.cancel();
    }
}

void target_gate::release_slot()
{
    --this->running;
    this->grant_slots();
}

void target_gate::update_failure_ratios(const target_call_result& call_result)
{
    if (call_result.outcome == attempt_outcome::timed_out ||
        call_result.outcome == attempt_outcome::cancelled) {
        return;
    }
    // A gateway timeout is caused by the caller's deadline and does not count as a failure of the target.
    const bool is_failed_response = call_result.outcome == attempt_outcome::answered &&
                                    is_server_error(call_result.response) &&
                                    call_result.response.result() != net::http::status::gateway_timeout;
    add_sample(this->failure_ratio, is_failed_response || call_result.outcome == attempt_outcome::lost);
    add_sample(this->rejection_ratio, call_result.outcome == attempt_outcome::rejected);
}

void target_gate::handle_target_change()
{
    this->failure_ratio = 0;
    this->rejection_ratio = 0;
    this->next_connect_at = {};
    this->set_reachable(true);
    this->grant_slots();
}

void target_gate::set_reachable(bool now_reachable)
{
    if (!now_reachable) {
        this->next_connect_at = steady_clock::now() + reconnect_pause;
    }
    if (this->target_reachable == now_reachable) {
        return;
    }
    this->target_reachable = now_reachable;
    if (this->on_reachable) {
        this->on_reachable(now_reachable);
    }
}

net::task<bool> target_gate::wait_for_slot(target_call call)
{
    waiter self(this->loop, request_of(call));
    // Removes the waiter from the queue, or releases its slot, when the wait is cancelled.
    struct queue_guard {
        target_gate& gate;
        waiter& self;
        bool slot_taken = false;
        ~queue_guard()
        {
            if (this->slot_taken) {
                return;
            }
            if (this->self.granted) {
                this->gate.release_slot();
                return;
            }
            this->gate.waiting.remove(&this->self);
        }
    } guard{*this, self};
    this->queued_since = this->waiting.empty() ? steady_clock::now() : this->queued_since;
    this->waiting.push_back(&self);
    self.ready.expires_at(this->latest_start_of(call));
    co_await self.ready.async_wait(net::use_task);
    guard.slot_taken = self.granted;
    co_return self.granted;
}

bool target_gate::accepts(const target_call& call, time_point now) const
{
    const bool is_served_here =
        call.service == this->local_settings.service && may_dispatch(this->target, now);
    return is_served_here && (this->target_reachable || now >= this->next_connect_at);
}

std::optional<target_call_result> target_gate::find_early_refusal(const target_call& call,
                                                                  std::uint32_t bodies_in_transfer) const
{
    target_call_result out;
    const time_point now = steady_clock::now();
    if (!this->accepts(call, now)) {
        return out;
    }
    if (auto refused = this->find_call_refusal(call, now)) {
        return refused;
    }
    const slot_request requested_slot = request_of(call);
    gate_snapshot current = this->snapshot(requested_slot, call.route);
    current.queued_ahead += bodies_in_transfer;
    const admission_verdict verdict = admit_request(current, requested_slot, now);
    if (verdict == admission_verdict::run || verdict == admission_verdict::wait) {
        return std::nullopt;
    }
    out.outcome = attempt_outcome::refused;
    out.wait = std::chrono::ceil<milliseconds>(expected_wait(current));
    return out;
}

net::task<target_call_result> target_gate::serve(net::request& sent, target_call call)
{
    target_call_result out;
    time_point now = steady_clock::now();
    if (!this->accepts(call, now)) {
        co_return out;
    }
    if (auto refused = this->find_call_refusal(call, now)) {
        ++this->counters.refused_for_calls;
        co_return std::move(*refused);
    }
    const slot_request requested_slot = request_of(call);
    const gate_snapshot current = this->snapshot(requested_slot, call.route);
    const admission_verdict verdict = admit_request(current, requested_slot, now);
    out.wait = std::chrono::ceil<milliseconds>(expected_wait(current));
    out.outcome = attempt_outcome::refused;
    if (verdict == admission_verdict::run) {
        ++this->running;
    } else {
        if (verdict != admission_verdict::wait) {
            co_return out;
        }
        const bool granted = co_await this->wait_for_slot(call);
        if (!granted) {
            co_return out;
        }
    }
    slot occupied_slot(*this);
    now = steady_clock::now();
    if (now >= call.deadline) {
        co_return out;
    }
    if (!may_dispatch(this->target, now)) {
        out.outcome = attempt_outcome::unavailable;
        co_return out;
    }
    out = co_await this->send(sent, call);
    occupied_slot.may_run_until = out.may_run_until;
    co_return out;
}

attempt_outcome target_gate::handle_connect_failure(const error& failure, time_point deadline)
{
    const time_point now = steady_clock::now();
    if (failure.code == pomeloloft::error_code::cancelled) {
        return attempt_outcome::cancelled;
    }
    if (now - this->last_response_at < recent_response_window) {
        // The target responds to other requests but accepts no more connections: it is busy, not unreachable.
        return attempt_outcome::refused;
    }
    if (now < deadline) {
        this->set_reachable(false);
    }
    return attempt_outcome::unavailable;
}

void target_gate::record_response(const std::string& route, time_point started)
{
    const time_point now = steady_clock::now();
    this->last_response_at = now;
    this->liveness.last_alive_at = now;
    const auto run_time = std::chrono::duration_cast<std::chrono::microseconds>(now - started);
    this->service_time.add(run_time);
    if (!route.empty()) {
        if (this->route_times.size() >= max_timed_routes) {
            this->route_times.clear();
        }
        this->route_times[route].add(run_time);
    }
    this->set_reachable(true);
}

net::task<target_call_result> target_gate::send(net::request& sent, const target_call& call)
{
    target_call_result out;
    const milliseconds max_idle = call.idempotent ? max_idle_idempotent : max_idle_non_idempotent;
    const header_names& names = this->local_settings.headers;
    const std::string id(net::header_text(sent, names.request_id));
    const std::uint64_t id_hash = hash_bytes(id);
    // A target may send a response once more, where the next one is expected. The id tells it apart, unless
    // the same request is sent again or has no id.
    const bool needs_new_connection = id.empty() || this->failed_ids.contains(id_hash, steady_clock::now());
    net::task<result<net::connection_ptr>> connecting =
        needs_new_connection ? this->pool.connect(this->address, call.deadline)
                             : this->pool.acquire(this->address, call.deadline, max_idle);
    auto connected = co_await std::move(connecting);
    if (!connected) {
        out.outcome = this->handle_connect_failure(connected.error(), call.deadline);
        co_return out;
    }
    net::connection_ptr target_connection = std::move(connected.value());
    const dispatch_verdict verdict = decide_dispatch(sent, call, this->suspects, names);
    if (verdict != dispatch_verdict::send) {
        this->pool.release(this->address, std::move(target_connection));
        out.outcome = this->withhold(verdict);
        co_return out;
    }
    const time_point started = steady_clock::now();
    sent.set(names.expected_instance, this->target.instance.id);
    sent.set(names.time_left, std::to_string(remaining(call.deadline, started).count()));
    const bool reused = target_connection->reused;
    net::exchange_options options;
    options.deadline =
        give_up_at(started, call.deadline, this->snapshot(request_of(call), call.route).max_service_time,
                   call.repeatable);
    options.id_header = names.request_id;
    net::exchange_result completed;
    {
        const in_progress_scope counted(this->exchanges_in_progress, started);
        const run_scope run(this->runs_at_target, call);
        completed = co_await net::exchange(*target_connection, sent, options);
    }
    if (completed.reusable && !id.empty()) {
        this->pool.release(this->address, std::move(target_connection));
    }
    const net::exchange_end end = completed.end;
    const bool unexplained = end == net::exchange_end::lost && !completed.response_started && !reused;
    out = this->classify_exchange(sent, std::move(completed), reused);
    if (out.outcome == attempt_outcome::timed_out && options.deadline < call.deadline) {
        ++this->counters.given_up;
        out.outcome = attempt_outcome::lost;
        out.detail = "target did not answer in time for a repeat";
        out.may_run_until = call.deadline;
    }
    this->counters.invalid_responses += end == net::exchange_end::malformed ? 1 : 0;
    this->update_failure_ratios(out);
    if (this->on_attempt) {
        this->on_attempt(
            sent, out, std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started));
    }
    if (may_be_sent_again(out)) {
        this->failed_ids.add(id_hash, steady_clock::now());
    }
    if (out.outcome == attempt_outcome::answered) {
        this->record_response(call.route, started);
        this->record_survival(sent, static_cast<int>(out.response.result_int()), steady_clock::now());
    } else if (unexplained) {
        // A target that accepts a connection and ends it without a byte counts as crashed even if it still
        // runs; on a reused connection it may only have closed an idle connection.
        ++this->counters.crashes_on_new_connections;
        out.crash = this->record_crash(fingerprint_of(sent, names), steady_clock::now());
    } else if (end == net::exchange_end::lost || end == net::exchange_end::timed_out) {
        out.crash = co_await this->find_crash(fingerprint_of(sent, names), started,
                                              end == net::exchange_end::timed_out);
    }
    co_return out;
}

net::task<bool> target_gate::try_connect()
{
    auto connected = co_await this->pool.connect(this->address, steady_clock::now() + connect_timeout);
    if (!connected) {
        co_return false;
    }
    this->liveness.last_alive_at = steady_clock::now();
    this->pool.release(this->address, std::move(connected.value()));
    co_return true;
}

} // namespace pomeloloft::sidecar
