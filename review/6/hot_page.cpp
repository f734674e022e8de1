// All backends of a service crash while each runs the same popular request, and are back after some seconds.
#include "../common-2/deployment.hpp"

namespace {

using namespace review;

constexpr std::int64_t down_ms = 4000;
constexpr std::int64_t calm_ms = 6000; // from the return of the backends until the steady state is looked at
constexpr std::int64_t watch_ms = 20'000;

/// How many requests of a kind were sent and served.
struct tally {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};

    [[nodiscard]] double share() const { return this->sent == 0 ? 0 : 1.0 * this->served / this->sent; }
    [[nodiscard]] std::string text() const
    {
        return std::to_string(this->served) + " of " + std::to_string(this->sent);
    }
};

/// @param trouble false if nothing is to be disturbed (TROUBLE=0).
int run(bool trouble)
{
    deployment& d = *new deployment("review/6/record.txt");
    d.work_ms = 200;
    std::vector<route_entry> routes = {{"/trips/", "idempotent", "booking"},
                                       {"/photos/", "idempotent", "gallery"}};
    d.platform.put("keyed.op", "config", configuration(1, routes));
    machine& first = d.add("sidecar-a-1", "booking");
    std::vector<machine*> crashing;
    for (int i = 2; i <= 4; ++i) {
        crashing.push_back(&d.add("sidecar-a-" + std::to_string(i), "gallery"));
    }
    if (!d.wait_ready() || !d.ask_until(first, "/trips/1", "200 ran at booking") ||
        !d.ask_until(first, "/photos/1", "200 ran at gallery")) {
        d.record.line("the system did not start");
        d.finish();
        return 2;
    }
    routes.push_back({"/news/", "idempotent", "gallery"});
    d.platform.put("keyed.op", "config", configuration(2, routes));
    d.record.line("the store acknowledges version 2, which adds the route /news/");
    sleep_ms(config_apply_ms);
    std::atomic<bool> counting{false};
    std::atomic<bool> done{false};
    tally& later_route = *new tally;
    tally& first_routes = *new tally;
    const auto traffic = [&](tally& counted, std::int64_t gap_ms, const std::function<std::string()>& path) {
        std::thread([&, gap_ms, path] {
            while (!done) {
                std::thread([&, path] {
                    const bool counts = counting;
                    counted.sent += counts ? 1 : 0;
                    const bool served = d.ask(first, "GET", path()).starts_with("200");
                    counted.served += counts && served ? 1 : 0;
                }).detach();
                sleep_ms(gap_ms);
            }
        }).detach();
    };
    std::atomic<int> number{0};
    traffic(later_route, 25, [] { return std::string("/news/today"); });
    traffic(first_routes, 200, [&] { return "/trips/" + std::to_string(++number); });
    traffic(first_routes, 200, [&] { return "/photos/" + std::to_string(++number); });
    sleep_ms(4000);
    if (trouble) {
        for (machine* m : crashing) {
            d.crash_backend(*m);
        }
        sleep_ms(down_ms);
        for (machine* m : crashing) {
            d.restart_backend(*m, "gallery", m->instance + "-2", unix_ms());
        }
    }
    sleep_ms(calm_ms);
    counting = true;
    d.record.line("steady state from here on");
    sleep_ms(watch_ms);
    counting = false;
    done = true;
    sleep_ms(4500);
    const bool broken = later_route.sent >= 20 && later_route.share() < first_routes.share() / 4;
    d.record.line("served on the route that was added later: " + later_route.text() +
                  ", on the first routes: " + first_routes.text());
    d.finish();
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = review::trouble_wanted(argc, argv);
    return review::run_case([trouble] { return run(trouble); });
}
