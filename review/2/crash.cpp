// A request crashes each backend that runs it, and its caller sends it again. Another service requests the
// same path, and those requests are answered.
#include <algorithm>
#include <atomic>
#include <iostream>

#include "../common/fleet.hpp"

using namespace review;

namespace {

constexpr const char* path = "/trips/today";
constexpr const char* crashing_caller = "gallery";
constexpr milliseconds stable_window{3000};
constexpr milliseconds deadline{3000};
constexpr milliseconds crashing_interval{1000};
constexpr milliseconds other_interval{200};
constexpr milliseconds duration{25'000};
constexpr int allowed_late_arrivals = 3;

} // namespace

int main(int argc, char** argv)
{
    recorder log(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    const bool trouble = has_trouble();
    backend::options defaults;
    fleet mesh({{"sidecar-qld-a-1", "qld-a", "booking"},
                {"sidecar-qld-b-1", "qld-b", "booking"},
                {"sidecar-qld-c-1", "qld-c", "booking"},
                {"sidecar-qld-a-2", "qld-a", "gallery"}},
               config_text(1, {{"/trips/", "idempotent", "booking"}}), defaults, log);
    for (machine& each : mesh.machines) {
        each.application->on_run = [trouble](const message& request) {
            const bool crashes =
                trouble && request.target() == path && request.header("X-Caller-Service") == crashing_caller;
            return crashes ? run_effect::crash : run_effect::answer;
        };
    }
    std::atomic<bool> stopping{false};
    std::atomic<int> served{0};
    std::vector<std::thread> others;
    for (std::size_t i = 0; i < 3; ++i) {
        others.emplace_back([&, i] {
            while (!stopping) {
                served += call(mesh.machines[i], "GET", path, deadline, log).status == 200 ? 1 : 0;
                std::this_thread::sleep_for(other_interval);
            }
        });
    }
    const time_point until = steady_clock::now() + duration;
    while (steady_clock::now() < until) {
        call(mesh.machines[3], "GET", path, deadline, log);
        std::this_thread::sleep_for(crashing_interval);
    }
    stopping = true;
    for (std::thread& each : others) {
        each.join();
    }
    std::vector<time_point> arrivals;
    for (machine& each : mesh.machines) {
        for (const run& r : each.application->runs()) {
            if (r.caller_service == crashing_caller) {
                arrivals.push_back(r.at);
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    int late = 0;
    if (trouble && arrivals.size() >= 3) {
        late = static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](time_point at) {
            return at > arrivals[2] + stable_window;
        }));
    }
    const std::string summary = "requests of the other callers served: " + std::to_string(served) +
                                "; arrivals of the crashing request: " + std::to_string(arrivals.size()) +
                                ", of them later than 3000 ms after the third crash: " + std::to_string(late);
    log.line(summary);
    std::cout << summary << std::endl;
    if (served == 0 || (trouble && arrivals.size() < 3)) {
        return could_not_run;
    }
    return late > allowed_late_arrivals ? rule_broken : rule_held;
}
