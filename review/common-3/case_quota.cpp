// Machines leave one after the other, then the limit of the tenants is lowered. See claim.txt.

#include <algorithm>
#include <random>

#include "fleet.hpp"

namespace {

using namespace review;

constexpr double window_s = 5.0;
constexpr double config_apply_s = 2.5;
constexpr std::size_t machine_count = 7;
/// Positions of the machines that leave, one after the other.
const std::vector<std::size_t> removed = {0, 5, 6};
constexpr int tenant_count = 12;
constexpr int high_rate = 100;
constexpr int low_rate = 5;
/// Requests of each tenant a second, over all machines.
constexpr int sent_per_s = 30;
constexpr int clients_per_machine = 8;

std::vector<tenant> tenants_with(int rate)
{
    std::vector<tenant> out;
    for (int i = 0; i < tenant_count; ++i) {
        out.push_back({"tenant-" + std::to_string(i), "key-" + std::to_string(i), rate, rate});
    }
    return out;
}

/// The largest number of a tenant's requests that were sent and arrived in one window.
int fullest_window(const std::vector<std::pair<double, double>>& sent_and_arrived)
{
    int most = 0;
    for (const auto& first : sent_and_arrived) {
        const double end = first.first + window_s;
        const auto inside =
            std::count_if(sent_and_arrived.begin(), sent_and_arrived.end(),
                          [&](const auto& each) { return each.first >= first.first && each.second <= end; });
        most = std::max(most, static_cast<int>(inside));
    }
    return most;
}

struct traffic {
    std::mutex mutex;
    /// Time and tenant of each request, by its id.
    std::map<std::string, std::pair<double, int>> sent;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> clients;
};

void run_client(fleet& all, traffic& state, std::size_t machine, int client)
{
    const int pause_ms = 1000 * clients_per_machine * static_cast<int>(machine_count - removed.size()) /
                         (tenant_count * sent_per_s);
    std::minstd_rand random(static_cast<unsigned>(machine) * 100 + static_cast<unsigned>(client) + 1);
    std::uniform_int_distribution<int> any_tenant(0, tenant_count - 1);
    for (int n = 0; !state.stopping; ++n) {
        const int tenant = any_tenant(random);
        const std::string id =
            "q-" + std::to_string(machine) + '-' + std::to_string(client) + '-' + std::to_string(n);
        {
            const std::lock_guard lock(state.mutex);
            state.sent[id] = {now_s(), tenant};
        }
        all.request(machine, "GET", "/lookup/" + id, id, 400,
                    {{"Authorization", "Token key-" + std::to_string(tenant)}});
        sleep_ms(pause_ms);
    }
}

verdict run_case(recorder& events)
{
    deployment settings;
    settings.services.assign(machine_count, "register");
    fleet all(settings, events);
    if (!all.start(configuration(1, tenants_with(high_rate)))) {
        return verdict::not_run;
    }
    for (node& each : all.nodes) {
        each.target->service_ms = 5;
    }
    sleep_ms(3000);
    for (const std::size_t leaving : removed) {
        if (has_trouble() && !all.remove(leaving)) {
            events.add("a machine could not be removed");
            return verdict::not_run;
        }
    }
    traffic state;
    for (std::size_t machine = 0; machine < machine_count; ++machine) {
        if (std::count(removed.begin(), removed.end(), machine) > 0) {
            continue;
        }
        for (int client = 0; client < clients_per_machine; ++client) {
            state.clients.emplace_back(run_client, std::ref(all), std::ref(state), machine, client);
        }
    }
    sleep_ms(10'000);
    all.configure(configuration(2, tenants_with(low_rate)));
    const double bound_from = now_s() + config_apply_s + window_s;
    events.add("the lower limit binds from " + std::to_string(bound_from) + " s on");
    sleep_ms(20'000);
    state.stopping = true;
    for (std::thread& each : state.clients) {
        each.join();
    }
    std::vector<std::vector<std::pair<double, double>>> arrived(tenant_count);
    for (const node& each : all.nodes) {
        for (const arrival& at : each.target->arrivals()) {
            const auto found = state.sent.find(at.id);
            if (found != state.sent.end() && found->second.first > bound_from) {
                arrived[static_cast<std::size_t>(found->second.second)].emplace_back(found->second.first,
                                                                                     at.at);
            }
        }
    }
    // QuotaOver 0.1 and QuotaSlack 20.
    const double allowed = (low_rate * window_s + low_rate) * 1.1 + 20;
    verdict out = verdict::held;
    for (int i = 0; i < tenant_count; ++i) {
        const int most = fullest_window(arrived[static_cast<std::size_t>(i)]);
        const bool over = most > allowed;
        out = over ? verdict::broken : out;
        events.add("tenant-" + std::to_string(i) + ": " + std::to_string(most) + " in its fullest 5 s, " +
                   std::to_string(static_cast<int>(allowed)) + " allowed" + (over ? ", BROKEN" : ""));
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
