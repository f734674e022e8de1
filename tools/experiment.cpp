#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "fault_scenarios.hpp"
#include "fleet.hpp"
#include "fleet_samples.hpp"
#include "pomeloloft/sync/grpc_links.hpp"

/// Measures configuration distribution: starts proxy processes against the log stand-in, runs the scenarios
/// and writes the results as one JSON document.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

struct experiment_options {
    std::size_t nodes = 10;
    std::size_t data_centres = 4;
    std::size_t services = 260;
    std::size_t changes = 20;
    /// Number of synthetic members (entries of nodes that do not exist), added so that membership tables
    /// reach the size that the system is designed for.
    std::size_t phantoms = 0;
    std::string preset = "convergence";
    std::string distribution = "tree";
    std::size_t full_syncs = 4;
    /// Override the values of the preset. 0, or a negative number for the batch window, keeps the value of
    /// the preset.
    std::uint32_t fan_out = 0;
    std::uint32_t heartbeat_ms = 0;
    int batch_window_ms = -1;
    /// One-way delay added to every link between proxies.
    milliseconds link_delay{0};
    /// Time to wait after the start until every proxy has its final position in the distribution tree.
    milliseconds settle_time{35'000};
    /// Run only the scenario that restarts half of the fleet.
    bool only_restart = false;
    /// Length of the idle and the endpoint churn measurement.
    milliseconds measurement_window{10'000};
};

/// Declarations with `options.services` services and two routes for each. The default number of services is
/// the one that the system is designed for.
json make_declarations(const experiment_options& options)
{
    json doc{{"distribution", {{"preset", options.preset}}}};
    if (options.fan_out > 0) {
        doc["distribution"]["fan_out"] = options.fan_out;
    }
    if (options.heartbeat_ms > 0) {
        doc["distribution"]["heartbeat_ms"] = options.heartbeat_ms;
    }
    if (options.batch_window_ms >= 0) {
        doc["distribution"]["batch_window_ms"] = options.batch_window_ms;
    }
    for (std::size_t i = 0; i < options.services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        doc["services"][name] = {{"slots", 10}, {"connections", 130}, {"queue", 40}};
        doc["routes"]["read-" + name] = {
            {"prefix", "/" + name}, {"methods", {"GET"}}, {"service", name}, {"idempotent", true}};
        doc["routes"]["write-" + name] = {{"prefix", "/" + name}, {"methods", {"POST"}}, {"service", name}};
    }
    return doc;
}

/// Measures CPU time, memory and control traffic while no change is submitted.
json run_idle(const fleet& f, const experiment_options& options)
{
    print_progress("idle");
    const json log_before = log_counters(f);
    const samples before = take_samples(f);
    std::this_thread::sleep_for(options.measurement_window);
    const samples after = take_samples(f);
    const double seconds = std::chrono::duration<double>(options.measurement_window).count();
    return {{"roles", usage_by_role(before, after, seconds)},
            {"bytes_sent_by_kind", bytes_by_kind(before, after)},
            {"log", log_counter_deltas(log_before, log_counters(f))},
            {"seconds", seconds}};
}

/// Submits changes, each as soon as the previous one is accepted, then waits until all proxies have the last
/// version in force.
/// @param version the version in force; incremented for each accepted change.
json run_burst(const fleet& f, const experiment_options& options, std::int64_t& version)
{
    print_progress("burst");
    const samples before = take_samples(f);
    const time_point started_at = steady_clock::now();
    std::size_t accepted = 0;
    constexpr int status_ok = 200;
    for (std::size_t i = 0; i < options.changes; ++i) {
        const auto answer = f.submit(*f.nodes[0], "burst-" + std::to_string(version),
                                     static_cast<std::uint64_t>(version), make_queue_change(version).dump());
        accepted += answer.status == status_ok ? 1 : 0;
        version += answer.status == status_ok ? 1 : 0;
    }
    const double accepted_ms = static_cast<double>(remaining(steady_clock::now(), started_at).count());
    wait_until(large_fleet_timeout, [&] { return all_reached_version(f, version); });
    const double converged_ms = static_cast<double>(remaining(steady_clock::now(), started_at).count());
    const json bytes = bytes_by_kind(before, take_samples(f));
    const double config_bytes = bytes["records"].get<double>() + bytes["snapshot"].get<double>();
    return {{"changes", accepted},
            {"accepted_ms", accepted_ms},
            {"last_proxy_after_ms", converged_ms - accepted_ms},
            {"config_bytes_per_change_per_proxy",
             config_bytes / static_cast<double>(std::max<std::size_t>(1, accepted) * f.nodes.size())}};
}

/// Submits changes one at a time and reads from the metrics of each proxy when each change came into force.
/// @param version the version in force; incremented for each accepted change.
json run_changes(const fleet& f, const experiment_options& options, std::int64_t& version)
{
    print_progress("changes");
    std::vector<double> last_proxy_ms;
    std::vector<double> any_proxy_ms;
    std::size_t patch_bytes = 0;
    const json log_before = log_counters(f);
    const samples before = take_samples(f);
    for (std::size_t i = 0; i < options.changes; ++i) {
        const json operations{{{"op", "replace"},
                               {"path", "/services/service-" + std::to_string(i) + "/queue"},
                               {"value", 50 + version}}};
        patch_bytes = operations.dump().size();
        const std::int64_t submitted_ms = wall_clock_ms();
        const auto answer = f.submit(*f.nodes[i % f.nodes.size()], "change-" + std::to_string(version),
                                     static_cast<std::uint64_t>(version), operations.dump());
        constexpr int status_ok = 200;
        if (answer.status != status_ok) {
            print_progress("change refused: " + answer.body);
            continue;
        }
        ++version;
        // Proxies are not polled while the change propagates, as polling would slow the propagation.
        std::this_thread::sleep_for(milliseconds{500});
        wait_until(milliseconds{30'000}, [&] { return all_reached_version(f, version); });
        double slowest_ms = 0;
        for (const sample& s : take_samples(f)) {
            const double elapsed_ms =
                sample_metric(s, "pomeloloft_config_in_force_since_ms") - static_cast<double>(submitted_ms);
            any_proxy_ms.push_back(elapsed_ms);
            slowest_ms = std::max(slowest_ms, elapsed_ms);
        }
        last_proxy_ms.push_back(slowest_ms);
    }
    const samples after = take_samples(f);
    json bytes = bytes_by_kind(before, after);
    const double config_bytes = bytes["records"].get<double>() + bytes["snapshot"].get<double>();
    return {
        {"changes", last_proxy_ms.size()},
        {"patch_bytes", patch_bytes},
        {"last_proxy_ms", summary_statistics(last_proxy_ms)},
        {"any_proxy_ms", summary_statistics(any_proxy_ms)},
        {"config_bytes_per_change_per_proxy",
         config_bytes / static_cast<double>(std::max<std::size_t>(1, last_proxy_ms.size()) * f.nodes.size())},
        {"bytes_sent_by_kind", std::move(bytes)},
        {"log", log_counter_deltas(log_before, log_counters(f))}};
}

/// Adds synthetic members in a data centre of their own: a peer link to the first proxy announces their
/// entries, and the call returns when every proxy has them or the time limit has passed.
void add_synthetic_members(const fleet& f, std::size_t count)
{
    sync_state state;
    state.node = "phantom-source";
    state.data_centre = "phantoms";
    for (std::size_t i = 0; i < count; ++i) {
        member m;
        m.node = "phantom-" + std::to_string(i);
        m.incarnation = 1;
        m.sequence = 1;
        m.state = member_state::serving;
        m.data_centre = "phantoms";
        m.service = "service-" + std::to_string(i % 260);
        m.peer_address = "127.0.0.1:1";
        m.control_address = "127.0.0.1:1";
        m.owner = "phantom-" + std::to_string(i / 8);
        merge(state.members, m, 0, steady_clock::now());
    }
    link_hub hub(std::move(state));
    const auto links = std::move(grpc_links::listen(hub, "127.0.0.1:" + std::to_string(free_port())).value());
    links->dial(f.nodes[0]->at.control, link_kind::peer, "");
    wait_until(large_fleet_timeout, [&] {
        hub.tick();
        std::size_t informed_nodes = 0;
        for (const auto& n : f.nodes) {
            informed_nodes += metric(n->at.local, "pomeloloft_members") >= static_cast<double>(count) ? 1 : 0;
        }
        return informed_nodes == f.nodes.size();
    });
    links->stop();
}

json run_all(const experiment_options& options)
{
    fleet f;
    for (std::size_t i = 0; i < options.nodes; ++i) {
        f.add({"n" + std::to_string(i),
               "dc-" + std::to_string(i % options.data_centres),
               "",
               {},
               {"--distribution", options.distribution, "--full-syncs", std::to_string(options.full_syncs)},
               options.link_delay.count() > 0});
        if (options.link_delay.count() > 0) {
            f.nodes.back()->control_faults->set_delay(options.link_delay);
        }
    }
    print_progress("starting proxies: " + std::to_string(options.nodes));
    json out{{"nodes", options.nodes},
             {"data_centres", options.data_centres},
             {"services", options.services},
             {"preset", options.preset},
             {"distribution", options.distribution},
             {"declared", make_declarations(options).at("distribution")},
             {"link_delay_ms", options.link_delay.count()},
             {"full_syncs", options.full_syncs}};
    out["started"] = f.wait_until_ready(large_fleet_timeout);
    const json declarations = make_declarations(options);
    const std::string path = "experiment-" + std::to_string(::getpid()) + ".json";
    std::ofstream(path) << declarations.dump();
    const command_result applied = f.apply(*f.nodes[0], path);
    std::remove(path.c_str());
    out["applied"] = applied.exit_code == 0;
    out["document_bytes"] = declarations.dump().size();
    if (options.phantoms > 0) {
        print_progress("adding synthetic members");
        add_synthetic_members(f, options.phantoms);
        out["phantoms"] = options.phantoms;
    }
    std::int64_t version = 1;
    wait_until(large_fleet_timeout, [&] { return all_reached_version(f, version); });
    if (!options.only_restart) {
        std::this_thread::sleep_for(options.settle_time);
        out["idle"] = run_idle(f, options);
        out["change"] = run_changes(f, options, version);
        out["burst"] = run_burst(f, options, version);
    }
    out["restart"] = run_restart(f, version);
    if (!options.only_restart) {
        out["endpoint_churn"] = run_endpoint_churn(f, options.measurement_window);
        out["reader_death"] = run_reader_crash(f, version);
        out["log_outage"] = run_log_outage(f, version);
    }
    parallel_for(f.nodes.size(), [&](std::size_t i) { f.nodes[i]->process->kill(); });
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures configuration distribution with proxy processes on this machine.", ' ',
                        "0.1.0");
    TCLAP::ValueArg<std::size_t> nodes("", "nodes", "proxies", false, 10, "n", line);
    TCLAP::ValueArg<std::size_t> data_centres("", "data-centres", "data centres", false, 4, "n", line);
    TCLAP::ValueArg<std::size_t> services("", "services", "number of declared services", false, 260, "n",
                                          line);
    TCLAP::ValueArg<std::size_t> changes("", "changes", "number of changes submitted", false, 20, "n", line);
    TCLAP::ValueArg<std::size_t> phantoms("", "phantoms", "number of synthetic members", false, 0, "n", line);
    TCLAP::ValueArg<std::string> preset("", "preset", "preset: convergence or bytes", false, "convergence",
                                        "name", line);
    TCLAP::ValueArg<std::string> mode("", "distribution", "distribution mode: tree, poll or whole", false,
                                      "tree", "name", line);
    TCLAP::ValueArg<std::size_t> full_syncs(
        "", "full-syncs", "maximum concurrent snapshot or full member table transfers per proxy", false,
        experiment_options{}.full_syncs, "n", line);
    TCLAP::ValueArg<std::uint32_t> fan_out(
        "", "fan-out", "planned children per parent; 0 keeps the value of the preset", false, 0, "n", line);
    TCLAP::ValueArg<std::uint32_t> heartbeat(
        "", "heartbeat-ms", "heartbeat interval; 0 keeps the value of the preset", false, 0, "ms", line);
    TCLAP::ValueArg<int> batch_window(
        "", "batch-window-ms",
        "time in which changes are batched; a negative number keeps the value of the preset", false, -1, "ms",
        line);
    TCLAP::ValueArg<int> link_delay_arg("", "link-delay-ms", "one-way delay added to every link", false, 0,
                                        "ms", line);
    TCLAP::ValueArg<int> settle_time("", "settle-ms", "time to wait until the distribution tree is stable",
                                     false, 35'000, "ms", line);
    TCLAP::SwitchArg only_restart("", "only-restart", "run only the scenario that restarts half of the fleet",
                                  line);
    line.parse(argc, argv);
    constexpr std::size_t max_nodes = 250;
    if (nodes.getValue() < 1 || nodes.getValue() > max_nodes) {
        std::cerr << "pomeloloft_experiment: --nodes must be from 1 to 250\n";
        return 2;
    }
    experiment_options options;
    options.nodes = nodes.getValue();
    options.data_centres = data_centres.getValue();
    options.services = services.getValue();
    options.changes = changes.getValue();
    options.phantoms = phantoms.getValue();
    options.preset = preset.getValue();
    options.distribution = mode.getValue();
    options.full_syncs = full_syncs.getValue();
    options.fan_out = fan_out.getValue();
    options.heartbeat_ms = heartbeat.getValue();
    options.batch_window_ms = batch_window.getValue();
    options.link_delay = milliseconds(link_delay_arg.getValue());
    options.settle_time = milliseconds(settle_time.getValue());
    options.only_restart = only_restart.getValue();
    std::cout << run_all(options).dump(2) << "\n";
    return 0;
}
