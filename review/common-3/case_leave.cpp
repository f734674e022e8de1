// A target that starts after a crash deregisters; its first heartbeat arrives late. See claim.txt beside
// run.sh.

#include "fleet.hpp"

namespace {

using namespace review;

constexpr double drain_s = 2.5;
constexpr std::size_t target_count = 7;

verdict run_case(recorder& events)
{
    deployment settings;
    settings.services.assign(target_count, "register");
    fleet all(settings, events);
    if (!all.start(configuration())) {
        return verdict::not_run;
    }
    node& first = all.nodes[0];
    target_server& target = *first.target;
    all.start_clients({"/lookup/", "/order/"}, 15);
    sleep_ms(2500);
    events.add("the target of " + first.name + " crashes");
    all.set_beating(0, false);
    target.stop();
    sleep_ms(1000);
    const std::string instance = "i-next-" + std::to_string(first.app.number);
    if (!target.start(instance, unix_ms())) {
        return verdict::not_run;
    }
    const std::string first_beat = target.heartbeat_body(first.zone, "ready");
    if (!has_trouble()) {
        all.post_control(0, instance, "heartbeat", first_beat);
    }
    sleep_ms(1000);
    target.leaving = true;
    const int acknowledged = all.post_control(0, instance, "deregister", target.deregistration_body());
    const double left_at = now_s();
    if (acknowledged != 200) {
        events.add("the leave was not acknowledged, so it binds nobody");
        return verdict::held;
    }
    sleep_ms(1000);
    if (has_trouble()) {
        events.add("the first heartbeat, sent 2 s ago, arrives");
        all.post_control(0, instance, "heartbeat", first_beat);
    }
    // The target goes on serving for `DrainMs` and some seconds, then exits.
    sleep_ms(5000);
    target.stop();
    all.stop_clients();
    int late = 0;
    for (const arrival& each : target.arrivals()) {
        late += each.instance == instance && each.at > left_at + drain_s ? 1 : 0;
    }
    events.add("requests that ran at " + instance +
               " later than DrainMs after its acknowledged leave: " + std::to_string(late));
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
