#include "pomeloloft/traffic/decision_trace.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;
using std::chrono::microseconds;

/// Time until the deadline, rounded up so that a positive time never becomes 0.
microseconds time_until(time_point deadline, time_point now)
{
    return deadline <= now ? microseconds{0} : std::chrono::ceil<microseconds>(deadline - now);
}

time_point add_time(time_point now, microseconds left)
{
    return now + std::chrono::duration_cast<steady_clock::duration>(left);
}

decision replay_admission(admission_decision d)
{
    const time_point now = steady_clock::now();
    d.decided = decide_admission(d.view, {d.priority, add_time(now, d.time_to_deadline)}, now);
    return d;
}

decision replay_retry(retry_decision d)
{
    const time_point now = steady_clock::now();
    d.inputs.deadline = add_time(now, d.time_to_deadline);
    d.decided = may_retry(d.inputs, now);
    return d;
}

endpoint restore_endpoint(const recorded_endpoint& from, time_point now,
                          const endpoint_choice_options& options)
{
    endpoint out;
    out.node = from.node;
    out.serving_since = now - from.age;
    out.load = std::make_shared<endpoint_load>();
    out.load->in_flight = from.in_flight;
    out.load->reported_load = from.reported_load;
    out.load->response_time_us = from.response_time_us;
    out.load->response_time_updated_at = now.time_since_epoch().count();
    const time_point until = from.ejected ? now + options.ejection_time : time_point{};
    out.load->ejected_until = until.time_since_epoch().count();
    return out;
}

decision replay_choice(choice_decision d, const endpoint_choice_options& options)
{
    const time_point now = steady_clock::now();
    service_view target;
    target.limits.slots = d.slots;
    target.limits.slow_start_ms = d.slow_start_ms;
    std::vector<std::string> tried;
    for (const recorded_endpoint& e : d.endpoints) {
        (e.is_local ? target.local : target.remote).push_back(restore_endpoint(e, now, options));
        if (e.tried) {
            tried.push_back(e.node);
        }
    }
    const endpoint* chosen = choose_endpoint({&target, tried, d.random, now}, options);
    d.decided = chosen == nullptr ? "" : chosen->node;
    return d;
}

json to_json(const admission_decision& d)
{
    return {{"kind", "admission"},
            {"slots", d.view.slots},
            {"queue", d.view.queue},
            {"running", d.view.running},
            {"waiting", d.view.waiting},
            {"service_ms", d.view.service_time.count()},
            {"priority", name_of(priority_names, d.priority)},
            {"left_us", d.time_to_deadline.count()},
            {"expect", name_of(admission_names, d.decided)}};
}

json to_json(const retry_decision& d)
{
    return {{"kind", "retry"},
            {"last", name_of(run_state_names, d.inputs.last)},
            {"crashed", d.inputs.crashed_target},
            {"idempotent", d.inputs.idempotent},
            {"replayable", d.inputs.replayable},
            {"retried_above", d.inputs.retried_above},
            {"attempts", d.inputs.attempts_made},
            {"left_us", d.time_to_deadline.count()},
            {"expect", d.decided}};
}

json to_json(const choice_decision& d)
{
    json endpoints = json::array();
    for (const recorded_endpoint& e : d.endpoints) {
        endpoints.push_back({{"node", e.node},
                             {"near", e.is_local},
                             {"tried", e.tried},
                             {"passed_over", e.ejected},
                             {"in_flight", e.in_flight},
                             {"reported", e.reported_load},
                             {"answer_time_us", e.response_time_us},
                             {"age_ms", e.age.count()}});
    }
    return {{"kind", "choice"},
            {"slots", d.slots},
            {"slow_start_ms", d.slow_start_ms},
            {"random", d.random},
            {"endpoints", std::move(endpoints)},
            {"expect", d.decided}};
}

/// Reads the fields of a JSON object and keeps the name of the first one that is missing or has the wrong
/// type.
class field_reader {
public:
    explicit field_reader(const json& from) : row(from) {}

    template <typename T>
    T read(const char* field)
    {
        const auto found = this->row.find(field);
        if (found != this->row.end()) {
            try {
                return found->template get<T>();
            } catch (const json::exception&) {
                this->set_bad_field(field);
                return T{};
            }
        }
        this->set_bad_field(field);
        return T{};
    }

    template <typename T>
    T read_or(const char* field, T fallback)
    {
        return this->row.contains(field) ? this->read<T>(field) : fallback;
    }

    template <typename Enum, std::size_t Count>
    Enum read_name(const char* field, const name_table<Enum, Count>& table)
    {
        const auto value = value_of(table, this->read<std::string>(field));
        if (!value) {
            this->set_bad_field(field);
        }
        return value.value_or(table.front().value);
    }

    /// Reads the time until the deadline from `left_us`, or from `left_ms` in hand-written traces.
    microseconds read_time_to_deadline()
    {
        if (this->row.contains("left_us")) {
            return microseconds(this->read<std::int64_t>("left_us"));
        }
        return milliseconds(this->read<std::int64_t>("left_ms"));
    }

    [[nodiscard]] const std::string& bad_field() const { return this->first_bad_field; }

private:
    void set_bad_field(const char* field)
    {
        if (this->first_bad_field.empty()) {
            this->first_bad_field = field;
        }
    }

    const json& row;
    std::string first_bad_field;
};

decision read_admission(field_reader& in)
{
    admission_decision d;
    d.view.slots = in.read<std::uint32_t>("slots");
    d.view.queue = in.read<std::uint32_t>("queue");
    d.view.running = in.read<std::uint32_t>("running");
    d.view.waiting = in.read<std::array<std::uint32_t, priority_count>>("waiting");
    d.view.service_time = milliseconds(in.read<std::int64_t>("service_ms"));
    d.priority = in.read_name("priority", priority_names);
    d.time_to_deadline = in.read_time_to_deadline();
    d.decided = in.read_name("expect", admission_names);
    return d;
}

decision read_retry(field_reader& in)
{
    retry_decision d;
    d.inputs.last = in.read_name("last", run_state_names);
    d.inputs.crashed_target = in.read_or("crashed", false);
    d.inputs.idempotent = in.read<bool>("idempotent");
    d.inputs.replayable = in.read<bool>("replayable");
    d.inputs.retried_above = in.read_or("retried_above", false);
    d.inputs.attempts_made = in.read<std::uint32_t>("attempts");
    d.time_to_deadline = in.read_time_to_deadline();
    d.decided = in.read<bool>("expect");
    return d;
}

recorded_endpoint read_endpoint(field_reader& in)
{
    recorded_endpoint e;
    e.node = in.read<std::string>("node");
    e.is_local = in.read<bool>("near");
    e.tried = in.read<bool>("tried");
    e.ejected = in.read<bool>("passed_over");
    e.in_flight = in.read<std::uint32_t>("in_flight");
    e.reported_load = in.read<std::uint32_t>("reported");
    e.response_time_us = in.read<std::uint32_t>("answer_time_us");
    e.age = milliseconds(in.read<std::int64_t>("age_ms"));
    return e;
}

decision read_choice(field_reader& in, std::string& endpoint_bad_field)
{
    choice_decision d;
    d.slots = in.read<std::uint32_t>("slots");
    d.slow_start_ms = in.read<std::uint32_t>("slow_start_ms");
    d.random = in.read<std::uint64_t>("random");
    d.decided = in.read<std::string>("expect");
    for (const json& row : in.read<std::vector<json>>("endpoints")) {
        field_reader nested(row);
        d.endpoints.push_back(read_endpoint(nested));
        endpoint_bad_field = endpoint_bad_field.empty() ? nested.bad_field() : endpoint_bad_field;
    }
    return d;
}

} // namespace

admission_decision record_admission(const admission_view& view, const admission_request& request,
                                    admission decided, time_point now)
{
    return {view, request.priority, time_until(request.deadline, now), decided};
}

retry_decision record_retry(const retry_inputs& inputs, bool decided, time_point now)
{
    return {inputs, time_until(inputs.deadline, now), decided};
}

choice_decision record_choice(const endpoint_choice_inputs& inputs, const endpoint_choice_options& options)
{
    choice_decision d;
    d.slots = inputs.target->limits.slots;
    d.slow_start_ms = inputs.target->limits.slow_start_ms;
    d.random = inputs.random;
    for (const bool is_local : {true, false}) {
        for (const endpoint& e : is_local ? inputs.target->local : inputs.target->remote) {
            recorded_endpoint out;
            out.node = e.node;
            out.is_local = is_local;
            out.tried = std::find(inputs.tried.begin(), inputs.tried.end(), e.node) != inputs.tried.end();
            out.ejected = is_ejected(e, inputs.now);
            out.in_flight = e.load->in_flight;
            out.reported_load = e.load->reported_load;
            out.response_time_us =
                has_recent_response_time(*e.load, inputs.now, options) ? e.load->response_time_us.load() : 0;
            out.age = remaining(inputs.now, e.serving_since);
            d.endpoints.push_back(std::move(out));
        }
    }
    return d;
}

decision replay_decision(const decision& recorded, const endpoint_choice_options& options)
{
    if (const auto* a = std::get_if<admission_decision>(&recorded)) {
        return replay_admission(*a);
    }
    if (const auto* r = std::get_if<retry_decision>(&recorded)) {
        return replay_retry(*r);
    }
    return replay_choice(std::get<choice_decision>(recorded), options);
}

std::string to_json_line(const decision& recorded)
{
    return std::visit([](const auto& d) { return to_json_text(to_json(d)); }, recorded);
}

result<decision> parse_decision(std::string_view line)
{
    const json row = parse_json(line);
    if (!row.is_object()) {
        return error{error_code::invalid, "", "is not a JSON object"};
    }
    field_reader in(row);
    const decision_kind kind = in.read_name("kind", decision_kind_names);
    std::string endpoint_bad_field;
    decision out = kind == decision_kind::admission ? read_admission(in)
                   : kind == decision_kind::retry   ? read_retry(in)
                                                    : read_choice(in, endpoint_bad_field);
    const std::string& first_bad_field = in.bad_field().empty() ? endpoint_bad_field : in.bad_field();
    if (!first_bad_field.empty()) {
        return error{error_code::invalid, first_bad_field, "is missing or has the wrong type"};
    }
    return out;
}

std::string outcome_of(const decision& recorded)
{
    if (const auto* a = std::get_if<admission_decision>(&recorded)) {
        return std::string(name_of(admission_names, a->decided));
    }
    if (const auto* r = std::get_if<retry_decision>(&recorded)) {
        return r->decided ? "retry" : "give-up";
    }
    const std::string& node = std::get<choice_decision>(recorded).decided;
    return node.empty() ? "none" : node;
}

} // namespace pomeloloft
