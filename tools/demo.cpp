#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

constexpr int data_centres = 4;
constexpr int register_targets = 9;
constexpr int geometry_targets = 4;

/// Sum of `pomeloloft_control_bytes_total` over all proxies, for one direction.
double control_bytes_without_heartbeats(const fleet& f, const std::string& direction)
{
    double total = 0;
    for (const auto& n : f.nodes) {
        const client_response answer = call(n->at.local, {"GET", "/metrics", {}, "", milliseconds{2000}});
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            const bool is_counted = line.rfind("pomeloloft_control_bytes_total{", 0) == 0 &&
                                    line.find("direction=\"" + direction + "\"") != std::string::npos &&
                                    line.find("heartbeat") == std::string::npos;
            total += is_counted ? std::stod(line.substr(line.rfind(' ') + 1)) : 0;
        }
    }
    return total;
}

void print_step(const std::string& text)
{
    std::cout << "== " << text << std::endl;
}

bool start_fleet(fleet& f)
{
    for (int i = 0; i < register_targets + geometry_targets; ++i) {
        const std::string service = i < register_targets ? "register" : "geometry";
        f.add({service + "-" + std::to_string(i),
               "celje-" + std::to_string(i % data_centres + 1),
               service,
               {},
               {},
               false});
    }
    return f.wait_until_ready(startup_timeout);
}

/// Submits a patch and prints how long it takes to be accepted and to be in force on all proxies.
bool show_change(fleet& f)
{
    const json operations{
        {{"op", "replace"}, {"path", "/routes/consult-records/deadline_ms"}, {"value", 1800}}};
    const double before = control_bytes_without_heartbeats(f, "sent");
    const time_point submitted_at = steady_clock::now();
    const client_response answer = f.submit(*f.nodes[3], "demo-change", 1, operations.dump());
    const time_point accepted_at = steady_clock::now();
    const bool in_force = f.wait_for_version(2, convergence_limit);
    const time_point in_force_at = steady_clock::now();
    const double bytes = control_bytes_without_heartbeats(f, "sent") - before;
    std::cout << "accepted after " << remaining(accepted_at, submitted_at).count() << " ms, in force on all "
              << f.nodes.size() << " proxies within " << remaining(in_force_at, accepted_at).count()
              << " ms after that (asking them all included); control bytes without heartbeats: " << std::fixed
              << std::setprecision(0) << bytes << "\n";
    return answer.status == 200 && in_force;
}

/// Sends an idempotent read, and a request with an idempotency key twice through different proxies.
bool show_requests(const fleet& f)
{
    const client_response read = call(f.nodes[0]->at.callers, {"GET", "/records/42"});
    std::cout << "GET /records/42 -> " << read.status << " " << read.outcome() << ", version "
              << read.header("X-Pomeloloft-Version") << "\n";
    const std::string key = get_key(f.nodes[5]->at.callers);
    const client_request repair{"POST", "/repairs", {{"Idempotency-Key", key}}, "{\"pattern\": 7}"};
    const client_response first = call(f.nodes[5]->at.callers, repair);
    const client_response repeated = call(f.nodes[2]->at.callers, repair);
    std::cout << "POST /repairs -> " << first.status << " " << first.outcome()
              << "; sent again through another proxy -> " << repeated.status
              << ", replayed: " << repeated.header("X-Pomeloloft-Replayed") << "\n";
    return read.status == 200 && first.status == 200 && repeated.header("X-Pomeloloft-Replayed") == "true";
}

/// Submits a patch against an old version and prints the refusal.
bool show_refusal(const fleet& f)
{
    const json operations{{{"op", "remove"}, {"path", "/routes/query-availability"}}};
    const client_response stale = f.submit(*f.nodes[7], "demo-stale", 1, operations.dump());
    const json body = json::parse(stale.body, nullptr, false);
    std::cout << body.value("outcome", "") << ": " << body.value("reason", "")
              << "\n  next: " << body.value("next_step", "") << "\n";
    return stale.status == 409;
}

} // namespace

int main()
{
    fleet f;
    print_step("starting " + std::to_string(register_targets + geometry_targets) +
               " proxies and targets over " + std::to_string(data_centres) + " data centres");
    bool ok = start_fleet(f);
    print_step("pomeloloft apply examples/savinja/pattern-shop.yaml");
    const command_result applied = f.apply(*f.nodes[0], example_path("savinja/pattern-shop.yaml"));
    std::cout << applied.output;
    ok = ok && applied.exit_code == 0 && f.wait_for_version(1, convergence_limit);
    ok = ok && f.wait_for_endpoints(*f.nodes[0], f.nodes.size(), startup_timeout);
    print_step("requests");
    ok = ok && show_requests(f);
    print_step("a patch against version 1");
    ok = ok && show_change(f);
    print_step("another patch against version 1, which is no longer current");
    ok = ok && show_refusal(f);
    print_step("requests under the new version");
    ok = ok && show_requests(f);
    print_step("pomeloloft status");
    std::cout << f.run({"status", "--proxy", f.nodes[0]->at.operators}).output;
    print_step("stopping");
    std::size_t clean_exits = 0;
    for (const auto& n : f.nodes) {
        n->target->withdraw_and_stop();
        clean_exits += n->process->terminate(startup_timeout).value_or(-1) == 0 ? 1 : 0;
    }
    std::cout << clean_exits << " of " << f.nodes.size() << " proxies ended cleanly\n";
    return ok && clean_exits == f.nodes.size() ? 0 : 1;
}
