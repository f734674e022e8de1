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

/// Measures the latency of calls on three paths: directly to a target, through the target's proxy, and
/// through another proxy that forwards to the target's proxy. Each thread calls the paths in turn, so that
/// all are measured in the same run.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

/// One path to the target with the latencies measured on it.
struct path_results {
    const char* name;
    std::string address;
    std::vector<double> latencies_us;
    std::uint64_t failed = 0;
};

/// Makes one call on an established connection.
/// @return its latency in microseconds; negative when the call failed.
double measure_call_us(client_connection& connection)
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

/// Value at a fraction of sorted values, such as 0.99 for the 99th percentile.
double value_at(const std::vector<double>& sorted, double fraction)
{
    return sorted[static_cast<std::size_t>(std::lround(fraction * static_cast<double>(sorted.size() - 1)))];
}

json summarize(path_results& path)
{
    std::sort(path.latencies_us.begin(), path.latencies_us.end());
    return {{"calls", path.latencies_us.size()},
            {"failed", path.failed},
            {"p50_us", value_at(path.latencies_us, 0.5)},
            {"p99_us", value_at(path.latencies_us, 0.99)},
            {"p999_us", value_at(path.latencies_us, 0.999)}};
}

/// Latency in milliseconds that each path through proxies adds to the direct path.
json added_latency(const json& results)
{
    constexpr double micros_per_ms = 1000;
    json out;
    for (const char* percentile : {"p50_us", "p99_us"}) {
        for (const char* path : {"own_proxy", "two_proxies"}) {
            const double added_us = results.at(path).at(percentile).get<double>() -
                                    results.at("direct").at(percentile).get<double>();
            out[path][percentile] = added_us / micros_per_ms;
        }
    }
    return out;
}

/// Calls all paths in turn at a fixed rate.
/// @param calls_per_second total rate of all threads and paths.
/// @param calls number of calls on each path, over all threads.
json run_at_rate(std::vector<path_results> paths, double calls_per_second, std::size_t threads,
                 std::size_t calls)
{
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (std::size_t t = 0; t < threads; ++t) {
        callers.emplace_back([&] {
            std::vector<std::unique_ptr<client_connection>> connections;
            for (const path_results& path : paths) {
                connections.push_back(std::make_unique<client_connection>(path.address));
                (void)connections.back()->open(steady_clock::now() + milliseconds{1000});
            }
            const auto call_interval =
                std::chrono::duration<double>(static_cast<double>(threads) / calls_per_second);
            auto next_call_at = steady_clock::now();
            for (std::size_t i = 0; i < calls / threads; ++i) {
                for (std::size_t p = 0; p < paths.size(); ++p) {
                    std::this_thread::sleep_until(next_call_at);
                    next_call_at += std::chrono::duration_cast<steady_clock::duration>(call_interval);
                    const double latency_us = measure_call_us(*connections[p]);
                    const std::lock_guard lock(mutex);
                    if (latency_us < 0) {
                        ++paths[p].failed;
                    } else {
                        paths[p].latencies_us.push_back(latency_us);
                    }
                }
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    json out{{"calls_per_second", calls_per_second}, {"threads", threads}};
    for (path_results& path : paths) {
        out[path.name] = summarize(path);
    }
    if (paths.size() > 1) {
        out["added_ms"] = added_latency(out);
    }
    return out;
}

/// Measures the CPU time that each proxy spends per call. The CPU time that an idle proxy uses is measured
/// first and subtracted.
json measure_cpu_time(const node& entry, const node& target, double calls_per_second, std::size_t calls)
{
    constexpr milliseconds idle_period{3000};
    const auto cpu_seconds_between = [](const process_usage& before, const process_usage& after) {
        return after.cpu_seconds - before.cpu_seconds;
    };
    const process_usage entry_idle = read_usage(entry.process->id());
    const process_usage target_idle = read_usage(target.process->id());
    std::this_thread::sleep_for(idle_period);
    const process_usage entry_before = read_usage(entry.process->id());
    const process_usage target_before = read_usage(target.process->id());
    const time_point run_started_at = steady_clock::now();
    (void)run_at_rate({{"two_proxies", entry.at.callers, {}, 0}}, calls_per_second, 8, calls);
    const double idle_ratio = std::chrono::duration<double>(steady_clock::now() - run_started_at).count() /
                              std::chrono::duration<double>(idle_period).count();
    const process_usage entry_after = read_usage(entry.process->id());
    const process_usage target_after = read_usage(target.process->id());
    const double entry_cpu = cpu_seconds_between(entry_before, entry_after) -
                             idle_ratio * cpu_seconds_between(entry_idle, entry_before);
    const double target_cpu = cpu_seconds_between(target_before, target_after) -
                              idle_ratio * cpu_seconds_between(target_idle, target_before);
    constexpr double micros_per_second = 1e6;
    return {{"calls_per_second", calls_per_second},
            {"calls", calls},
            {"entry_us_per_call", entry_cpu / static_cast<double>(calls) * micros_per_second},
            {"beside_target_us_per_call", target_cpu / static_cast<double>(calls) * micros_per_second},
            {"entry_resident_mb", entry_after.resident_mb},
            {"beside_target_resident_mb", target_after.resident_mb}};
}

/// Opens connections, makes one call on each and keeps them open.
std::vector<std::unique_ptr<client_connection>> open_idle_connections(const std::string& address,
                                                                      std::size_t count)
{
    std::vector<std::unique_ptr<client_connection>> open_connections;
    for (std::size_t i = 0; i < count; ++i) {
        auto connection = std::make_unique<client_connection>(address);
        if (connection->open(steady_clock::now() + milliseconds{1000}) && measure_call_us(*connection) >= 0) {
            open_connections.push_back(std::move(connection));
        }
    }
    return open_connections;
}

/// Measures the memory of a proxy with many idle connections and the latency of calls through it meanwhile.
json measure_idle_connections(const std::vector<path_results>& paths, const node& entry,
                              double total_calls_per_second, std::size_t count)
{
    const double before_mb = read_usage(entry.process->id()).resident_mb;
    const auto open_connections = open_idle_connections(entry.at.callers, count);
    const double after_mb = read_usage(entry.process->id()).resident_mb;
    constexpr std::size_t calls = 600;
    return {{"connections", open_connections.size()},
            {"resident_mb_before", before_mb},
            {"resident_mb_after", after_mb},
            {"calls", run_at_rate(paths, total_calls_per_second, 4, calls)}};
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the latency that the mesh adds to a call.", ' ', "0.1.0");
    TCLAP::ValueArg<std::size_t> calls("", "calls", "number of calls on each path at each rate", false, 6000,
                                       "n", line);
    TCLAP::ValueArg<std::size_t> idle_connections("", "idle-connections",
                                                  "number of idle connections kept open to the entry proxy",
                                                  false, 1500, "n", line);
    line.parse(argc, argv);
    fleet f;
    node& target = f.add({"target", "celje-1", "register", {}, {}, false});
    node& entry = f.add({"entry", "celje-1", "", {}, {}, false});
    constexpr milliseconds step_timeout{15'000};
    const bool ready = f.wait_until_ready(step_timeout) &&
                       f.apply(entry, example_path("savinja/pattern-shop.yaml")).exit_code == 0 &&
                       f.wait_for_version(1, step_timeout) && f.wait_for_endpoints(entry, 1, step_timeout) &&
                       f.wait_for_endpoints(target, 1, step_timeout);
    if (!ready) {
        std::cerr << "pomeloloft_latency: the fleet was not ready in time\n";
        return 1;
    }
    const std::vector<path_results> paths{
        {"direct", "127.0.0.1:" + std::to_string(target.target->port()), {}, 0},
        {"own_proxy", target.at.callers, {}, 0},
        {"two_proxies", entry.at.callers, {}, 0},
    };
    json out = json::array();
    constexpr double calls_per_second_per_proxy = 188;
    // The three paths share one rate, so three times the stated rate of one proxy gives each path that rate.
    // The first run is a warm-up; its results are discarded.
    (void)run_at_rate(paths, 3 * calls_per_second_per_proxy, 4, 600);
    out.push_back(run_at_rate(paths, 3 * calls_per_second_per_proxy, 4, calls.getValue()));
    out.push_back(run_at_rate(paths, 3 * 10 * calls_per_second_per_proxy, 8, 10 * calls.getValue()));
    out.push_back({{"processor_time",
                    measure_cpu_time(entry, target, 10 * calls_per_second_per_proxy, 5 * calls.getValue())}});
    out.push_back({{"idle_connections", measure_idle_connections(paths, entry, 3 * calls_per_second_per_proxy,
                                                                 idle_connections.getValue())}});
    std::cout << out.dump(2) << "\n";
    return 0;
}
