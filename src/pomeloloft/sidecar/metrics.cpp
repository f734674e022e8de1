#include "pomeloloft/sidecar/metrics.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace pomeloloft::sidecar {
namespace {

prometheus::MetricFamily counter_family(const char* name, const char* help)
{
    prometheus::MetricFamily out;
    out.name = name;
    out.help = help;
    out.type = prometheus::MetricType::Counter;
    return out;
}

void add_counter(prometheus::MetricFamily& family, const char* label, const char* value, std::uint64_t count)
{
    prometheus::ClientMetric metric;
    metric.label.push_back({label, value});
    metric.counter.value = static_cast<double>(count);
    family.metric.push_back(std::move(metric));
}

void add_message_counter(prometheus::MetricFamily& messages, prometheus::MetricFamily& bytes,
                         const char* purpose, const char* to, const message_counter& counted)
{
    for (const auto& [family, value] :
         {std::pair{&messages, counted.messages}, std::pair{&bytes, counted.bytes}}) {
        prometheus::ClientMetric metric;
        metric.label.push_back({"purpose", purpose});
        metric.label.push_back({"to", to});
        metric.counter.value = static_cast<double>(value);
        family->metric.push_back(std::move(metric));
    }
}

/// Messages to other sidecars and their bytes, by purpose and by data centre.
void add_message_counters(std::vector<prometheus::MetricFamily>& families, const control_counters& counted)
{
    constexpr const char* local = "own-data-centre";
    constexpr const char* remote = "other-data-centre";
    prometheus::MetricFamily messages = counter_family(
        "pomeloloft_peer_messages_total", "Exchanges with other sidecars, counted by the sender.");
    prometheus::MetricFamily bytes =
        counter_family("pomeloloft_peer_bytes_total", "Bytes of the bodies of these exchanges, both ways.");
    add_message_counter(messages, bytes, "members", local, counted.members_local);
    add_message_counter(messages, bytes, "members", remote, counted.members_remote);
    add_message_counter(messages, bytes, "config", local, counted.config_local);
    add_message_counter(messages, bytes, "config", remote, counted.config_remote);
    add_message_counter(messages, bytes, "requests", local, counted.requests_local);
    add_message_counter(messages, bytes, "requests", remote, counted.requests_remote);
    add_message_counter(messages, bytes, "quotas", local, counted.quotas_local);
    add_message_counter(messages, bytes, "quotas", remote, counted.quotas_remote);
    families.push_back(std::move(messages));
    families.push_back(std::move(bytes));
}

/// Second attempts of slow requests.
void add_hedge_counters(std::vector<prometheus::MetricFamily>& families, const hedge_counters& counted)
{
    families.push_back(counter_family("pomeloloft_hedges_total", "Second attempts of slow requests."));
    add_counter(families.back(), "state", "begun", counted.begun);
    add_counter(families.back(), "state", "won", counted.won);
    families.push_back(counter_family("pomeloloft_hedge_cancelled_total",
                                      "Attempts cancelled because the other one was answered."));
    add_counter(families.back(), "reason", "answered", counted.cancelled);
    families.push_back(
        counter_family("pomeloloft_hedges_held_back_total", "Second attempts that were due and not made."));
    for (const auto& [verdict, name] : hedge_verdict_names) {
        if (verdict != hedge_verdict::send) {
            add_counter(families.back(), "reason", std::string(name).c_str(),
                        counted.held_back.at(static_cast<std::size_t>(verdict)));
        }
    }
}

/// Crashes of the target, and requests withheld from it.
void add_gate_counters(std::vector<prometheus::MetricFamily>& families, const gate_counters& counted)
{
    families.push_back(counter_family("pomeloloft_target_crashes_total",
                                      "Requests at the target when it crashed, by their connection."));
    add_counter(families.back(), "connection", "new", counted.crashes_on_new_connections);
    add_counter(families.back(), "connection", "reused", counted.crashes_on_reused_connections);
    families.push_back(counter_family("pomeloloft_target_crashes_not_counted_total",
                                      "Crashes that did not count against a request, by the reason."));
    add_counter(families.back(), "reason", "survived_before", counted.crashes_not_counted);
    families.push_back(
        counter_family("pomeloloft_suspects_cleared_total", "Suspects to which the target has responded."));
    add_counter(families.back(), "by", "response", counted.suspects_cleared);
    families.push_back(
        counter_family("pomeloloft_withheld_total", "Requests not sent to the target, by reason."));
    add_counter(families.back(), "reason", "abandoned", counted.withheld_abandoned);
    add_counter(families.back(), "reason", "quarantined", counted.withheld_quarantined);
    families.push_back(
        counter_family("pomeloloft_given_up_total",
                       "Requests given up because the target had not answered in time for a repeat."));
    add_counter(families.back(), "by", "service_time", counted.given_up);
    families.push_back(counter_family(
        "pomeloloft_refused_for_calls_total",
        "Requests refused at the target because the services that their runs call have no room."));
    add_counter(families.back(), "by", "run_limit", counted.refused_for_calls);
    families.push_back(counter_family("pomeloloft_target_invalid_responses_total",
                                      "Exchanges ended by bytes of the target that are no valid response."));
    add_counter(families.back(), "outcome", "lost", counted.invalid_responses);
}

prometheus::MetricFamily gauge(const char* name, const char* help, double value)
{
    prometheus::MetricFamily out;
    out.name = name;
    out.help = help;
    out.type = prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    out.metric.push_back(std::move(metric));
    return out;
}

/// What the process holds for clients, and how often the limits on that took effect.
void add_client_account(std::vector<prometheus::MetricFamily>& families, const net::client_account& clients)
{
    const net::client_account_counters& counted = clients.counters();
    families.push_back(counter_family("pomeloloft_client_limits_total",
                                      "Clients that were closed or refused by the limits on memory and "
                                      "connections."));
    add_counter(families.back(), "effect", "closed_for_connection", counted.closed_for_connection);
    add_counter(families.back(), "effect", "not_accepted", counted.not_accepted);
    add_counter(families.back(), "effect", "closed_for_memory", counted.closed_for_memory);
    add_counter(families.back(), "effect", "request_refused", counted.refused);
    families.push_back(
        gauge("pomeloloft_client_bytes", "Bytes held for clients.", static_cast<double>(clients.bytes())));
    families.push_back(gauge("pomeloloft_client_connections", "Connections of clients.",
                             static_cast<double>(clients.connections())));
}

void add_pipelining_counters(std::vector<prometheus::MetricFamily>& families,
                             const net::pipelining_counters& counted)
{
    families.push_back(counter_family(
        "pomeloloft_sent_ahead_total",
        "Callers' requests started before the earlier ones of their connection were answered, and times a "
        "connection reached a limit for such requests."));
    add_counter(families.back(), "event", "started", counted.started);
    add_counter(families.back(), "event", "limit_reached", counted.limit_reached);
    families.push_back(gauge("pomeloloft_sent_ahead_in_progress",
                             "Requests in progress that were started beside earlier ones.",
                             counted.in_progress));
}

/// Roll-outs that this process knows, and its part in them.
void add_rollout_metrics(std::vector<prometheus::MetricFamily>& families, const sidecar_state& state,
                         const rollout_counters& counted)
{
    const auto running = std::count_if(state.rollouts.begin(), state.rollouts.end(),
                                       [](const auto& entry) { return !is_final(entry.second); });
    families.push_back(gauge("pomeloloft_rollouts_running",
                             "Roll-outs that are not completed or rolled back.",
                             static_cast<double>(running)));
    families.push_back(
        counter_family("pomeloloft_rollout_reports_total", "Reports about the own target, by result."));
    add_counter(families.back(), "result", "accepted", counted.reports_sent - counted.reports_failed);
    add_counter(families.back(), "result", "failed", counted.reports_failed);
    families.push_back(counter_family("pomeloloft_rollout_decisions_total",
                                      "Decisions of this node, by what became of them."));
    add_counter(families.back(), "result", "written", counted.decisions);
    add_counter(families.back(), "result", "outdated", counted.decisions_outdated);
    add_counter(families.back(), "result", "failed", counted.decisions_failed);
    families.push_back(
        counter_family("pomeloloft_rollout_halts_total", "New versions that this node found bad."));
    add_counter(families.back(), "by", "evidence", counted.halts);
}

} // namespace

std::string metrics_text(const sidecar_state& state, const target_gate& gate,
                         const net::client_account* clients, const net::pipelining_counters& sent_ahead,
                         const rollout_counters* rollouts)
{
    const request_counters& c = state.counters;
    std::vector<prometheus::MetricFamily> families;
    families.push_back(counter_family("pomeloloft_requests_total", "Callers' requests by outcome."));
    add_counter(families.back(), "outcome", "answered", c.answered);
    add_counter(families.back(), "outcome", "refused", c.refused);
    add_counter(families.back(), "outcome", "failed", c.failed);
    add_counter(families.back(), "outcome", "timed_out", c.timed_out);
    add_counter(families.back(), "outcome", "cancelled", c.cancelled);
    add_counter(families.back(), "outcome", "not_found", c.not_found);
    add_counter(families.back(), "outcome", "unauthorized", c.unauthorized);
    add_counter(families.back(), "outcome", "over_quota", c.over_quota);
    add_counter(families.back(), "outcome", "quarantined", c.quarantined);
    families.push_back(counter_family("pomeloloft_tries_total", "Further tries of requests by reason."));
    add_counter(families.back(), "reason", "redirected", c.redirected);
    add_counter(families.back(), "reason", "retried", c.retried);
    families.push_back(counter_family("pomeloloft_calls_of_runs_total",
                                      "Requests taken to be calls of runs at the own target."));
    add_counter(families.back(), "outcome", "any", c.calls);
    add_counter(families.back(), "outcome", "refused", c.calls_refused);
    if (state.hedges.enabled()) {
        add_hedge_counters(families, state.hedges.counters);
    }
    add_gate_counters(families, gate.counters);
    add_pipelining_counters(families, sent_ahead);
    families.push_back(gauge("pomeloloft_crash_suspects", "Requests observed while a target crashed.",
                             static_cast<double>(state.suspects.size())));
    add_message_counters(families, state.control);
    if (clients != nullptr) {
        add_client_account(families, *clients);
    }
    const load_report load = gate.report();
    families.push_back(gauge("pomeloloft_target_running", "Requests at the target.", load.running));
    families.push_back(gauge("pomeloloft_target_waiting", "Requests waiting for the target.", load.waiting));
    families.push_back(
        gauge("pomeloloft_target_slots", "Slots of the target; 0 while it is not used.", load.slots));
    families.push_back(gauge("pomeloloft_target_service_microseconds",
                             "Smoothed time a request holds a slot.", load.service_us));
    families.push_back(gauge("pomeloloft_config_version", "Version in force; 0 before the first.",
                             static_cast<double>(config_version(state))));
    families.push_back(
        gauge("pomeloloft_members", "Sidecars known.", static_cast<double>(state.members.entries.size())));
    families.push_back(gauge("pomeloloft_store_reached", "1 while the platform's store answers.",
                             state.self.reaches_store ? 1 : 0));
    if (rollouts != nullptr) {
        add_rollout_metrics(families, state, *rollouts);
    }
    return prometheus::TextSerializer{}.Serialize(families);
}

} // namespace pomeloloft::sidecar
