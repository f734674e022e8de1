#include "pomeloloft/traffic/decision_trace.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

namespace pomeloloft {
namespace {

using nlohmann::json;
using std::chrono::microseconds;

/// Rounded up, so that what was left of a deadline never becomes nothing.
microseconds time_left(time_point deadline, time_point now)
{
    return deadline <= now ? microseconds{0} : std::chrono::ceil<microseconds>(deadline - now);
}

time_point after(time_point now, microseconds left)
{
    return now + std::chrono::duration_cast<steady_clock::duration>(left);
}

decision decide_again_admission(admission_decision d)
{
    const time_point now = steady_clock::now();
    d.decided = decide_admission(d.view, {d.priority, after(now, d.left)}, now);
    return d;
}

decision decide_again_retry(retry_decision d)
{
    const time_point now = steady_clock::now();
    d.inputs.deadline = after(now, d.left);
    d.decided = may_retry(d.inputs, now);
    return d;
}

endpoint restore(const recorded_endpoint& from, time_point now, const endpoint_choice_options& options)
{
    endpoint out;
    out.node = from.node;
    out.serving_since = now - from.age;
    out.load = std::make_shared<endpoint_load>();
    out.load->in_flight = from.in_flight;
    out.load->reported_load = from.reported_load;
    out.load->response_time_us = from.response_time_us;
    out.load->response_time_updated_at = now.time_since_epoch().count();
    const time_point until = from.passed_over ? now + options.ejection : time_point{};
    out.load->ejected_until = until.time_since_epoch().count();
    return out;
}

decision decide_again_choice(choice_decision d, const endpoint_choice_options& options)
{
    const time_point now = steady_clock::now();
    service_view target;
    target.limits.slots = d.slots;
    target.limits.slow_start_ms = d.slow_start_ms;
    std::vector<std::string> tried;
    for (const recorded_endpoint& e : d.endpoints) {
        (e.near ? target.local : target.remote).push_back(restore(e, now, options));
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
            {"left_us", d.left.count()},
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
            {"left_us", d.left.count()},
            {"expect", d.decided}};
}

json to_json(const choice_decision& d)
{
    json endpoints = json::array();
    for (const recorded_endpoint& e : d.endpoints) {
        endpoints.push_back({{"node", e.node},
                             {"near", e.near},
                             {"tried", e.tried},
                             {"passed_over", e.passed_over},
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

/// Reads fields of a row and remembers the first that is missing or of a wrong type.
class row_reader {
public:
    explicit row_reader(const json& from) : row(from) {}

    template <typename T>
    T read(const char* field)
    {
        const auto found = this->row.find(field);
        if (found != this->row.end()) {
            try {
                return found->template get<T>();
            } catch (const json::exception&) {
                this->note(field);
                return T{};
            }
        }
        this->note(field);
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
            this->note(field);
        }
        return value.value_or(table.front().value);
    }

    /// Time left, in `left_us`, or in `left_ms` in traces written by hand.
    microseconds read_left()
    {
        if (this->row.contains("left_us")) {
            return microseconds(this->read<std::int64_t>("left_us"));
        }
        return milliseconds(this->read<std::int64_t>("left_ms"));
    }

    [[nodiscard]] const std::string& bad_field() const { return this->fault; }

private:
    void note(const char* field)
    {
        if (this->fault.empty()) {
            this->fault = field;
        }
    }

    const json& row;
    std::string fault;
};

decision read_admission(row_reader& in)
{
    admission_decision d;
    d.view.slots = in.read<std::uint32_t>("slots");
    d.view.queue = in.read<std::uint32_t>("queue");
    d.view.running = in.read<std::uint32_t>("running");
    d.view.waiting = in.read<std::array<std::uint32_t, priority_count>>("waiting");
    d.view.service_time = milliseconds(in.read<std::int64_t>("service_ms"));
    d.priority = in.read_name("priority", priority_names);
    d.left = in.read_left();
    d.decided = in.read_name("expect", admission_names);
    return d;
}

decision read_retry(row_reader& in)
{
    retry_decision d;
    d.inputs.last = in.read_name("last", run_state_names);
    d.inputs.crashed_target = in.read_or("crashed", false);
    d.inputs.idempotent = in.read<bool>("idempotent");
    d.inputs.replayable = in.read<bool>("replayable");
    d.inputs.retried_above = in.read_or("retried_above", false);
    d.inputs.attempts_made = in.read<std::uint32_t>("attempts");
    d.left = in.read_left();
    d.decided = in.read<bool>("expect");
    return d;
}

recorded_endpoint read_endpoint(row_reader& in)
{
    recorded_endpoint e;
    e.node = in.read<std::string>("node");
    e.near = in.read<bool>("near");
    e.tried = in.read<bool>("tried");
    e.passed_over = in.read<bool>("passed_over");
    e.in_flight = in.read<std::uint32_t>("in_flight");
    e.reported_load = in.read<std::uint32_t>("reported");
    e.response_time_us = in.read<std::uint32_t>("answer_time_us");
    e.age = milliseconds(in.read<std::int64_t>("age_ms"));
    return e;
}

decision read_choice(row_reader& in, std::string& endpoint_fault)
{
    choice_decision d;
    d.slots = in.read<std::uint32_t>("slots");
    d.slow_start_ms = in.read<std::uint32_t>("slow_start_ms");
    d.random = in.read<std::uint64_t>("random");
    d.decided = in.read<std::string>("expect");
    for (const json& row : in.read<std::vector<json>>("endpoints")) {
        row_reader nested(row);
        d.endpoints.push_back(read_endpoint(nested));
        endpoint_fault = endpoint_fault.empty() ? nested.bad_field() : endpoint_fault;
    }
    return d;
}

} // namespace

admission_decision record_admission(const admission_view& view, const admission_request& request,
                                    admission decided, time_point now)
{
    return {view, request.priority, time_left(request.deadline, now), decided};
}

retry_decision record_retry(const retry_inputs& inputs, bool decided, time_point now)
{
    return {inputs, time_left(inputs.deadline, now), decided};
}

choice_decision record_choice(const endpoint_choice_inputs& request, const endpoint_choice_options& options)
{
    choice_decision d;
    d.slots = request.target->limits.slots;
    d.slow_start_ms = request.target->limits.slow_start_ms;
    d.random = request.random;
    for (const bool near : {true, false}) {
        for (const endpoint& e : near ? request.target->local : request.target->remote) {
            recorded_endpoint out;
            out.node = e.node;
            out.near = near;
            out.tried = std::find(request.tried.begin(), request.tried.end(), e.node) != request.tried.end();
            out.passed_over = is_ejected(e, request.now);
            out.in_flight = e.load->in_flight;
            out.reported_load = e.load->reported_load;
            out.response_time_us =
                has_recent_response_time(*e.load, request.now, options) ? e.load->response_time_us.load() : 0;
            out.age = remaining(request.now, e.serving_since);
            d.endpoints.push_back(std::move(out));
        }
    }
    return d;
}

decision replay_decision(const decision& recorded, const endpoint_choice_options& options)
{
    if (const auto* a = std::get_if<admission_decision>(&recorded)) {
        return decide_again_admission(*a);
    }
    if (const auto* r = std::get_if<retry_decision>(&recorded)) {
        return decide_again_retry(*r);
    }
    return decide_again_choice(std::get<choice_decision>(recorded), options);
}

std::string to_json_line(const decision& recorded)
{
    return std::visit([](const auto& d) { return to_json(d).dump(); }, recorded);
}

result<decision> parse_decision(std::string_view line)
{
    const json row = json::parse(line, nullptr, false);
    if (!row.is_object()) {
        return error{error_code::invalid, "", "is not a JSON object"};
    }
    row_reader in(row);
    const decision_kind kind = in.read_name("kind", decision_kind_names);
    std::string endpoint_fault;
    decision out = kind == decision_kind::admission ? read_admission(in)
                   : kind == decision_kind::retry   ? read_retry(in)
                                                    : read_choice(in, endpoint_fault);
    const std::string& fault = in.bad_field().empty() ? endpoint_fault : in.bad_field();
    if (!fault.empty()) {
        return error{error_code::invalid, fault, "is missing or of a wrong type"};
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
