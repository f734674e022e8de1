// A request that crashes targets comes again while one target fails all requests although its health check is
// good. See claim.txt.

#include <algorithm>
#include <array>

#include "fleet.hpp"

namespace {

using namespace review;

constexpr double stable_window_s = 3.0;
constexpr int late_retries_allowed = 3;
constexpr int rounds = 9;
constexpr std::size_t target_count = 7;
/// How long one target fails all requests.
constexpr double failing_s = 6.5;
constexpr int downtime_ms = 2500;
constexpr double round_s = 9.0;
/// Time from the start of a target until it is ready for a next round.
constexpr int pause_ms = 3000;

struct round_state {
    std::mutex mutex;
    std::string path;
    double failing_until = 0;
    std::vector<double> crashes;
    std::vector<double> arrivals;
    bool failed_once = false;
};

run_end end_of_run(round_state& state, const message& received, bool is_failing)
{
    const std::lock_guard lock(state.mutex);
    const bool crashing = received.target == state.path;
    if (crashing) {
        state.arrivals.push_back(now_s());
    }
    if (is_failing && now_s() < state.failing_until) {
        state.failed_once = state.failed_once || crashing;
        return {500, false};
    }
    if (crashing) {
        state.crashes.push_back(now_s());
    }
    return {200, crashing};
}

/// The number of arrivals later than `StableWindowMs` after the third crash.
int late_arrivals(round_state& state)
{
    const std::lock_guard lock(state.mutex);
    if (state.crashes.size() < 3) {
        return 0;
    }
    const double from = state.crashes[2] + stable_window_s;
    return static_cast<int>(
        std::count_if(state.arrivals.begin(), state.arrivals.end(), [from](double at) { return at > from; }));
}

void play_round(fleet& all, round_state& state, recorder& events, int number)
{
    {
        const std::lock_guard lock(state.mutex);
        state.path = "/avail/item-" + std::to_string(number);
        state.crashes.clear();
        state.arrivals.clear();
        state.failed_once = false;
        state.failing_until = has_trouble() ? now_s() + failing_s : 0;
    }
    events.add("round " + std::to_string(number) + ": " + state.path + " crashes each target that runs it");
    const double end = now_s() + round_s;
    for (std::size_t n = 0; now_s() < end; ++n) {
        const std::string id = "x-" + std::to_string(number) + '-' + std::to_string(n);
        all.request(n % all.nodes.size(), "GET", state.path, id, 600);
        sleep_ms(500);
    }
}

verdict run_case(recorder& events)
{
    round_state state;
    deployment settings;
    settings.services.assign(target_count, "geometry");
    fleet all(settings, events);
    std::array<std::atomic<bool>, target_count> down{};
    std::atomic<int> starts = 0;
    for (std::size_t i = 0; i < all.nodes.size(); ++i) {
        target_server& target = *all.nodes[i].target;
        target.service_ms = 15;
        target.run = [&state, i](const message& received) { return end_of_run(state, received, i == 0); };
        target.on_crash = [&all, &target, &down, &starts, i] {
            if (down[i].exchange(true)) {
                return;
            }
            target.stop();
            sleep_ms(downtime_ms);
            if (target.start("i-" + std::to_string(i) + "-" + std::to_string(++starts), unix_ms())) {
                all.heartbeat(i, "ready");
            }
            down[i] = false;
        };
    }
    if (!all.start(configuration())) {
        return verdict::not_run;
    }
    sleep_ms(1000);
    verdict out = verdict::held;
    for (int number = 1; number <= rounds && out == verdict::held; ++number) {
        play_round(all, state, events, number);
        const int late = late_arrivals(state);
        events.add("round " + std::to_string(number) + ": crashes " + std::to_string(state.crashes.size()) +
                   ", a target answered 500: " + (state.failed_once ? "yes" : "no") +
                   ", arrivals later than StableWindowMs after the third crash: " + std::to_string(late));
        out = late > late_retries_allowed ? verdict::broken : verdict::held;
        sleep_ms(pause_ms);
    }
    return out;
}

} // namespace

int main(int, char** argv)
{
    recorder events(argv[1]);
    const verdict out = run_case(events);
    events.add("exit " + std::to_string(static_cast<int>(out)));
    return static_cast<int>(out);
}
