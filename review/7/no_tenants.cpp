// A version of the configuration takes the keys of all tenants away.
#include "../common-2/deployment.hpp"

namespace {

using namespace review;

constexpr std::int64_t apply_ms = 2500;
constexpr std::int64_t watch_ms = 10'000;

std::string version_with(int version, const std::string& tenants)
{
    return configuration(version,
                         {{"/trips/", "idempotent", "booking"}, {"/seats/", "non_idempotent", "booking"}},
                         ",\"Tenants\":[" + tenants + "]");
}

/// @param trouble false if nothing is to be disturbed (TROUBLE=0).
int run(bool trouble)
{
    deployment& d = *new deployment("review/7/record.txt");
    const std::string held = "3nr26tta828m82thhkmg";
    const std::string never_held = "jqnirth5mgjy5rcpihha";
    const std::string tenant = "{\"Name\":\"bozi300\",\"ApiKeys\":[\"" + held + "\"],\"Priority\":1}";
    d.platform.put("keyed.op", "config", version_with(1, tenant));
    machine& first = d.add("sidecar-a-1", "booking");
    machine& second = d.add("sidecar-a-2", "booking");
    if (!d.wait_ready()) {
        d.record.line("the system did not start");
        d.finish();
        return 2;
    }
    const bool works = d.ask(first, "GET", "/trips/1", held) == "200 ran at booking" &&
                       d.ask(first, "GET", "/trips/1", never_held).starts_with("401");
    if (!works) {
        d.record.line("the first version is not in force");
        d.finish();
        return 2;
    }
    d.platform.put("keyed.op", "config", version_with(2, trouble ? "" : tenant));
    d.record.line(std::string("the store acknowledges version 2, which holds ") +
                  (trouble ? "no key: \"Tenants\":[]" : "the same key"));
    sleep_ms(apply_ms + 500);
    const std::int64_t in_force = now_ms();
    while (now_ms() < in_force + watch_ms) {
        for (const machine* at : {&first, &second}) {
            d.ask(*at, "GET", "/trips/1", held);
            d.ask(*at, "POST", "/seats/1", held);
            d.ask(*at, "GET", "/trips/1", never_held);
            d.ask(*at, "POST", "/seats/1", never_held);
        }
        sleep_ms(500);
    }
    int dropped = 0;
    int foreign = 0;
    int shown = 0;
    for (const run_entry& r : d.runs()) {
        const bool later = r.at >= in_force;
        dropped += later && trouble && d.key_of(r.request) == held ? 1 : 0;
        foreign += d.key_of(r.request) == never_held ? 1 : 0;
        shown += r.authorization.empty() ? 0 : 1;
    }
    d.record.line("requests run with a dropped key: " + std::to_string(dropped) +
                  ", with a key that no configuration ever held: " + std::to_string(foreign) +
                  "; runs whose backend was shown the key: " + std::to_string(shown));
    d.finish();
    return dropped + foreign + shown > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = review::trouble_wanted(argc, argv);
    return review::run_case([trouble] { return run(trouble); });
}
