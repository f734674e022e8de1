#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "fleet.hpp"
#include "pomeloloft/http/connection_pool.hpp"

/// Runs each load scenario twice against the same stand-in targets: through the mesh, and with a baseline
/// client that calls the targets directly, round robin, with a fixed timeout and up to three unconditional
/// retries.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

constexpr std::size_t target_count = 4;
constexpr std::uint32_t slots_per_target = 4;
constexpr milliseconds normal_service_time{20};
/// Requests per second that all targets together can serve.
constexpr double capacity_per_second =
    target_count * slots_per_target * 1000.0 / static_cast<double>(normal_service_time.count());
/// Fraction of requests with interactive priority, which people wait for; the rest are automated queries.
constexpr double interactive_fraction = 0.3;
constexpr milliseconds interactive_deadline{1000};
constexpr milliseconds automated_deadline{500};
constexpr std::size_t caller_count = 240;
constexpr std::size_t baseline_attempts = 4;

enum class scenario_kind : std::uint8_t {
    overload,
    half_of_targets_fail,
    slow_target,
    rolling_restart,
    lost_data_centre,
    retry_storm,
    hidden_slots,
    hidden_slots_adaptive,
};

constexpr name_table<scenario_kind, 8> scenario_names{{
    {scenario_kind::overload, "overload"},
    {scenario_kind::half_of_targets_fail, "half-die"},
    {scenario_kind::slow_target, "slow-target"},
    {scenario_kind::rolling_restart, "rolling-restart"},
    {scenario_kind::lost_data_centre, "lost-data-centre"},
    {scenario_kind::retry_storm, "retry-storm"},
    {scenario_kind::hidden_slots, "hidden-slots"},
    {scenario_kind::hidden_slots_adaptive, "hidden-slots-adaptive"},
}};

/// The three phases of a run, of equal length.
enum class phase : std::uint8_t { before_fault, during_fault, after_fault };

constexpr name_table<phase, 3> phase_names{
    {{phase::before_fault, "calm"}, {phase::during_fault, "fault"}, {phase::after_fault, "after"}}};

/// Result of one request, resends included.
struct call_record {
    time_point started_at;
    double latency_ms = 0;
    bool interactive = false;
    /// Answered with 200 within its deadline.
    bool good = false;
    /// Answered with 503.
    bool refused = false;
};

/// In the hidden-slots scenarios, how many times more slots are declared than the targets have, so that the
/// real number of slots is not known from the declarations.
constexpr std::uint32_t declared_slots_factor = 8;
/// Times a caller in the retry-storm scenario sends a request again that was not answered with 200.
constexpr int retry_storm_resends = 5;

bool declares_excess_slots(scenario_kind kind)
{
    return kind == scenario_kind::hidden_slots || kind == scenario_kind::hidden_slots_adaptive;
}

/// Proxies and stand-in targets of one run. The last node is the entry proxy, which has no target.
struct load_environment {
    explicit load_environment(scenario_kind scenario) : kind(scenario)
    {
        const std::vector<std::string> flags{"--record-decisions", "2000"};
        const bool two_data_centres = this->kind == scenario_kind::lost_data_centre;
        for (std::size_t i = 0; i < target_count; ++i) {
            const std::string data_centre = two_data_centres && i >= target_count / 2 ? "celje-2" : "celje-1";
            this->f.add({"t" + std::to_string(i), data_centre, "shop",
                         this->make_target_options(normal_service_time), flags, false});
        }
        this->f.add({"entry", "celje-1", "", {}, flags, false});
    }

    [[nodiscard]] static stand_ins::target_options make_target_options(milliseconds time_per_request)
    {
        stand_ins::target_options options;
        options.slots = slots_per_target;
        options.service_time = time_per_request;
        return options;
    }

    bool start()
    {
        const bool adaptive = this->kind == scenario_kind::hidden_slots_adaptive;
        const json shop{{"limit", adaptive ? "adaptive" : "declared"},
                        {"slots", declares_excess_slots(this->kind) ? slots_per_target * declared_slots_factor
                                                                    : slots_per_target},
                        {"connections", 130},
                        {"queue", 24},
                        {"slow_start_ms", 1000}};
        const json doc{{"services", {{"shop", shop}}},
                       {"routes",
                        {{"people",
                          {{"prefix", "/people"},
                           {"methods", {"GET"}},
                           {"service", "shop"},
                           {"idempotent", true},
                           {"priority", "interactive"},
                           {"deadline_ms", interactive_deadline.count()}}},
                         {"robots",
                          {{"prefix", "/robots"},
                           {"methods", {"GET"}},
                           {"service", "shop"},
                           {"idempotent", true},
                           {"priority", "automated"},
                           {"deadline_ms", automated_deadline.count()}}}}}};
        const std::string path = "load-" + std::to_string(free_port()) + ".json";
        std::ofstream(path) << doc.dump();
        constexpr milliseconds step_timeout{15'000};
        const bool fleet_ready = this->f.wait_until_ready(step_timeout) &&
                                 this->f.apply(this->entry(), path).exit_code == 0 &&
                                 this->f.wait_for_version(1, step_timeout) &&
                                 this->f.wait_for_endpoints(this->entry(), target_count, step_timeout);
        std::remove(path.c_str());
        return fleet_ready;
    }

    [[nodiscard]] node& entry() { return *this->f.nodes.back(); }

    /// Address of the target itself, which the baseline client calls directly.
    [[nodiscard]] std::string target_address(std::size_t i)
    {
        const std::lock_guard lock(this->mutex);
        return "127.0.0.1:" + std::to_string(this->ports[i]);
    }

    void update_ports()
    {
        const std::lock_guard lock(this->mutex);
        for (std::size_t i = 0; i < target_count; ++i) {
            this->ports[i] = this->f.nodes[i]->target ? this->f.nodes[i]->target->port() : this->ports[i];
        }
    }

    void restart_target(std::size_t i, milliseconds time_per_request)
    {
        this->f.nodes[i]->options.target = this->make_target_options(time_per_request);
        this->f.nodes[i]->start_target();
        this->update_ports();
    }

    scenario_kind kind;
    fleet f;
    std::mutex mutex;
    std::array<std::uint16_t, target_count> ports{};
};

int get_status(client_connection& connection, const std::string& path, milliseconds timeout)
{
    try {
        connection.set_io_timeout(timeout);
        Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setKeepAlive(true);
        connection.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream& body = connection.receiveResponse(response);
        body.ignore(std::numeric_limits<std::streamsize>::max());
        return response.getStatus();
    } catch (const Poco::Exception&) {
        return 0;
    }
}

/// Client of one caller, with its own connections to the entry proxy or to each target.
class load_client {
public:
    load_client(load_environment& shared, bool through_mesh) : environment(shared), uses_mesh(through_mesh) {}

    /// Sends a request. Until its deadline, a request that is not answered with 200 is sent again without
    /// backoff up to `resend_limit` times.
    /// @return the status of the last answer; 0 when no answer came.
    int request(const std::string& path, milliseconds deadline, int resend_limit)
    {
        const time_point end = steady_clock::now() + deadline;
        int status = this->request_once(path, deadline);
        for (int i = 0; i < resend_limit && status != 200 && steady_clock::now() < end; ++i) {
            status = this->request_once(path, deadline);
        }
        return status;
    }

private:
    int request_once(const std::string& path, milliseconds deadline)
    {
        if (this->uses_mesh) {
            return this->attempt(this->environment.entry().at.callers, path, deadline);
        }
        int status = 0;
        for (std::size_t i = 0; i < baseline_attempts && status != 200; ++i) {
            status = this->attempt(this->environment.target_address(next_target++ % target_count), path,
                                   interactive_deadline);
        }
        return status;
    }

    int attempt(const std::string& address, const std::string& path, milliseconds timeout)
    {
        auto acquired = this->pool.acquire(address, steady_clock::now() + timeout);
        if (!acquired) {
            return 0;
        }
        const int status = get_status(*acquired.value().connection, path, timeout);
        if (status != 0) {
            this->pool.release(address, std::move(acquired.value().connection));
        }
        return status;
    }

    load_environment& environment;
    bool uses_mesh;
    connection_pool pool;
    static inline std::atomic<std::size_t> next_target{0};
};

/// Generates open-loop load: requests start at exponentially distributed intervals that do not depend on the
/// answers, as far as the number of callers allows.
/// @param rate requests per second of all callers together, multiplied by `rate_factor`.
std::vector<call_record> run_load(load_environment& environment, bool uses_mesh, double rate,
                                  milliseconds load_duration, const std::atomic<double>& rate_factor)
{
    std::mutex mutex;
    std::vector<call_record> records;
    std::vector<std::thread> threads;
    const time_point end = steady_clock::now() + load_duration;
    for (std::size_t c = 0; c < caller_count; ++c) {
        threads.emplace_back([&, c] {
            std::mt19937_64 random(c + 1);
            load_client client(environment, uses_mesh);
            std::vector<call_record> thread_records;
            time_point next_start = steady_clock::now();
            while (true) {
                std::exponential_distribution<double> arrival_interval(rate * rate_factor / caller_count);
                next_start += std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(arrival_interval(random)));
                if (next_start >= end) {
                    break;
                }
                std::this_thread::sleep_until(next_start);
                call_record r;
                r.interactive = std::uniform_real_distribution<double>(0, 1)(random) < interactive_fraction;
                const milliseconds deadline = r.interactive ? interactive_deadline : automated_deadline;
                r.started_at = steady_clock::now();
                const int resend_limit =
                    environment.kind == scenario_kind::retry_storm ? retry_storm_resends : 0;
                const int status =
                    client.request(r.interactive ? "/people" : "/robots", deadline, resend_limit);
                const auto elapsed = steady_clock::now() - r.started_at;
                r.latency_ms = std::chrono::duration<double, std::milli>(elapsed).count();
                r.good = status == 200 && elapsed <= deadline;
                r.refused = status == 503;
                thread_records.push_back(r);
                // A caller that is behind its schedule catches up on at most 200 ms of it.
                next_start = std::max(next_start, steady_clock::now() - milliseconds{200});
            }
            const std::lock_guard lock(mutex);
            records.insert(records.end(), thread_records.begin(), thread_records.end());
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    return records;
}

/// Results of the requests of one priority class that started in a period.
json results_of_class(const std::vector<call_record>& records, time_point from, time_point to,
                      bool interactive)
{
    std::vector<double> good;
    std::size_t total = 0;
    std::size_t refused = 0;
    for (const call_record& r : records) {
        if (r.interactive == interactive && r.started_at >= from && r.started_at < to) {
            ++total;
            refused += r.refused ? 1 : 0;
            if (r.good) {
                good.push_back(r.latency_ms);
            }
        }
    }
    std::sort(good.begin(), good.end());
    const auto value_at = [&good](double fraction) {
        return good.empty() ? 0.0
                            : good[static_cast<std::size_t>(
                                  std::lround(fraction * static_cast<double>(good.size() - 1)))];
    };
    const double seconds = std::chrono::duration<double>(to - from).count();
    return {{"calls", total},          {"good_per_second", static_cast<double>(good.size()) / seconds},
            {"refused", refused},      {"failed", total - refused - good.size()},
            {"p50_ms", value_at(0.5)}, {"p99_ms", value_at(0.99)}};
}

/// Seconds from the end of the fault to the first window of 500 ms in which the rate of good answers is at
/// least nine tenths of the rate before the fault; -1 when there is none within 10 s.
double recovery_seconds(const std::vector<call_record>& records, time_point fault_end,
                        double good_per_second_before_fault)
{
    constexpr milliseconds window_step{100};
    constexpr milliseconds window_width{500};
    for (time_point t = fault_end; t < fault_end + milliseconds{10'000}; t += window_step) {
        const auto good = std::count_if(records.begin(), records.end(), [&](const call_record& r) {
            return r.good && r.started_at >= t && r.started_at < t + window_width;
        });
        if (static_cast<double>(good) >= good_per_second_before_fault * 0.9 * 0.5) {
            return std::chrono::duration<double>(t - fault_end).count();
        }
    }
    return -1;
}

void begin_fault(load_environment& environment, scenario_kind kind, std::atomic<double>& rate_factor,
                 milliseconds fault_duration)
{
    switch (kind) {
    case scenario_kind::overload:
    case scenario_kind::retry_storm:
    case scenario_kind::hidden_slots:
    case scenario_kind::hidden_slots_adaptive:
        rate_factor = 4;
        return;
    case scenario_kind::lost_data_centre:
        for (std::size_t i = target_count / 2; i < target_count; ++i) {
            environment.f.nodes[i]->process->kill();
            environment.f.nodes[i]->target->stop();
        }
        return;
    case scenario_kind::half_of_targets_fail:
        for (std::size_t i = 0; i < target_count / 2; ++i) {
            environment.f.nodes[i]->target->stop();
        }
        return;
    case scenario_kind::slow_target:
        environment.f.nodes[0]->target->withdraw_and_stop();
        environment.restart_target(0, normal_service_time * 10);
        return;
    case scenario_kind::rolling_restart:
        for (std::size_t i = 0; i < target_count; ++i) {
            environment.f.nodes[i]->target->withdraw_and_stop();
            environment.restart_target(i, normal_service_time);
            std::this_thread::sleep_for(fault_duration / (target_count + 1));
        }
        return;
    }
}

void end_fault(load_environment& environment, scenario_kind kind, std::atomic<double>& rate_factor)
{
    rate_factor = 1;
    if (kind == scenario_kind::half_of_targets_fail) {
        for (std::size_t i = 0; i < target_count / 2; ++i) {
            environment.restart_target(i, normal_service_time);
        }
    }
    if (kind == scenario_kind::lost_data_centre) {
        for (std::size_t i = target_count / 2; i < target_count; ++i) {
            environment.f.nodes[i]->start();
            environment.restart_target(i, normal_service_time);
        }
    }
    if (kind == scenario_kind::slow_target) {
        environment.f.nodes[0]->target->withdraw_and_stop();
        environment.restart_target(0, normal_service_time);
    }
}

/// Sums the counters of the targets. The counters of a restarted target begin at 0.
json target_counters(load_environment& environment)
{
    json out{{"runs", 0}, {"shed", 0}, {"cancelled", 0}};
    for (std::size_t i = 0; i < target_count; ++i) {
        const auto answer =
            call(environment.target_address(i), {"GET", "/stand-in/counters", {}, "", milliseconds{2000}});
        const json counters = json::parse(answer.body, nullptr, false);
        if (counters.is_object()) {
            out["runs"] = out["runs"].get<std::uint64_t>() + counters.at("total").get<std::uint64_t>();
            out["shed"] = out["shed"].get<std::uint64_t>() + counters.at("shed").get<std::uint64_t>();
            out["cancelled"] =
                out["cancelled"].get<std::uint64_t>() + counters.at("cancelled").get<std::uint64_t>();
        }
    }
    return out;
}

/// Writes the latest recorded decisions of all proxies to a file, from which they can be replayed.
void write_decisions(const load_environment& environment, const std::string& path)
{
    std::ofstream out(path);
    for (const auto& n : environment.f.nodes) {
        out << call(n->at.operators, {"GET", "/v1/decisions", {}, "", milliseconds{5000}}).body;
    }
}

struct run_options {
    milliseconds phase_duration{10'000};
    /// Folder that the decisions recorded up to the end of the fault are written to; empty to write none.
    std::string record_folder;
};

json run_scenario(scenario_kind kind, bool uses_mesh, const run_options& options)
{
    const milliseconds phase_duration = options.phase_duration;
    load_environment environment(kind);
    if (!environment.start()) {
        return {{"error", "the fleet was not ready in time"}};
    }
    environment.update_ports();
    std::atomic<double> rate_factor{1};
    // Half of the capacity before the fault; overload multiplies it by 4, to twice the capacity.
    const double rate = capacity_per_second / 2;
    const time_point begin = steady_clock::now();
    std::array<time_point, 4> phase_boundaries{begin, begin + phase_duration, begin + phase_duration * 2,
                                               begin + phase_duration * 3};
    std::thread faults([&] {
        std::this_thread::sleep_until(phase_boundaries[1]);
        begin_fault(environment, kind, rate_factor, phase_duration);
        std::this_thread::sleep_until(phase_boundaries[2]);
        if (uses_mesh && !options.record_folder.empty()) {
            write_decisions(environment, options.record_folder + "/recorded-" +
                                             std::string(name_of(scenario_names, kind)) + ".jsonl");
        }
        end_fault(environment, kind, rate_factor);
    });
    const auto records = run_load(environment, uses_mesh, rate, phase_duration * 3, rate_factor);
    faults.join();
    json out{{"scenario", name_of(scenario_names, kind)},
             {"by", uses_mesh ? "mesh" : "baseline"},
             {"capacity", capacity_per_second}};
    for (const auto& row : phase_names) {
        const auto i = static_cast<std::size_t>(row.value);
        const std::string name(row.name);
        out[name]["interactive"] =
            results_of_class(records, phase_boundaries[i], phase_boundaries[i + 1], true);
        out[name]["automated"] =
            results_of_class(records, phase_boundaries[i], phase_boundaries[i + 1], false);
        out[name]["good_per_second"] = out[name]["interactive"]["good_per_second"].get<double>() +
                                       out[name]["automated"]["good_per_second"].get<double>();
    }
    out["targets"] = target_counters(environment);
    out["recovery_seconds"] =
        recovery_seconds(records, phase_boundaries[2], out["calm"]["good_per_second"].get<double>());
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Compares the mesh with a baseline client under load and faults.", ' ', "0.1.0");
    TCLAP::ValueArg<int> seconds("", "seconds", "duration of each of the three phases", false, 10, "n", line);
    TCLAP::ValueArg<std::string> only_scenario("", "scenario", "run only this scenario", false, "", "name",
                                               line);
    TCLAP::ValueArg<std::string> record_folder(
        "", "record", "folder that the recorded decisions are written to", false, "", "folder", line);
    line.parse(argc, argv);
    const run_options options{milliseconds(seconds.getValue() * 1000), record_folder.getValue()};
    json out = json::array();
    for (const auto& row : scenario_names) {
        if (!only_scenario.getValue().empty() && only_scenario.getValue() != row.name) {
            continue;
        }
        for (const bool uses_mesh : {false, true}) {
            std::cerr << row.name << (uses_mesh ? " through the mesh" : " with the baseline client")
                      << std::endl;
            out.push_back(run_scenario(row.value, uses_mesh, options));
        }
    }
    std::cout << out.dump(2) << "\n";
    return 0;
}
