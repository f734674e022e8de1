// Two machines at once are partitioned from the store, in turn each pair of a zone of four. Right after, the
// operator moves a route to another service.
#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

#include "../common/fleet.hpp"

using namespace review;

namespace {

constexpr milliseconds config_apply{2000};
constexpr milliseconds deadline{1500};
constexpr milliseconds client_interval{20};
constexpr milliseconds cut_time{4000};
constexpr milliseconds change_to_cut{500};
constexpr milliseconds cut_to_change{50};
constexpr milliseconds watched{1500};
constexpr milliseconds pause_between_rounds{6000};

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
                {"sidecar-qld-a-3", "qld-a", "gallery"},
                {"sidecar-qld-a-4", "qld-a", "gallery"}},
               config(), {}, log);
    int late = 0;
    int answered = 0;
    for (std::size_t first = 0; first < mesh.machines.size(); ++first) {
        for (std::size_t second = first + 1; second < mesh.machines.size(); ++second) {
            ++version;
            mesh.configure(config());
            std::this_thread::sleep_for(change_to_cut);
            if (trouble) {
                mesh.machines[first].to_store->cut();
                mesh.machines[second].to_store->cut();
                log.line("cut off from the store: " + mesh.machines[first].process->node() + " and " +
                         mesh.machines[second].process->node());
            }
            const time_point cut_at = steady_clock::now();
            std::this_thread::sleep_for(cut_to_change);
            ++version;
            const time_point acknowledged = mesh.configure(config());
            std::this_thread::sleep_until(acknowledged + config_apply);
            std::vector<std::thread> clients;
            std::mutex mutex;
            for (std::size_t i = 0; i < mesh.machines.size(); ++i) {
                if (i == first || i == second) {
                    continue;
                }
                clients.emplace_back([&, i] {
                    while (steady_clock::now() < acknowledged + config_apply + watched) {
                        const client_response response =
                            call(mesh.machines[i], "GET", "/trips/today", deadline, log);
                        const std::lock_guard lock(mutex);
                        answered += response.status == 200 ? 1 : 0;
                        if (response.status == 200 && response.body != "from " + services[version % 2]) {
                            ++late;
                            log.line("handled as only the older version allows: " + response.body +
                                     ", sent " +
                                     std::to_string(std::chrono::duration_cast<milliseconds>(
                                                        response.sent_at - acknowledged)
                                                        .count()) +
                                     " ms after the acknowledgement of version " + std::to_string(version));
                        }
                        std::this_thread::sleep_for(client_interval);
                    }
                });
            }
            for (std::thread& each : clients) {
                each.join();
            }
            std::this_thread::sleep_until(cut_at + cut_time);
            mesh.machines[first].to_store->heal();
            mesh.machines[second].to_store->heal();
            log.line("both reach the store again");
            std::this_thread::sleep_for(pause_between_rounds);
        }
    }
    const std::string summary = "requests answered 200: " + std::to_string(answered) +
                                "; run by the old service though sent later than 2000 ms after the "
                                "acknowledgement: " +
                                std::to_string(late);
    log.line(summary);
    std::cout << summary << std::endl;
    if (answered == 0) {
        return could_not_run;
    }
    return late > 0 ? rule_broken : rule_held;
}
