// The store is out, and the two machines that ask for it at short intervals are cut off from it when it is
// back.
#include "../common-2/deployment.hpp"

namespace {

using namespace review;

constexpr std::int64_t out_ms = 8000;
constexpr std::int64_t cut_from_ms = 7800; // from the begin of the outage
constexpr std::int64_t cut_ms = 4000;
constexpr std::int64_t settle_ms = 6000;
constexpr std::int64_t end_ms = 75'000;

std::string version_with(int version)
{
    return configuration(version, {{"/trips/", "idempotent", version % 2 == 1 ? "booking" : "gallery"}});
}

/// @param trouble false if nothing is to be disturbed (TROUBLE=0).
int run(bool trouble)
{
    deployment& d = *new deployment("review/9/record.txt");
    std::atomic<bool> out{false};
    std::atomic<bool> cut{false};
    const std::string uncut = "sidecar-a-3";
    d.platform.decide = [&](const std::string& machine) {
        return out || (cut && machine != uncut) ? store::fate::silent : store::fate::normal;
    };
    int version = 1;
    d.platform.put("keyed.op", "config", version_with(version));
    d.add("sidecar-a-1", "booking");
    d.add("sidecar-a-2", "booking");
    d.add("sidecar-a-3", "gallery");
    const auto found =
        std::find_if(d.machines.begin(), d.machines.end(), [&](const auto& m) { return m->name == uncut; });
    const machine& watched = **found;
    if (!d.wait_ready() || !d.ask_until(watched, "/trips/1", "200 ran at booking")) {
        d.record.line("the system did not start");
        d.finish();
        return 2;
    }
    int late = 0;
    int rounds = 0;
    while (now_ms() < end_ms) {
        ++rounds;
        const std::int64_t begin = now_ms();
        out = trouble;
        d.record.line("round " + std::to_string(rounds) + (trouble ? ": the store answers nothing" : ""));
        sleep_until_ms(begin + cut_from_ms);
        cut = trouble;
        sleep_until_ms(begin + out_ms);
        out = false;
        d.record.line("the store answers again" +
                      std::string(trouble ? ", but not the two machines cut off" : ""));
        sleep_ms(100);
        d.platform.put("keyed.op", "config", version_with(++version));
        const std::int64_t acknowledged = now_ms();
        d.record.line("the store acknowledges version " + std::to_string(version));
        const std::string expected = version % 2 == 1 ? "200 ran at booking" : "200 ran at gallery";
        sleep_until_ms(std::max(begin + out_ms + stable_window_ms, acknowledged + config_apply_ms) + 50);
        while (now_ms() < begin + cut_from_ms + cut_ms) {
            late += d.ask(watched, "GET", "/trips/1") == expected ? 0 : 1;
            sleep_ms(20);
        }
        cut = false;
        d.record.line("the cut has healed");
        sleep_ms(settle_ms);
    }
    d.record.line("requests at the machine in touch that were handled by the older version: " +
                  std::to_string(late) + ", in " + std::to_string(rounds) + " rounds");
    d.finish();
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = review::trouble_wanted(argc, argv);
    return review::run_case([trouble] { return run(trouble); });
}
