#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/target.hpp"

namespace pomeloloft::sidecar {
namespace {

/// What may happen at a VM.
enum class target_event : std::uint8_t {
    /// A process starts under the id of the first one.
    start_same_id,
    /// A process starts under an id of its own.
    start_new_id,
    process_ends,
    report,
    /// A report is sent and does not arrive yet.
    late_report_sent,
    late_drain_report_sent,
    late_report_arrives,
    drain_report,
    deregistration,
    deregistration_without_start_time,
    /// The wall clock of the VM is set back.
    clock_back,
    sidecar_restart,
    health_check,
};

/// Names of `target_event` in the messages of the test.
constexpr name_table<target_event, 13> target_event_names{{
    {target_event::start_same_id, "start-same-id"},
    {target_event::start_new_id, "start-new-id"},
    {target_event::process_ends, "process-ends"},
    {target_event::report, "report"},
    {target_event::late_report_sent, "late-report-sent"},
    {target_event::late_drain_report_sent, "late-drain-report-sent"},
    {target_event::late_report_arrives, "late-report-arrives"},
    {target_event::drain_report, "drain-report"},
    {target_event::deregistration, "deregistration"},
    {target_event::deregistration_without_start_time, "deregistration-without-start-time"},
    {target_event::clock_back, "clock-back"},
    {target_event::sidecar_restart, "sidecar-restart"},
    {target_event::health_check, "health-check"},
}};

constexpr milliseconds step{2000};
constexpr milliseconds clock_change{3000};
/// Time after the acknowledgement of a departure from which no request is sent.
constexpr milliseconds drain_time{1900};

/// The process at the address of the target.
struct target_process {
    instance_key instance;
    std::uint64_t sequence = 0;
    /// It has announced that it leaves, acknowledged or not.
    bool leaving = false;
    /// When its departure was acknowledged; nothing if it was not.
    std::optional<time_point> acknowledged_at;
};

struct held_report {
    target_report report;
    time_point sent_at;
};

/// A VM: its target's processes, one after the other, and what its sidecar knows of them.
struct vm {
    time_point now{milliseconds(1'000'000)};
    std::int64_t wall_ms = 1'000'000;
    std::optional<target_process> process;
    std::optional<held_report> held;
    std::uint32_t starts = 0;
    bool clock_was_set = false;
    target_record known;
};

target_report make_report(target_process& process, bool draining)
{
    target_report out;
    out.instance = process.instance;
    out.service = "register";
    out.sequence = ++process.sequence;
    out.draining = draining;
    return out;
}

/// Handles a report as the daemon does.
/// @return whether it is acknowledged.
bool handle_report(vm& at, const target_report& report)
{
    if (apply_report(at.known, report, at.now) == report_effect::leaving) {
        at.known.dispatch_until = at.now + drain_time;
    }
    return !hides_shutdown(at.known, report);
}

bool handle_deregistration(vm& at, const instance_key& instance)
{
    if (apply_deregistration(at.known, {instance, at.now, at.wall_ms}) == report_effect::leaving) {
        at.known.dispatch_until = at.now + drain_time;
    }
    return has_departed(at.known, instance);
}

void acknowledge_departure(vm& at, bool acknowledged)
{
    at.process->leaving = true;
    if (acknowledged && !at.process->acknowledged_at) {
        at.process->acknowledged_at = at.now;
    }
}

void deliver_held_report(vm& at)
{
    const target_report report = at.held->report;
    at.held.reset();
    const bool acknowledged = handle_report(at, report);
    if (report.draining && at.process && at.process->instance == report.instance) {
        acknowledge_departure(at, acknowledged);
    }
}

void start_process(vm& at, const std::string& id)
{
    at.process = target_process{};
    at.process->instance = {id, at.wall_ms + ++at.starts};
}

/// Starts the sidecar again; the departures are read from the store.
void restart_sidecar(vm& at)
{
    target_record next;
    for (const departure& each : at.known.departed) {
        record_departure(next, each);
    }
    at.known = next;
}

bool is_possible(const vm& at, target_event event)
{
    switch (event) {
    case target_event::start_same_id:
    case target_event::start_new_id:
        return !at.process;
    case target_event::process_ends:
    case target_event::drain_report:
    case target_event::deregistration:
    case target_event::deregistration_without_start_time:
        return at.process.has_value();
    case target_event::report:
        return at.process && !at.process->leaving;
    case target_event::late_report_sent:
    case target_event::late_drain_report_sent:
        return at.process && !at.process->leaving && !at.held;
    case target_event::late_report_arrives:
        return at.held && at.now + step <= at.held->sent_at + max_report_delay;
    case target_event::clock_back:
        return !at.clock_was_set;
    case target_event::sidecar_restart:
        return true;
    case target_event::health_check:
        return at.process && !at.process->leaving && at.known.state == target_state::unknown;
    }
    return false;
}

void play(vm& at, target_event event)
{
    at.now += step;
    at.wall_ms += step.count();
    switch (event) {
    case target_event::start_same_id:
        start_process(at, "a");
        break;
    case target_event::start_new_id:
        start_process(at, "b" + std::to_string(at.starts));
        break;
    case target_event::process_ends:
        at.process.reset();
        break;
    case target_event::report:
        handle_report(at, make_report(*at.process, false));
        break;
    case target_event::late_report_sent:
        at.held = {make_report(*at.process, false), at.now};
        break;
    case target_event::late_report_arrives:
        deliver_held_report(at);
        break;
    case target_event::late_drain_report_sent:
        at.held = {make_report(*at.process, true), at.now};
        at.process->leaving = true;
        break;
    case target_event::drain_report:
        acknowledge_departure(at, handle_report(at, make_report(*at.process, true)));
        break;
    case target_event::deregistration:
        acknowledge_departure(at, handle_deregistration(at, at.process->instance));
        break;
    case target_event::deregistration_without_start_time:
        acknowledge_departure(at, handle_deregistration(at, {at.process->instance.id, 0}));
        break;
    case target_event::clock_back:
        at.wall_ms -= clock_change.count();
        at.clock_was_set = true;
        break;
    case target_event::sidecar_restart:
        restart_sidecar(at);
        break;
    case target_event::health_check:
        apply_health_check(at.known, at.process->instance.id, 4, at.now);
        break;
    }
}

/// Whether requests reach the process at the address; it rejects those that name another id.
bool serves(const vm& at)
{
    return may_dispatch(at.known, at.now) && at.known.instance.id == at.process->instance.id;
}

/// Whether requests reach a target whose departure was acknowledged a drain period ago.
bool breaks_acknowledgement(const vm& at)
{
    return at.process && at.process->acknowledged_at && at.now >= *at.process->acknowledged_at + drain_time &&
           serves(at);
}

/// Whether a living target that goes on reporting gets no requests.
bool loses_target(vm at)
{
    if (!at.process || at.process->leaving) {
        return false;
    }
    const time_point until = at.now + 2 * max_report_delay;
    while (at.now < until) {
        play(at, target_event::report);
    }
    return !serves(at);
}

std::string describe(const std::vector<target_event>& order)
{
    std::string out;
    for (const target_event event : order) {
        out += std::string(name_of(target_event_names, event)) + ' ';
    }
    return out;
}

struct order_counts {
    std::size_t played = 0;
    std::vector<std::string> broken;
};

/// Plays all orders that continue `order`, up to `depth` further events.
void play_all(const vm& at, std::vector<target_event>& order, int depth, order_counts& counts)
{
    ++counts.played;
    if (breaks_acknowledgement(at)) {
        counts.broken.push_back("requests after an acknowledged departure: " + describe(order));
        return;
    }
    if (loses_target(at)) {
        counts.broken.push_back("a living target is lost: " + describe(order));
        return;
    }
    if (depth == 0) {
        return;
    }
    for (const auto& [event, name] : target_event_names) {
        if (!is_possible(at, event)) {
            continue;
        }
        vm next = at;
        play(next, event);
        order.push_back(event);
        play_all(next, order, depth - 1, counts);
        order.pop_back();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_orders)

// Guards against a departure that is acknowledged without effect, and against a target that is lost for good
// because its reports are taken for late ones.
BOOST_AUTO_TEST_CASE(each_order_of_events_keeps_departures_and_living_targets)
{
    constexpr int depth = 8;
    order_counts counts;
    std::vector<target_event> order;
    play_all(vm{}, order, depth, counts);
    BOOST_TEST_MESSAGE(counts.played << " orders played");
    BOOST_TEST(counts.broken.size() == 0U);
    constexpr std::size_t max_printed = 10;
    for (std::size_t i = 0; i < counts.broken.size() && i < max_printed; ++i) {
        BOOST_TEST_MESSAGE(counts.broken[i]);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
