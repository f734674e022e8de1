#include "pomeloloft/sidecar/rollout_controller.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds decision_interval{200};
constexpr milliseconds report_timeout{600};
constexpr milliseconds store_timeout{1500};
/// Time for which a node that could not write leaves decisions to others.
constexpr milliseconds store_pause{2000};

bool is_failure(const target_call_result& attempt)
{
    if (attempt.outcome == attempt_outcome::lost) {
        return true;
    }
    // A gateway timeout is caused by the caller's deadline.
    return attempt.outcome == attempt_outcome::answered &&
           to_status_class(attempt.response.result()) == net::http::status_class::server_error &&
           attempt.response.result() != net::http::status::gateway_timeout;
}

bool has_run(const target_call_result& attempt)
{
    return attempt.outcome == attempt_outcome::answered || attempt.outcome == attempt_outcome::lost ||
           attempt.outcome == attempt_outcome::timed_out;
}

std::uint32_t serving_targets(const member_table& members, const std::string& service)
{
    return static_cast<std::uint32_t>(
        std::count_if(members.entries.begin(), members.entries.end(), [&service](const auto& entry) {
            return entry.second.value.service == service && entry.second.value.state == member_state::serving;
        }));
}

} // namespace

rollout_controller::rollout_controller(net::event_loop& io_loop, sidecar_state& process_state,
                                       rollout_store& platform_store, const target_gate& local_gate,
                                       net::client_pool& peers)
    : loop(io_loop), shared(process_state), store(platform_store), gate(local_gate), pool(peers)
{}

const rollout* rollout_controller::own_rollout() const
{
    const auto found = this->shared.rollouts.find(this->shared.local_settings.service);
    return found == this->shared.rollouts.end() || is_final(found->second) ? nullptr : &found->second;
}

bool rollout_controller::may_decide(time_point now) const
{
    return this->shared.self.reaches_store && !this->shared.stopping && now >= this->decides_from;
}

void rollout_controller::record_attempt(const net::request& sent, const target_call_result& attempt,
                                        std::chrono::microseconds taken)
{
    const rollout* current = this->own_rollout();
    if (current == nullptr || !has_run(attempt)) {
        return;
    }
    const std::string& version = this->shared.self.version;
    if (this->counted_order != current->order || this->counted_version != version) {
        this->counted_order = current->order;
        this->counted_version = version;
        this->counted.clear();
    }
    const auto table = routes_of(this->shared);
    const auto target = sent.target();
    const routing::route* route =
        table ? routing::match_route(*table, net::header_text(sent, net::http::field::host),
                                     {target.data(), target.size()})
              : nullptr;
    answer_counts& counts = this->counted[route == nullptr ? std::string{} : route->name];
    ++counts.answers;
    counts.failures += is_failure(attempt) ? 1 : 0;
    if (steady_clock::now() >= this->gate.target.slow_start_until) {
        ++counts.times[time_class_of(taken)];
    }
}

rollout_report rollout_controller::make_report(const rollout& current) const
{
    rollout_report out;
    out.node = this->shared.local_settings.node;
    out.incarnation = this->shared.self.incarnation;
    out.service = current.service;
    out.version = this->shared.self.version;
    out.order = current.order;
    const load_report load = this->gate.report();
    out.in_flight = load.running + load.waiting;
    if (this->counted_order == current.order) {
        out.routes = this->counted;
    }
    return out;
}

void rollout_controller::merge_state(const rollout& incoming)
{
    if (merge_rollouts(this->shared, {incoming}, steady_clock::now()) && this->on_changed) {
        this->on_changed();
    }
}

void rollout_controller::read_orders()
{
    const time_point now = steady_clock::now();
    for (const rollout_order& order : this->store.take_orders()) {
        const auto known = this->shared.rollouts.find(order.service);
        if (known == this->shared.rollouts.end() || known->second.order < order.id) {
            this->merge_state(begin_rollout(order, now));
        }
    }
}

net::task<void> rollout_controller::run()
{
    for (;;) {
        co_await net::sleep_for(decision_interval);
        if (this->shared.stopping) {
            continue;
        }
        this->read_orders();
        const time_point now = steady_clock::now();
        if (this->shared.rebuild_endpoints_at <= now) {
            rebuild_endpoints(this->shared);
        }
        const bool has_target = this->shared.self.state == member_state::serving ||
                                this->shared.self.state == member_state::draining;
        if (this->own_rollout() != nullptr && has_target && !this->reporting && now >= this->next_report_at) {
            this->next_report_at = now + report_interval(this->shared.local_settings.rollback_time);
            this->reporting = true;
            net::spawn(this->loop, this->send_report(), "report-rollout");
        }
        std::erase_if(this->evidence, [this](const auto& known) {
            const auto found = this->shared.rollouts.find(known.first);
            return found != this->shared.rollouts.end() && is_final(found->second);
        });
        for (const auto& [service, known] : this->evidence) {
            this->decide(service, known);
        }
    }
}

net::task<void> rollout_controller::send_report()
{
    struct in_progress {
        bool& flag;
        ~in_progress() { this->flag = false; }
    } guard{this->reporting};
    const rollout* own = this->own_rollout();
    if (own == nullptr) {
        // It has ended since this task was started.
        co_return;
    }
    const rollout current = *own;
    if (this->last_decider != current.decider) {
        this->last_decider = current.decider;
        this->decider_index = 0;
    }
    const auto deciders = rollout_deciders(this->shared.members, current.service, current.decider);
    if (deciders.empty()) {
        co_return;
    }
    const std::string& node = deciders[this->decider_index % deciders.size()];
    const rollout_report report = this->make_report(current);
    if (node == this->shared.local_settings.node) {
        const time_point now = steady_clock::now();
        add_report(this->evidence[current.service], report, now);
        this->decider_index += this->may_decide(now) ? 0 : 1;
        co_return;
    }
    const member* known = find_member(this->shared.members, node);
    const auto address = known == nullptr ? result<net::tcp::endpoint>(error{error_code::not_found, node, ""})
                                          : net::parse_endpoint(known->peer_address, "member " + node);
    bool accepted = false;
    if (address) {
        net::request sent{net::http::verb::post, peer_header::rollout_path, 11};
        sent.body() = encode_report(report);
        sent.prepare_payload();
        const time_point deadline = steady_clock::now() + report_timeout;
        const auto response = co_await this->pool.call(address.value(), std::move(sent), deadline);
        accepted = response.has_value() && response.value().result() == net::http::status::ok;
    }
    ++this->counters.reports_sent;
    if (!accepted) {
        ++this->counters.reports_failed;
        ++this->decider_index;
        this->next_report_at = steady_clock::now();
    }
}

net::reply rollout_controller::serve(const net::request& received)
{
    const auto report = decode_report(received.body());
    if (!report) {
        log_warning("report-ignored", {{"reason", to_string(report.error())}});
        return {net::make_response(net::http::status::bad_request)};
    }
    const time_point now = steady_clock::now();
    add_report(this->evidence[report.value().service], report.value(), now);
    return {net::make_response(this->may_decide(now) ? net::http::status::ok
                                                     : net::http::status::service_unavailable)};
}

void rollout_controller::halt(const rollout& current, const rollout_verdict& found)
{
    ++this->counters.halts;
    log_warning("rollout-halted", {{"service", current.service},
                                   {"version", current.version},
                                   {"reason", name_of(rollout_complaint_names, found.complaint)},
                                   {"route", found.route.empty() ? "all" : found.route},
                                   {"bad", found.next.bad},
                                   {"answers", found.next.answers},
                                   {"bad_before", found.current.bad},
                                   {"answers_before", found.current.answers}});
    rollout halted = current;
    halted.halted = true;
    this->merge_state(halted);
}

void rollout_controller::decide(const std::string& service, const rollout_evidence& known)
{
    const auto found = this->shared.rollouts.find(service);
    if (found == this->shared.rollouts.end() || found->second.order != known.order ||
        is_final(found->second)) {
        return;
    }
    const time_point now = steady_clock::now();
    const rollout_verdict verdict = judge(known, found->second.version, now);
    if (verdict.complaint != rollout_complaint::none && !found->second.halted) {
        // The targets get nothing more from now on, whether or not the store can be written.
        this->halt(found->second, verdict);
    }
    const rollout& current = this->shared.rollouts.at(service);
    const rollout_facts facts{current, verdict.complaint, coverage_of(known, current.version, now),
                              serving_targets(this->shared.members, service),
                              this->shared.local_settings.max_exposed_share};
    const rollout_step step = next_rollout_step(facts, now);
    const bool unchanged = step == rollout_step{current.phase, current.share};
    if (unchanged || this->writing[service] || !this->may_decide(now)) {
        return;
    }
    rollout next = current;
    next.phase = step.phase;
    next.share = step.share;
    next.changed_at = now;
    next.decider = this->shared.local_settings.node;
    this->writing[service] = true;
    net::spawn(this->loop, this->write_step(std::move(next)), "decide-rollout");
}

void rollout_controller::count_failed_write(const std::string& service, const error& failure)
{
    ++this->counters.decisions_failed;
    const time_point now = steady_clock::now();
    this->decides_from = now + store_pause;
    if (this->failure_log_limiter.try_acquire(now)) {
        log_warning("rollout-not-stored", {{"service", service},
                                           {"reason", to_string(failure)},
                                           {"suppressed", this->failure_log_limiter.take_suppressed()}});
    }
}

net::task<void> rollout_controller::write_step(rollout next)
{
    struct in_progress {
        bool& flag;
        ~in_progress() { this->flag = false; }
    } guard{this->writing[next.service]};
    const time_point deadline = steady_clock::now() + store_timeout;
    const auto previous = co_await this->store.read_rollout(next.service, deadline);
    if (!previous) {
        this->count_failed_write(next.service, previous.error());
        co_return;
    }
    const std::optional<rollout>& stored = previous.value().state;
    const bool outdated = stored && (stored->order > next.order ||
                                     (stored->order == next.order && stored->revision > next.revision));
    if (outdated) {
        ++this->counters.decisions_outdated;
        this->merge_state(*stored);
        co_return;
    }
    const auto known = this->shared.rollouts.find(next.service);
    const bool halted_meanwhile =
        known != this->shared.rollouts.end() && known->second.order == next.order && known->second.halted;
    if (halted_meanwhile && next.phase != rollout_phase::rolled_back) {
        ++this->counters.decisions_outdated;
        co_return;
    }
    ++next.revision;
    const stored_rollout& read = previous.value();
    const auto written = co_await this->store.write_rollout(next, read, deadline);
    if (!written) {
        this->count_failed_write(next.service, written.error());
        co_return;
    }
    if (!written.value()) {
        ++this->counters.decisions_outdated;
        co_return;
    }
    ++this->counters.decisions;
    log_info("rollout-step", {{"service", next.service},
                              {"version", next.version},
                              {"phase", name_of(rollout_phase_names, next.phase)},
                              {"share", static_cast<std::uint64_t>(next.share)},
                              {"revision", static_cast<std::uint64_t>(next.revision)}});
    this->merge_state(next);
}

} // namespace pomeloloft::sidecar
