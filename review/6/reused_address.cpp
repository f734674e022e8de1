// The address of a backend that has ended goes to a backend of another service.
#include "../common-2/deployment.hpp"

namespace {

using namespace review;

constexpr std::int64_t reuse_after_ms = 2000;
constexpr std::int64_t watch_ms = 12'000;

int run()
{
    deployment& d = *new deployment("review/6/record.txt");
    d.platform.put("keyed.op", "config",
                   configuration(1, {{"/trips/", "idempotent", "booking"},
                                     {"/seats/", "non_idempotent", "booking"},
                                     {"/photos/", "idempotent", "gallery"}}));
    machine& first = d.add("sidecar-a-1", "booking");
    machine& second = d.add("sidecar-a-2", "booking");
    d.add("sidecar-a-3", "gallery");
    if (!d.wait_ready() || !d.ask_until(first, "/trips/1", "200 ran at booking") ||
        !d.ask_until(first, "/photos/1", "200 ran at gallery")) {
        d.record.line("the system did not start");
        d.finish();
        return 2;
    }
    if (trouble_enabled()) {
        d.crash_backend(second);
        sleep_ms(reuse_after_ms + 500);
        // The machine hosts the other service from now on, and its settings say so.
        auto settings = d.settings_of(second, d.platform.server.port);
        settings["Service"] = "gallery";
        second.process->write_settings(settings);
        second.process->kill(SIGHUP);
        d.record.line("the settings of " + second.name + " name the service gallery; SIGHUP is sent");
        d.restart_backend(second, "gallery", "i-gallery-new", unix_ms());
    }
    const std::int64_t until = now_ms() + watch_ms;
    while (now_ms() < until) {
        d.ask(first, "GET", "/trips/1");
        d.ask(first, "POST", "/seats/1");
        sleep_ms(100);
    }
    int wrong = 0;
    for (const run_entry& r : d.runs()) {
        const bool photo = r.path.starts_with("/photos/");
        wrong += photo == (r.service == "gallery") ? 0 : 1;
    }
    d.record.line("requests run by a service that no configuration names for them: " + std::to_string(wrong));
    d.finish();
    return wrong > 0 ? 1 : 0;
}

} // namespace

int main()
{
    return review::run_case(run);
}
