// A target restarts under its id while the clock of its VM is set back, and drains later. See claim.txt.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr double drain_s = 2.5;
constexpr std::size_t target_count = 7;
/// The step of the clock.
constexpr std::int64_t step_ms = 2000;

verdict run_case(recorder& events)
{
    deployment settings;
    settings.services.assign(target_count, "geometry");
    fleet all(settings, events);
    if (!all.start(configuration())) {
        return verdict::not_run;
    }
    constexpr std::size_t index = 2;
    node& restarted = all.nodes[index];
    target_server& target = *restarted.target;
    const std::string instance = target.instance();
    all.start_clients({"/avail/"}, 15);
    sleep_ms(2000);
    events.add("the clock of the VM of " + restarted.name + " is ahead by 2 s; its target crashes, restarts");
    const std::int64_t ahead = has_trouble() ? step_ms : 0;
    target.stop();
    sleep_ms(300);
    if (!target.start(instance, unix_ms() + ahead)) {
        return verdict::not_run;
    }
    all.heartbeat(index, "ready");
    sleep_ms(900);
    events.add("the clock is right again; the target crashes, restarts");
    target.stop();
    sleep_ms(300);
    if (!target.start(instance, unix_ms())) {
        return verdict::not_run;
    }
    all.heartbeat(index, "ready");
    // Well beyond `StableWindowMs` after the step, the target reports that it drains.
    sleep_ms(8000);
    all.set_beating(index, false);
    target.leaving = true;
    const int acknowledged = all.heartbeat(index, "draining");
    const double left_at = now_s();
    if (acknowledged != 200) {
        events.add("the drain was not acknowledged, so it binds nobody");
        return verdict::held;
    }
    // It goes on serving and reporting for `DrainMs` and some seconds, then exits.
    for (int i = 0; i < 4; ++i) {
        sleep_ms(1500);
        all.heartbeat(index, "draining");
    }
    const std::vector<arrival> arrivals = target.arrivals();
    target.stop();
    all.stop_clients();
    int late = 0;
    for (const arrival& each : arrivals) {
        late += each.at > left_at + drain_s ? 1 : 0;
    }
    events.add("requests that ran at " + instance +
               " later than DrainMs after its acknowledged drain: " + std::to_string(late));
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** argv)
{
    recorder events(argv[1]);
    const verdict out = run_case(events);
    events.add("exit " + std::to_string(static_cast<int>(out)));
    return static_cast<int>(out);
}
