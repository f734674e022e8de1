#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include "pomeloloft/proxy/api.hpp"

namespace pomeloloft {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

using family_list = std::vector<MetricFamily>;
using label = ClientMetric::Label;

MetricFamily& add_family(family_list& out, const std::string& name, const std::string& help, MetricType type)
{
    MetricFamily family;
    family.name = "pomeloloft_" + name;
    family.help = help;
    family.type = type;
    out.push_back(std::move(family));
    return out.back();
}

void add_sample(MetricFamily& family, double value, std::vector<label> labels = {})
{
    ClientMetric metric;
    metric.label = std::move(labels);
    if (family.type == MetricType::Counter) {
        metric.counter.value = value;
    } else {
        metric.gauge.value = value;
    }
    family.metric.push_back(std::move(metric));
}

void add_counter(family_list& out, const std::string& name, const std::string& help,
                 const std::atomic<std::uint64_t>& value)
{
    add_sample(add_family(out, name, help, MetricType::Counter), static_cast<double>(value.load()));
}

void add_gauge(family_list& out, const std::string& name, const std::string& help, double value)
{
    add_sample(add_family(out, name, help, MetricType::Gauge), value);
}

template <typename Enum, std::size_t Count>
void add_labelled_counters(family_list& out, const std::string& name, const std::string& help,
                           const char* key, const name_table<Enum, Count>& names,
                           const std::array<std::atomic<std::uint64_t>, Count>& values)
{
    MetricFamily& family = add_family(out, name, help, MetricType::Counter);
    for (const auto& row : names) {
        const auto value = values[static_cast<std::size_t>(row.value)].load();
        add_sample(family, static_cast<double>(value), {{key, std::string(row.name)}});
    }
}

void add_traffic(family_list& out, const control_counters& traffic)
{
    MetricFamily bytes =
        add_family(out, "control_bytes_total", "Bytes of control frames", MetricType::Counter);
    out.pop_back();
    MetricFamily frames = add_family(out, "control_frames_total", "Control frames", MetricType::Counter);
    out.pop_back();
    const auto add_direction = [&](const control_counters::direction& direction, const std::string& name) {
        for (const auto& row : frame_kind_names) {
            const auto index = static_cast<std::size_t>(row.value);
            const std::vector<label> labels{{"direction", name}, {"kind", std::string(row.name)}};
            add_sample(bytes, static_cast<double>(direction.bytes[index].load()), labels);
            add_sample(frames, static_cast<double>(direction.frames[index].load()), labels);
        }
    };
    add_direction(traffic.sent, "sent");
    add_direction(traffic.received, "received");
    out.push_back(std::move(bytes));
    out.push_back(std::move(frames));
    add_counter(out, "links_opened_total", "Links opened", traffic.links_opened);
    add_counter(out, "links_closed_total", "Links closed", traffic.links_closed);
    add_counter(out, "links_refused_total", "Links refused for too many children", traffic.links_refused);
    add_counter(out, "bad_frames_total", "Frames that ended their link", traffic.bad_frames);
}

void add_requests(family_list& out, const request_counters& requests)
{
    add_counter(out, "requests_total", "Requests from callers", requests.received);
    add_labelled_counters(out, "answers_total", "Answers to callers by what they were told", "outcome",
                          run_state_names, requests.by_outcome);
    add_labelled_counters(out, "refusals_total", "Answers in the mesh's own name", "reason",
                          refusal_reason_names, requests.refused);
    add_counter(out, "attempts_total", "Attempts on endpoints", requests.attempts);
    add_counter(out, "retries_total", "Attempts after the first", requests.retries);
    add_counter(out, "retries_over_budget_total", "Retries the budget forbade", requests.retries_over_budget);
    add_counter(out, "target_runs_total", "Requests handed to the target beside", requests.target_runs);
    add_counter(out, "inquiries_total", "Lost answers asked about", requests.inquiries);
    add_counter(out, "inquiries_not_run_total", "Lost answers found not to have run",
                requests.inquiries_not_run);
    add_counter(out, "answers_cut_total", "Answers that could not be passed on whole",
                requests.responses_truncated);
    add_counter(out, "keys_issued_total", "Idempotency keys issued", requests.keys_issued);
    add_counter(out, "keys_replayed_total", "Answers replayed to a key", requests.keys_replayed);
    add_counter(out, "target_crashes_total", "Crashes blamed on a request", requests.target_crashes);
}

void add_events(family_list& out, const control_events& events)
{
    add_counter(out, "log_reads_total", "Reads of the log", events.log_reads);
    add_counter(out, "log_read_errors_total", "Failed reads of the log", events.log_read_errors);
    add_counter(out, "log_appends_total", "Appends to the log", events.log_appends);
    add_counter(out, "log_append_errors_total", "Failed appends to the log", events.log_append_errors);
    add_counter(out, "snapshots_written_total", "Snapshots written to the log", events.snapshots_written);
    add_counter(out, "views_built_total", "Views built", events.views_built);
    add_counter(out, "views_rejected_total", "Views not put in force", events.views_rejected);
    add_counter(out, "members_declared_gone_total", "Nodes this one declared gone",
                events.members_declared_gone);
    add_counter(out, "pauses_total", "Times this process found itself stopped", events.pauses_detected);
}

void add_gauges(family_list& out, blackboard& board)
{
    const auto current = board.current_view.load();
    add_gauge(out, "config_version", "Version in force here", static_cast<double>(current->config->version));
    add_gauge(out, "config_in_force_since_ms", "When that version came into force here, Unix time in ms",
              static_cast<double>(board.in_force_since_ms.load()));
    add_gauge(out, "ready", "Whether requests are taken", board.ready && !board.stopping ? 1 : 0);
    add_gauge(out, "reader", "Whether this node reads the log", board.is_reader ? 1 : 0);
    add_gauge(out, "log_out", "Whether the log failed to answer", board.log_unavailable ? 1 : 0);
    const admission_view admission_state = board.target_admission.view();
    add_gauge(out, "slots", "Slots of the target beside", admission_state.slots);
    add_gauge(out, "slots_used", "Requests running", admission_state.running);
    MetricFamily& waiting = add_family(out, "queue", "Requests waiting, by class", MetricType::Gauge);
    for (const auto& row : priority_names) {
        add_sample(waiting, admission_state.waiting[static_cast<std::size_t>(row.value)],
                   {{"class", std::string(row.name)}});
    }
    add_gauge(out, "keys", "Idempotency keys in use", static_cast<double>(board.keys.size()));
    add_gauge(out, "idle_connections", "Idle connections to other proxies",
              static_cast<double>(board.peer_connections.idle()));
    board.hub.read([&out](const sync_state& state) {
        add_gauge(out, "members", "Nodes known", static_cast<double>(state.members.entries.size()));
        add_gauge(out, "log_offset", "Next offset to fold",
                  static_cast<double>(state.config.fold->next_offset));
        const auto age = remaining(steady_clock::now(), state.log_end_read_at).count();
        add_gauge(out, "log_age_seconds", "Age of the log's end as known here",
                  state.log_end_ever_read ? static_cast<double>(age) / 1000 : -1);
        return true;
    });
    add_gauge(out, "links", "Open links", static_cast<double>(board.hub.summaries().size()));
}

} // namespace

std::string metrics_text(blackboard& board)
{
    family_list families;
    add_gauges(families, board);
    add_traffic(families, board.hub.traffic());
    add_requests(families, board.requests);
    add_events(families, board.events);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace pomeloloft
