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

/// Starts real proxies over the log stand-in, runs every scenario and writes one JSON document of figures.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

struct experiment_options {
    std::size_t nodes = 10;
    std::size_t data_centres = 4;
    std::size_t services = 260;
    std::size_t changes = 20;
    /// Entries of nodes that do not exist, so that tables have the target's size.
    std::size_t phantoms = 0;
    std::string preset = "convergence";
    std::string distribution = "tree";
    std::size_t full_syncs = 4;
    /// Declared beside the preset; 0 and, for the window, a negative number leave it to the preset.
    std::uint32_t fan_out = 0;
    std::uint32_t heartbeat_ms = 0;
    int batch_window_ms = -1;
    /// One-way delay put on every link.
    milliseconds link_delay{0};
    /// Time for every proxy to find its place in the tree.
    milliseconds settle{35'000};
    /// Restart half of the fleet only.
    bool only_restart = false;
    milliseconds window{10'000};
};

/// Declarations of the target's size: services with two routes each.
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

json run_idle(const fleet& f, const experiment_options& options)
{
    progress("idle");
    const json log_before = log_counters(f);
    const samples before = take_samples(f);
    std::this_thread::sleep_for(options.window);
    const samples after = take_samples(f);
    const double seconds = std::chrono::duration<double>(options.window).count();
    return {{"roles", per_role(before, after, seconds)},
            {"bytes_sent_by_kind", bytes_by_kind(before, after)},
            {"log", log_delta(log_before, log_counters(f))},
            {"seconds", seconds}};
}

/// Submits changes as fast as they are accepted, then waits until all proxies have the last.
json run_burst(const fleet& f, const experiment_options& options, std::int64_t& version)
{
    progress("burst");
    const samples before = take_samples(f);
    const time_point begun = steady_clock::now();
    std::size_t accepted = 0;
    constexpr int ok = 200;
    for (std::size_t i = 0; i < options.changes; ++i) {
        const auto answer = f.submit(*f.nodes[0], "burst-" + std::to_string(version),
                                     static_cast<std::uint64_t>(version), change_of_queue(version).dump());
        accepted += answer.status == ok ? 1 : 0;
        version += answer.status == ok ? 1 : 0;
    }
    const double accepted_ms = static_cast<double>(remaining(steady_clock::now(), begun).count());
    wait_until(large_start_limit, [&] { return versions_reached(f, version); });
    const double all_ms = static_cast<double>(remaining(steady_clock::now(), begun).count());
    const json bytes = bytes_by_kind(before, take_samples(f));
    const double config_bytes = bytes["records"].get<double>() + bytes["snapshot"].get<double>();
    return {{"changes", accepted},
            {"accepted_ms", accepted_ms},
            {"last_proxy_after_ms", all_ms - accepted_ms},
            {"config_bytes_per_change_per_proxy",
             config_bytes / static_cast<double>(std::max<std::size_t>(1, accepted) * f.nodes.size())}};
}

/// Submits changes one after the other and takes from each proxy when it had them in force.
json run_changes(const fleet& f, const experiment_options& options, std::int64_t& version)
{
    progress("changes");
    std::vector<double> last_ms;
    std::vector<double> each_ms;
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
        constexpr int ok = 200;
        if (answer.status != ok) {
            progress("refused: " + answer.body);
            continue;
        }
        ++version;
        // Nothing is asked while the change spreads, so that the asking does not slow it.
        std::this_thread::sleep_for(milliseconds{500});
        wait_until(milliseconds{30'000}, [&] { return versions_reached(f, version); });
        double last = 0;
        for (const sample& s : take_samples(f)) {
            const double took =
                metric_of(s, "pomeloloft_config_in_force_since_ms") - static_cast<double>(submitted_ms);
            each_ms.push_back(took);
            last = std::max(last, took);
        }
        last_ms.push_back(last);
    }
    const samples after = take_samples(f);
    json bytes = bytes_by_kind(before, after);
    const double config_bytes = bytes["records"].get<double>() + bytes["snapshot"].get<double>();
    return {{"changes", last_ms.size()},
            {"patch_bytes", patch_bytes},
            {"last_proxy_ms", percentiles(last_ms)},
            {"any_proxy_ms", percentiles(each_ms)},
            {"config_bytes_per_change_per_proxy",
             config_bytes / static_cast<double>(std::max<std::size_t>(1, last_ms.size()) * f.nodes.size())},
            {"bytes_sent_by_kind", std::move(bytes)},
            {"log", log_delta(log_before, log_counters(f))}};
}

/// Teaches the fleet entries of nodes that do not exist, in a data centre of their own, by one link.
void add_phantoms(const fleet& f, std::size_t count)
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
    wait_until(large_start_limit, [&] {
        hub.tick();
        std::size_t reached = 0;
        for (const auto& n : f.nodes) {
            reached += metric(n->at.local, "pomeloloft_members") >= static_cast<double>(count) ? 1 : 0;
        }
        return reached == f.nodes.size();
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
    progress("starting " + std::to_string(options.nodes));
    json out{{"nodes", options.nodes},
             {"data_centres", options.data_centres},
             {"services", options.services},
             {"preset", options.preset},
             {"distribution", options.distribution},
             {"declared", make_declarations(options).at("distribution")},
             {"link_delay_ms", options.link_delay.count()},
             {"full_syncs", options.full_syncs}};
    out["started"] = f.wait_until_ready(large_start_limit);
    const json declarations = make_declarations(options);
    const std::string path = "experiment-" + std::to_string(::getpid()) + ".json";
    std::ofstream(path) << declarations.dump();
    const command_result applied = f.apply(*f.nodes[0], path);
    std::remove(path.c_str());
    out["applied"] = applied.exit_code == 0;
    out["document_bytes"] = declarations.dump().size();
    if (options.phantoms > 0) {
        progress("phantom members");
        add_phantoms(f, options.phantoms);
        out["phantoms"] = options.phantoms;
    }
    std::int64_t version = 1;
    wait_until(large_start_limit, [&] { return versions_reached(f, version); });
    if (!options.only_restart) {
        std::this_thread::sleep_for(options.settle);
        out["idle"] = run_idle(f, options);
        out["change"] = run_changes(f, options, version);
        out["burst"] = run_burst(f, options, version);
    }
    out["restart"] = run_restart(f, version);
    if (!options.only_restart) {
        out["endpoint_churn"] = run_endpoint_churn(f, options.window);
        out["reader_death"] = run_reader_death(f, version);
        out["log_outage"] = run_log_outage(f, version);
    }
    for_all(f.nodes.size(), [&](std::size_t i) { f.nodes[i]->process->kill(); });
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures distribution with real proxies on this machine.", ' ', "0.1.0");
    TCLAP::ValueArg<std::size_t> nodes("", "nodes", "proxies", false, 10, "n", line);
    TCLAP::ValueArg<std::size_t> data_centres("", "data-centres", "data centres", false, 4, "n", line);
    TCLAP::ValueArg<std::size_t> services("", "services", "services declared", false, 260, "n", line);
    TCLAP::ValueArg<std::size_t> changes("", "changes", "changes submitted", false, 20, "n", line);
    TCLAP::ValueArg<std::size_t> phantoms("", "phantoms", "entries of nodes that do not exist", false, 0, "n",
                                          line);
    TCLAP::ValueArg<std::string> preset("", "preset", "convergence or bytes", false, "convergence", "name",
                                        line);
    TCLAP::ValueArg<std::string> mode("", "distribution", "tree, poll or whole", false, "tree", "name", line);
    TCLAP::ValueArg<std::size_t> full_syncs("", "full-syncs", "links brought up to date at one time", false,
                                            experiment_options{}.full_syncs, "n", line);
    TCLAP::ValueArg<std::uint32_t> fan_out("", "fan-out", "children planned a parent", false, 0, "n", line);
    TCLAP::ValueArg<std::uint32_t> heartbeat("", "heartbeat-ms", "time between heartbeats", false, 0, "ms",
                                             line);
    TCLAP::ValueArg<int> window("", "batch-window-ms", "time changes are gathered", false, -1, "ms", line);
    TCLAP::ValueArg<int> delay("", "link-delay-ms", "one-way delay of every link", false, 0, "ms", line);
    TCLAP::ValueArg<int> settle("", "settle-ms", "time for the tree to settle", false, 35'000, "ms", line);
    TCLAP::SwitchArg only_restart("", "only-restart", "leave out the idle and change scenarios", line);
    line.parse(argc, argv);
    constexpr std::size_t most_nodes = 250;
    if (nodes.getValue() < 1 || nodes.getValue() > most_nodes) {
        std::cerr << "--nodes: must be from 1 to 250\n";
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
    options.batch_window_ms = window.getValue();
    options.link_delay = milliseconds(delay.getValue());
    options.settle = milliseconds(settle.getValue());
    options.only_restart = only_restart.getValue();
    std::cout << run_all(options).dump(2) << "\n";
    return 0;
}
