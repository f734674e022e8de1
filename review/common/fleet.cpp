#include "fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace review {

fleet::fleet(const std::vector<machine_plan>& plans, const std::string& first_config,
             backend::options defaults, recorder& records)
    : log(records)
{
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
        std::exit(could_not_run);
    }
    this->directory = name;
    this->configure(first_config);
    for (const machine_plan& plan : plans) {
        machine added;
        added.to_store = std::make_unique<store_link>(this->platform.port());
        added.process = std::make_unique<sidecar>(
            sidecar::options{plan.node, plan.zone, plan.service, 0, added.to_store->port(), this->directory});
        backend::options chosen = defaults;
        chosen.service = plan.service;
        chosen.zone = plan.zone;
        chosen.control_port = added.process->control_port();
        added.application = std::make_unique<backend>("i-" + plan.node, chosen, this->log);
        added.process->set_target_port(added.application->port());
        added.process->start();
        this->machines.push_back(std::move(added));
    }
    for (const machine& each : this->machines) {
        if (!wait_until([&] { return each.process->is_ready(); }, milliseconds(10'000))) {
            this->log.line("sidecar " + each.process->node() + " is not ready");
            std::exit(could_not_run);
        }
    }
    // Backends are known to their sidecars after a heartbeat, and to the others shortly after.
    std::this_thread::sleep_for(milliseconds(3500));
}

fleet::~fleet()
{
    for (machine& each : this->machines) {
        each.process.reset();
        each.application.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

time_point fleet::configure(const std::string& config)
{
    this->platform.put("keyed.op", "config", config);
    this->log.line("the store acknowledges configuration " + config);
    return steady_clock::now();
}

std::string config_text(int version, const std::vector<route>& routes)
{
    std::string listed;
    for (const route& r : routes) {
        listed += (listed.empty() ? "" : ",") + std::string(R"({"Name":"r-)") +
                  r.prefix.substr(1, r.prefix.size() - 2) + R"(","Host":"trips.example","PathPrefix":")" +
                  r.prefix + R"(","RouteType":")" + r.type + R"(","TimeoutMs":)" +
                  std::to_string(r.timeout_ms) + R"(,"TargetLatencyMs":500,"Priority":1,"Service":")" +
                  r.service + R"(","MaxAttempts":)" + std::to_string(r.max_attempts) + "}";
    }
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + listed +
           R"(],"Services":[{"Name":"booking","HealthPath":"/health","MaxConnections":110,"Protocol":"h1",)"
           R"("Tls":false},{"Name":"gallery","HealthPath":"/health","MaxConnections":110,"Protocol":"h1",)"
           R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000}})";
}

client_response call(const machine& from, const std::string& method, const std::string& path,
                     milliseconds deadline, recorder& log)
{
    const std::string id = next_request_id();
    log.line("client on " + from.process->node() + " sends " + id + " " + method + " " + path);
    client_response out = send_request(from.process->outbound_port(), method, path, id, deadline);
    log.line("client on " + from.process->node() + " gets " +
             (out.status == 0 ? "no answer" : std::to_string(out.status)) + " to " + id);
    return out;
}

} // namespace review
