#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <thread>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "fleet.hpp"
#include "pomeloloft/http/connection_pool.hpp"
#include "process_usage.hpp"

/// Compares calls to a target directly, through its own proxy, and through another proxy, in turn in one run.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

struct path_figures {
    const char* name;
    std::string address;
    std::vector<double> micros;
    std::uint64_t failed = 0;
};

/// One call on a warm connection, in microseconds; negative when it fails.
double timed_call(client_connection& connection)
{
    Poco::Net::HTTPRequest request("GET", "/records/1", Poco::Net::HTTPRequest::HTTP_1_1);
    request.setKeepAlive(true);
    const auto begin = steady_clock::now();
    try {
        connection.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream& body = connection.receiveResponse(response);
        body.ignore(std::numeric_limits<std::streamsize>::max());
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return -1;
        }
    } catch (const Poco::Exception&) {
        return -1;
    }
    return std::chrono::duration<double, std::micro>(steady_clock::now() - begin).count();
}

double at(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(std::lround(share * static_cast<double>(sorted.size() - 1)))];
}

json summary(path_figures& path)
{
    std::sort(path.micros.begin(), path.micros.end());
    return {{"calls", path.micros.size()},
            {"failed", path.failed},
            {"p50_us", at(path.micros, 0.5)},
            {"p99_us", at(path.micros, 0.99)},
            {"p999_us", at(path.micros, 0.999)}};
}

/// What each path through proxies adds to the direct one, in milliseconds.
json added_to(const json& figures)
{
    constexpr double micros_per_ms = 1000;
    json out;
    for (const char* share : {"p50_us", "p99_us"}) {
        for (const char* path : {"own_proxy", "two_proxies"}) {
            const double added =
                figures.at(path).at(share).get<double>() - figures.at("direct").at(share).get<double>();
            out[path][share] = added / micros_per_ms;
        }
    }
    return out;
}

/// Calls all paths in turn at a pace, from several threads that share it.
json run_rate(std::vector<path_figures> paths, double calls_per_second, std::size_t threads,
              std::size_t calls)
{
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (std::size_t t = 0; t < threads; ++t) {
        callers.emplace_back([&] {
            std::vector<std::unique_ptr<client_connection>> connections;
            for (const path_figures& path : paths) {
                connections.push_back(std::make_unique<client_connection>(path.address));
                (void)connections.back()->open(steady_clock::now() + milliseconds{1000});
            }
            const auto gap = std::chrono::duration<double>(static_cast<double>(threads) / calls_per_second);
            auto next = steady_clock::now();
            for (std::size_t i = 0; i < calls / threads; ++i) {
                for (std::size_t p = 0; p < paths.size(); ++p) {
                    std::this_thread::sleep_until(next);
                    next += std::chrono::duration_cast<steady_clock::duration>(gap);
                    const double micros = timed_call(*connections[p]);
                    const std::lock_guard lock(mutex);
                    if (micros < 0) {
                        ++paths[p].failed;
                    } else {
                        paths[p].micros.push_back(micros);
                    }
                }
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    json out{{"calls_per_second", calls_per_second}, {"threads", threads}};
    for (path_figures& path : paths) {
        out[path.name] = summary(path);
    }
    if (paths.size() > 1) {
        out["added_ms"] = added_to(out);
    }
    return out;
}

/// Processor time that each proxy spends on a call, idle time taken off.
json run_processor_time(const node& entry, const node& target, double calls_per_second, std::size_t calls)
{
    constexpr milliseconds idle{3000};
    const auto spent = [](const process_usage& before, const process_usage& after) {
        return after.cpu_seconds - before.cpu_seconds;
    };
    const process_usage entry_idle = read_usage(entry.process->id());
    const process_usage target_idle = read_usage(target.process->id());
    std::this_thread::sleep_for(idle);
    const process_usage entry_before = read_usage(entry.process->id());
    const process_usage target_before = read_usage(target.process->id());
    const time_point begun = steady_clock::now();
    (void)run_rate({{"two_proxies", entry.at.callers, {}, 0}}, calls_per_second, 8, calls);
    const double idle_share = std::chrono::duration<double>(steady_clock::now() - begun).count() /
                              std::chrono::duration<double>(idle).count();
    const process_usage entry_after = read_usage(entry.process->id());
    const process_usage target_after = read_usage(target.process->id());
    const double entry_cpu = spent(entry_before, entry_after) - idle_share * spent(entry_idle, entry_before);
    const double target_cpu =
        spent(target_before, target_after) - idle_share * spent(target_idle, target_before);
    constexpr double micros = 1e6;
    return {{"calls_per_second", calls_per_second},
            {"calls", calls},
            {"entry_us_per_call", entry_cpu / static_cast<double>(calls) * micros},
            {"beside_target_us_per_call", target_cpu / static_cast<double>(calls) * micros},
            {"entry_resident_mb", entry_after.resident_mb},
            {"beside_target_resident_mb", target_after.resident_mb}};
}

/// Connections that have carried one call and are then held open.
std::vector<std::unique_ptr<client_connection>> hold_connections(const std::string& address,
                                                                 std::size_t count)
{
    std::vector<std::unique_ptr<client_connection>> held;
    for (std::size_t i = 0; i < count; ++i) {
        auto connection = std::make_unique<client_connection>(address);
        if (connection->open(steady_clock::now() + milliseconds{1000}) && timed_call(*connection) >= 0) {
            held.push_back(std::move(connection));
        }
    }
    return held;
}

/// Memory of a proxy that holds many idle connections, and what calls through it take meanwhile.
json run_idle_connections(const std::vector<path_figures>& paths, const node& entry, double rate,
                          std::size_t count)
{
    const double before_mb = read_usage(entry.process->id()).resident_mb;
    const auto held = hold_connections(entry.at.callers, count);
    const double after_mb = read_usage(entry.process->id()).resident_mb;
    constexpr std::size_t calls = 600;
    return {{"connections", held.size()},
            {"resident_mb_before", before_mb},
            {"resident_mb_after", after_mb},
            {"calls", run_rate(paths, rate, 4, calls)}};
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the time the mesh adds to a call.", ' ', "0.1.0");
    TCLAP::ValueArg<std::size_t> calls("", "calls", "calls on each path and rate", false, 6000, "n", line);
    TCLAP::ValueArg<std::size_t> idle("", "idle-connections", "idle connections held at the entry", false,
                                      1500, "n", line);
    line.parse(argc, argv);
    fleet f;
    node& target = f.add({"target", "celje-1", "register", {}, {}, false});
    node& entry = f.add({"entry", "celje-1", "", {}, {}, false});
    constexpr milliseconds limit{15'000};
    const bool ready = f.wait_until_ready(limit) &&
                       f.apply(entry, example_path("savinja/pattern-shop.yaml")).exit_code == 0 &&
                       f.wait_for_version(1, limit) && f.wait_for_endpoints(entry, 1, limit) &&
                       f.wait_for_endpoints(target, 1, limit);
    if (!ready) {
        std::cerr << "the fleet did not come up\n";
        return 1;
    }
    const std::vector<path_figures> paths{
        {"direct", "127.0.0.1:" + std::to_string(target.target->port()), {}, 0},
        {"own_proxy", target.at.callers, {}, 0},
        {"two_proxies", entry.at.callers, {}, 0},
    };
    json out = json::array();
    constexpr double proxy_rate = 188;
    // The three paths share a rate, so that each carries the stated rate of one proxy.
    (void)run_rate(paths, 3 * proxy_rate, 4, 600);
    out.push_back(run_rate(paths, 3 * proxy_rate, 4, calls.getValue()));
    out.push_back(run_rate(paths, 3 * 10 * proxy_rate, 8, 10 * calls.getValue()));
    out.push_back(
        {{"processor_time", run_processor_time(entry, target, 10 * proxy_rate, 5 * calls.getValue())}});
    out.push_back(
        {{"idle_connections", run_idle_connections(paths, entry, 3 * proxy_rate, idle.getValue())}});
    std::cout << out.dump(2) << "\n";
    return 0;
}
