// The platform's store is down for a while: it accepts connections and answers nothing. Right after it is
// back the operator moves a route to another service.
#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

#include "../common/fleet.hpp"

using namespace review;

namespace {

constexpr milliseconds config_apply{2000};
constexpr milliseconds stable_window{3000};
constexpr milliseconds deadline{1500};
constexpr milliseconds client_interval{20};
constexpr milliseconds outage{8000};
/// Time from an ordinary change of the configuration to the outage.
constexpr milliseconds change_to_outage{1800};
constexpr milliseconds outage_to_change{50};
constexpr milliseconds watched{2000};
constexpr int rounds = 6;

} // namespace

int main(int argc, char** argv)
{
    recorder log(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    const bool trouble = has_trouble();
    const std::vector<std::string> services = {"booking", "gallery"};
    int version = 2;
    const auto config = [&] {
        return config_text(version, {{"/trips/", "idempotent", services[version % 2]}});
    };
    fleet mesh({{"sidecar-qld-a-1", "qld-a", "booking"},
                {"sidecar-qld-a-2", "qld-a", "booking"},
                {"sidecar-qld-a-3", "qld-a", "gallery"}},
               config(), {}, log);
    int late = 0;
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        ++version;
        mesh.configure(config());
        std::this_thread::sleep_for(change_to_outage);
        if (trouble) {
            mesh.platform.set_silent(true);
            log.line("the store answers nothing");
        }
        std::this_thread::sleep_for(outage);
        mesh.platform.set_silent(false);
        const time_point ended = steady_clock::now();
        log.line("the store answers again");
        std::this_thread::sleep_for(outage_to_change);
        ++version;
        const time_point acknowledged = mesh.configure(config());
        const time_point from = std::max(ended + stable_window, acknowledged + config_apply);
        std::this_thread::sleep_until(from);
        std::vector<std::thread> clients;
        std::mutex mutex;
        for (const machine& each : mesh.machines) {
            clients.emplace_back([&] {
                while (steady_clock::now() < from + watched) {
                    const client_response response = call(each, "GET", "/trips/today", deadline, log);
                    const std::lock_guard lock(mutex);
                    answered += response.status == 200 ? 1 : 0;
                    if (response.status == 200 && response.body != "from " + services[version % 2]) {
                        ++late;
                        const auto after_end =
                            std::chrono::duration_cast<milliseconds>(response.sent_at - ended).count();
                        log.line("handled as only the older version allows: " + response.body + ", sent " +
                                 std::to_string(after_end) + " ms after the end of the outage");
                    }
                    std::this_thread::sleep_for(client_interval);
                }
            });
        }
        for (std::thread& each : clients) {
            each.join();
        }
    }
    const std::string summary = "requests answered 200: " + std::to_string(answered) +
                                "; run by the old service though sent later than 2000 ms after the "
                                "acknowledgement and 3000 ms after the outage: " +
                                std::to_string(late);
    log.line(summary);
    std::cout << summary << std::endl;
    if (answered == 0) {
        return could_not_run;
    }
    return late > 0 ? rule_broken : rule_held;
}
