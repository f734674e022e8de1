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

/// Runs load scenarios on the same stand-ins through the mesh and by a plain baseline: round robin straight
/// to the targets, a fixed timeout, three blind retries.
namespace {

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

constexpr std::size_t targets = 4;
constexpr std::uint32_t slots = 4;
constexpr milliseconds work{20};
/// What all targets together can serve.
constexpr double capacity = targets * slots * 1000.0 / static_cast<double>(work.count());
/// Share of requests that people wait for; the rest are automated queries.
constexpr double interactive_share = 0.3;
constexpr milliseconds interactive_deadline{1000};
constexpr milliseconds automated_deadline{500};
constexpr std::size_t callers = 240;
constexpr std::size_t blind_attempts = 4;

enum class scenario_kind : std::uint8_t {
    overload,
    half_die,
    slow_target,
    rolling_restart,
    lost_data_centre,
    retry_storm,
    hidden_slots,
    hidden_slots_adaptive,
};

constexpr name_table<scenario_kind, 8> scenario_names{{
    {scenario_kind::overload, "overload"},
    {scenario_kind::half_die, "half-die"},
    {scenario_kind::slow_target, "slow-target"},
    {scenario_kind::rolling_restart, "rolling-restart"},
    {scenario_kind::lost_data_centre, "lost-data-centre"},
    {scenario_kind::retry_storm, "retry-storm"},
    {scenario_kind::hidden_slots, "hidden-slots"},
    {scenario_kind::hidden_slots_adaptive, "hidden-slots-adaptive"},
}};

enum class phase : std::uint8_t { calm, fault, after };

constexpr name_table<phase, 3> phase_names{
    {{phase::calm, "calm"}, {phase::fault, "fault"}, {phase::after, "after"}}};

struct call_record {
    time_point begun;
    double millis = 0;
    bool interactive = false;
    bool good = false;
    bool refused = false;
};

/// How many more slots are declared than the targets have, where these are hidden.
constexpr std::uint32_t hidden_factor = 8;
/// Times a caller of a retry storm sends a request that was not answered well.
constexpr int storm_resends = 5;

bool hides_slots(scenario_kind kind)
{
    return kind == scenario_kind::hidden_slots || kind == scenario_kind::hidden_slots_adaptive;
}

/// The stand-ins of one run, with a fault to apply and lift.
struct bench {
    explicit bench(scenario_kind scenario) : kind(scenario)
    {
        const std::vector<std::string> flags{"--record-decisions", "2000"};
        const bool parted = this->kind == scenario_kind::lost_data_centre;
        for (std::size_t i = 0; i < targets; ++i) {
            const std::string data_centre = parted && i >= targets / 2 ? "celje-2" : "celje-1";
            this->f.add({"t" + std::to_string(i), data_centre, "shop", this->setup(work), flags, false});
        }
        this->f.add({"entry", "celje-1", "", {}, flags, false});
    }

    [[nodiscard]] static stand_ins::target_options setup(milliseconds time)
    {
        stand_ins::target_options options;
        options.slots = slots;
        options.work = time;
        return options;
    }

    bool start()
    {
        const bool adaptive = this->kind == scenario_kind::hidden_slots_adaptive;
        const json shop{{"limit", adaptive ? "adaptive" : "declared"},
                        {"slots", hides_slots(this->kind) ? slots * hidden_factor : slots},
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
        constexpr milliseconds limit{15'000};
        const bool up =
            this->f.wait_until_ready(limit) && this->f.apply(this->entry(), path).exit_code == 0 &&
            this->f.wait_for_version(1, limit) && this->f.wait_for_endpoints(this->entry(), targets, limit);
        std::remove(path.c_str());
        return up;
    }

    [[nodiscard]] node& entry() { return *this->f.nodes.back(); }

    /// Addresses of the targets themselves, as the baseline knows them.
    [[nodiscard]] std::string target_address(std::size_t i)
    {
        const std::lock_guard lock(this->mutex);
        return "127.0.0.1:" + std::to_string(this->ports[i]);
    }

    void note_ports()
    {
        const std::lock_guard lock(this->mutex);
        for (std::size_t i = 0; i < targets; ++i) {
            this->ports[i] = this->f.nodes[i]->target ? this->f.nodes[i]->target->port() : this->ports[i];
        }
    }

    void restart_target(std::size_t i, milliseconds time)
    {
        this->f.nodes[i]->options.target = this->setup(time);
        this->f.nodes[i]->start_target();
        this->note_ports();
    }

    scenario_kind kind;
    fleet f;
    std::mutex mutex;
    std::array<std::uint16_t, targets> ports{};
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

/// One caller's connections: to the mesh, or to each target.
class caller_side {
public:
    caller_side(bench& shared, bool through_mesh) : b(shared), mesh(through_mesh) {}

    /// @param resends how often a request that is not answered well is sent again at once.
    int request(const std::string& path, milliseconds deadline, int resends)
    {
        const time_point end = steady_clock::now() + deadline;
        int status = this->request_once(path, deadline);
        for (int i = 0; i < resends && status != 200 && steady_clock::now() < end; ++i) {
            status = this->request_once(path, deadline);
        }
        return status;
    }

private:
    int request_once(const std::string& path, milliseconds deadline)
    {
        if (this->mesh) {
            return this->attempt(this->b.entry().at.callers, path, deadline);
        }
        int status = 0;
        for (std::size_t i = 0; i < blind_attempts && status != 200; ++i) {
            status =
                this->attempt(this->b.target_address(next_target++ % targets), path, interactive_deadline);
        }
        return status;
    }

    int attempt(const std::string& address, const std::string& path, milliseconds timeout)
    {
        auto taken = this->pool.acquire(address, steady_clock::now() + timeout);
        if (!taken) {
            return 0;
        }
        const int status = get_status(*taken.value().connection, path, timeout);
        if (status != 0) {
            this->pool.release(address, std::move(taken.value().connection));
        }
        return status;
    }

    bench& b;
    bool mesh;
    connection_pool pool;
    static inline std::atomic<std::size_t> next_target{0};
};

/// Calls at a rate that does not wait for answers, as far as the number of callers allows.
std::vector<call_record> run_load(bench& b, bool mesh, double rate, milliseconds time,
                                  const std::atomic<double>& factor)
{
    std::mutex mutex;
    std::vector<call_record> records;
    std::vector<std::thread> threads;
    const time_point end = steady_clock::now() + time;
    for (std::size_t c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            std::mt19937_64 random(c + 1);
            caller_side side(b, mesh);
            std::vector<call_record> own;
            time_point next = steady_clock::now();
            while (true) {
                std::exponential_distribution<double> gap(rate * factor / callers);
                next += std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(gap(random)));
                if (next >= end) {
                    break;
                }
                std::this_thread::sleep_until(next);
                call_record r;
                r.interactive = std::uniform_real_distribution<double>(0, 1)(random) < interactive_share;
                const milliseconds deadline = r.interactive ? interactive_deadline : automated_deadline;
                r.begun = steady_clock::now();
                const int resends = b.kind == scenario_kind::retry_storm ? storm_resends : 0;
                const int status = side.request(r.interactive ? "/people" : "/robots", deadline, resends);
                const auto took = steady_clock::now() - r.begun;
                r.millis = std::chrono::duration<double, std::milli>(took).count();
                r.good = status == 200 && took <= deadline;
                r.refused = status == 503;
                own.push_back(r);
                next = std::max(next, steady_clock::now() - milliseconds{200});
            }
            const std::lock_guard lock(mutex);
            records.insert(records.end(), own.begin(), own.end());
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    return records;
}

json class_figures(const std::vector<call_record>& records, time_point from, time_point to, bool interactive)
{
    std::vector<double> good;
    std::size_t all = 0;
    std::size_t refused = 0;
    for (const call_record& r : records) {
        if (r.interactive == interactive && r.begun >= from && r.begun < to) {
            ++all;
            refused += r.refused ? 1 : 0;
            if (r.good) {
                good.push_back(r.millis);
            }
        }
    }
    std::sort(good.begin(), good.end());
    const auto at = [&good](double share) {
        return good.empty() ? 0.0
                            : good[static_cast<std::size_t>(
                                  std::lround(share * static_cast<double>(good.size() - 1)))];
    };
    const double seconds = std::chrono::duration<double>(to - from).count();
    return {{"calls", all},       {"good_per_second", static_cast<double>(good.size()) / seconds},
            {"refused", refused}, {"failed", all - refused - good.size()},
            {"p50_ms", at(0.5)},  {"p99_ms", at(0.99)}};
}

/// Time after the fault's end until a whole half second has again as many good answers as nine tenths of
/// calm.
double recovery_seconds(const std::vector<call_record>& records, time_point fault_end,
                        double calm_good_per_second)
{
    constexpr milliseconds step{100};
    constexpr milliseconds width{500};
    for (time_point t = fault_end; t < fault_end + milliseconds{10'000}; t += step) {
        const auto good = std::count_if(records.begin(), records.end(), [&](const call_record& r) {
            return r.good && r.begun >= t && r.begun < t + width;
        });
        if (static_cast<double>(good) >= calm_good_per_second * 0.9 * 0.5) {
            return std::chrono::duration<double>(t - fault_end).count();
        }
    }
    return -1;
}

void begin_fault(bench& b, scenario_kind kind, std::atomic<double>& factor, milliseconds time)
{
    switch (kind) {
    case scenario_kind::overload:
    case scenario_kind::retry_storm:
    case scenario_kind::hidden_slots:
    case scenario_kind::hidden_slots_adaptive:
        factor = 4;
        return;
    case scenario_kind::lost_data_centre:
        for (std::size_t i = targets / 2; i < targets; ++i) {
            b.f.nodes[i]->process->kill();
            b.f.nodes[i]->target->stop();
        }
        return;
    case scenario_kind::half_die:
        for (std::size_t i = 0; i < targets / 2; ++i) {
            b.f.nodes[i]->target->stop();
        }
        return;
    case scenario_kind::slow_target:
        b.f.nodes[0]->target->leave();
        b.restart_target(0, work * 10);
        return;
    case scenario_kind::rolling_restart:
        for (std::size_t i = 0; i < targets; ++i) {
            b.f.nodes[i]->target->leave();
            b.restart_target(i, work);
            std::this_thread::sleep_for(time / (targets + 1));
        }
        return;
    }
}

void end_fault(bench& b, scenario_kind kind, std::atomic<double>& factor)
{
    factor = 1;
    if (kind == scenario_kind::half_die) {
        for (std::size_t i = 0; i < targets / 2; ++i) {
            b.restart_target(i, work);
        }
    }
    if (kind == scenario_kind::lost_data_centre) {
        for (std::size_t i = targets / 2; i < targets; ++i) {
            b.f.nodes[i]->start();
            b.restart_target(i, work);
        }
    }
    if (kind == scenario_kind::slow_target) {
        b.f.nodes[0]->target->leave();
        b.restart_target(0, work);
    }
}

/// Runs and refusals that the targets counted, as those of now count them.
json target_counters(bench& b)
{
    json out{{"runs", 0}, {"shed", 0}, {"cancelled", 0}};
    for (std::size_t i = 0; i < targets; ++i) {
        const auto answer =
            call(b.target_address(i), {"GET", "/stand-in/counters", {}, "", milliseconds{2000}});
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

/// Writes the newest decisions of all proxies to a file, for replay.
void write_decisions(const bench& b, const std::string& path)
{
    std::ofstream out(path);
    for (const auto& n : b.f.nodes) {
        out << call(n->at.operators, {"GET", "/v1/decisions", {}, "", milliseconds{5000}}).body;
    }
}

struct run_options {
    milliseconds each{10'000};
    /// Folder for the decisions recorded during the fault; empty to write none.
    std::string record;
};

json run_scenario(scenario_kind kind, bool mesh, const run_options& options)
{
    const milliseconds each = options.each;
    bench b(kind);
    if (!b.start()) {
        return {{"error", "the fleet did not come up"}};
    }
    b.note_ports();
    std::atomic<double> factor{1};
    // Half of capacity in calm; the overload scenario brings twice the capacity.
    const double rate = capacity / 2;
    const time_point begin = steady_clock::now();
    std::array<time_point, 4> marks{begin, begin + each, begin + each * 2, begin + each * 3};
    std::thread faults([&] {
        std::this_thread::sleep_until(marks[1]);
        begin_fault(b, kind, factor, each);
        std::this_thread::sleep_until(marks[2]);
        if (mesh && !options.record.empty()) {
            write_decisions(b, options.record + "/recorded-" + std::string(name_of(scenario_names, kind)) +
                                   ".jsonl");
        }
        end_fault(b, kind, factor);
    });
    const auto records = run_load(b, mesh, rate, each * 3, factor);
    faults.join();
    json out{{"scenario", name_of(scenario_names, kind)},
             {"by", mesh ? "mesh" : "baseline"},
             {"capacity", capacity}};
    for (const auto& row : phase_names) {
        const auto i = static_cast<std::size_t>(row.value);
        const std::string name(row.name);
        out[name]["interactive"] = class_figures(records, marks[i], marks[i + 1], true);
        out[name]["automated"] = class_figures(records, marks[i], marks[i + 1], false);
        out[name]["good_per_second"] = out[name]["interactive"]["good_per_second"].get<double>() +
                                       out[name]["automated"]["good_per_second"].get<double>();
    }
    out["targets"] = target_counters(b);
    out["recovery_seconds"] =
        recovery_seconds(records, marks[2], out["calm"]["good_per_second"].get<double>());
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Compares the mesh with a plain baseline under load and faults.", ' ', "0.1.0");
    TCLAP::ValueArg<int> seconds("", "seconds", "length of each of the three phases", false, 10, "n", line);
    TCLAP::ValueArg<std::string> only("", "scenario", "one scenario only", false, "", "name", line);
    TCLAP::ValueArg<std::string> record("", "record", "folder for the decisions recorded", false, "",
                                        "folder", line);
    line.parse(argc, argv);
    const run_options options{milliseconds(seconds.getValue() * 1000), record.getValue()};
    json out = json::array();
    for (const auto& row : scenario_names) {
        if (!only.getValue().empty() && only.getValue() != row.name) {
            continue;
        }
        for (const bool mesh : {false, true}) {
            std::cerr << row.name << (mesh ? " by the mesh" : " by the baseline") << std::endl;
            out.push_back(run_scenario(row.value, mesh, options));
        }
    }
    std::cout << out.dump(2) << "\n";
    return 0;
}
