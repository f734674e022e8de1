#define BOOST_TEST_MODULE soak
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "broken_responses.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

using namespace boost::asio::experimental::awaitable_operators;

/// Time with faults, and then without, while callers go on.
constexpr milliseconds fault_time{9000};
constexpr milliseconds quiet_time{7000};
/// Time after the last fault from which all processes count as undisturbed.
constexpr milliseconds stable_window{3000};
constexpr milliseconds max_work_after_close{500};
/// Requests that may reach a target late after their callers have left, and crashing requests after the
/// quarantine.
constexpr std::size_t max_late_arrivals = 3;
/// Time after SIGTERM in which a process ends: the grace time of the fleet and one poll.
constexpr milliseconds max_shutdown_time{6200};
constexpr std::size_t callers_per_node = 4;
const std::string crashing_path = "/read/crash";

/// Faults of one run.
struct soak_row : named_row {
    /// Only signals, restarts and changes that operators plan; then no request may be cut.
    bool planned_only;
    std::uint64_t seed_offset;
};

const soak_row soak_rows[] = {
    {"planned work", true, 0},
    {"all faults", false, 1},
};

/// A request as its caller saw it.
struct sent_request {
    std::string id;
    bool idempotent = true;
    std::size_t node = 0;
    /// When the caller closed its connection without waiting for the response.
    std::optional<time_point> left_at;
    bool done = false;
    /// 0 without a response.
    int status = 0;
    std::string body;
    /// The caller received bytes that are no valid response, or a response to another request.
    bool malformed = false;
};

std::size_t node_count()
{
    const char* text = std::getenv("POMELOLOFT_SOAK_NODES");
    return text == nullptr ? 5 : std::strtoul(text, nullptr, 10);
}

const target_mode faulty_modes[] = {target_mode::responds_500,
                                    target_mode::sheds_load,
                                    target_mode::truncates_body,
                                    target_mode::unsigned_response,
                                    target_mode::stale_response_first,
                                    target_mode::extra_response,
                                    target_mode::close_delimited_body,
                                    target_mode::invalid_http,
                                    target_mode::repeats_refusal,
                                    target_mode::never_responds,
                                    target_mode::closes_without_response,
                                    target_mode::sends_raw_response,
                                    target_mode::resets_after_raw_response};

const store_mode faulty_store_modes[] = {store_mode::busy, store_mode::reset, store_mode::loses_responses,
                                         store_mode::silent};

/// One run: callers that keep their connections, and faults that come in series and overlap.
class soak_run {
public:
    soak_run(std::uint64_t seed, bool only_planned_faults)
        : planned_only(only_planned_faults), random(seed), fleet(node_count())
    {
        for (sidecar_node& node : this->fleet.nodes) {
            node.target->service_time = milliseconds(20);
            node.target->downtime = milliseconds(800);
            node.target->crash_path = only_planned_faults ? std::string{} : crashing_path;
        }
    }

    void run()
    {
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            for (std::size_t i = 0; i < callers_per_node; ++i) {
                net::spawn(this->fleet.loop, this->call_repeatedly(node), "caller");
            }
        }
        const time_point started = steady_clock::now();
        this->faults_end_at = started + fault_time;
        const time_point end = started + fault_time + quiet_time;
        time_point next_fault = started;
        while (steady_clock::now() < end) {
            this->fleet.run_for(milliseconds(5));
            const time_point now = steady_clock::now();
            if (now >= next_fault && now < this->faults_end_at) {
                this->start_fault();
                next_fault = now + milliseconds(this->draw(50, 900));
            }
            this->run_due_actions(now);
        }
        this->callers_stop = true;
        this->fleet.run_for(milliseconds(2500));
        this->check();
    }

    /// What was violated, with the request or process.
    std::vector<std::string> violations;
    /// The faults in order, for the report of a failed run.
    std::vector<std::string> schedule;

private:
    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
    }

    bool one_in(std::int64_t count) { return this->draw(1, count) == 1; }

    void after(milliseconds delay, std::function<void()> action)
    {
        this->actions.emplace_back(steady_clock::now() + delay, std::move(action));
    }

    void run_due_actions(time_point now)
    {
        std::vector<std::function<void()>> due;
        std::erase_if(this->actions, [&](auto& entry) {
            if (entry.first > now) {
                return false;
            }
            due.push_back(std::move(entry.second));
            return true;
        });
        for (const auto& action : due) {
            action();
        }
    }

    void note(const std::string& fault, std::size_t node, std::int64_t ms)
    {
        const auto at = fault_time - remaining(this->faults_end_at, steady_clock::now());
        this->schedule.push_back(std::to_string(at.count()) + " ms: " + fault + " n" + std::to_string(node) +
                                 " " + std::to_string(ms) + " ms");
    }

    void start_fault()
    {
        const std::size_t node = static_cast<std::size_t>(this->draw(0, this->fleet.nodes.size() - 1));
        const std::int64_t ms = this->draw(100, 1200);
        switch (this->draw(0, this->planned_only ? 2 : 8)) {
        case 0:
            this->note("SIGTERM", node, 0);
            this->terminate(node);
            break;
        case 1:
            this->note("SIGHUP", node, 0);
            this->fleet.append_settings(node, "POMELOLOFT_OTHER=" + std::to_string(ms) + "\n");
            this->signal(node, SIGHUP);
            break;
        case 2:
            this->note("configuration", 0, 0);
            this->fleet.configure(++this->version, R"(,{"Name":"v","Host":"shop.example","PathPrefix":"/v/",)"
                                                   R"("RouteType":"idempotent","TimeoutMs":500,)"
                                                   R"("Service":"register"})");
            break;
        case 3:
            this->note("SIGKILL", node, ms);
            this->fleet.nodes[node].process->kill();
            this->after(milliseconds(ms / 3), [this, node] { this->restart(node); });
            break;
        case 4:
            this->note("SIGSTOP", node, ms);
            this->signal(node, SIGSTOP);
            this->after(milliseconds(ms), [this, node] { this->signal(node, SIGCONT); });
            break;
        case 5:
            this->note("target ends", node, 800);
            this->fleet.nodes[node].target->crash();
            break;
        case 6:
            this->note("store fails", 0, ms);
            this->fleet.store.mode = faulty_store_modes[this->draw(0, 3)];
            this->after(milliseconds(ms), [this] { this->fleet.store.mode = store_mode::healthy; });
            break;
        default:
            this->fail_target(node, ms);
            break;
        }
    }

    void fail_target(std::size_t node, std::int64_t ms)
    {
        const auto mode = static_cast<std::size_t>(this->draw(0, std::size(faulty_modes) - 1));
        this->note("target mode " + std::to_string(mode), node, ms);
        platform_target& target = *this->fleet.nodes[node].target;
        target.mode = faulty_modes[mode];
        if (target.mode == target_mode::sends_raw_response) {
            target.raw_response = this->draw_response(broken_rows);
        } else if (target.mode == target_mode::resets_after_raw_response) {
            target.raw_response = this->draw_response(cut_rows);
        }
        this->after(milliseconds(ms),
                    [this, node] { this->fleet.nodes[node].target->mode = target_mode::answers; });
    }

    std::string draw_response(std::span<const response_row> rows)
    {
        const response_row& drawn = rows[static_cast<std::size_t>(this->draw(0, std::ssize(rows) - 1))];
        this->schedule.push_back(std::string("  ") + drawn.name);
        return drawn.bytes;
    }

    void signal(std::size_t node, int number)
    {
        if (this->fleet.nodes[node].process->running()) {
            this->fleet.nodes[node].process->signal(number);
        }
    }

    void terminate(std::size_t node)
    {
        this->signal(node, SIGTERM);
        this->await_end(node, this->fleet.nodes[node].process.get(), steady_clock::now());
    }

    void await_end(std::size_t node, child_process* process, time_point terminated_at)
    {
        if (this->fleet.nodes[node].process.get() != process) {
            return;
        }
        if (!process->running()) {
            this->restart(node);
            return;
        }
        if (this->planned_only && steady_clock::now() - terminated_at > max_shutdown_time) {
            this->violations.push_back("n" + std::to_string(node) + " outlived the grace time");
            process->kill();
        }
        this->after(milliseconds(20),
                    [this, node, process, terminated_at] { this->await_end(node, process, terminated_at); });
    }

    void restart(std::size_t node)
    {
        if (!this->fleet.nodes[node].process->running()) {
            this->fleet.start(node);
        }
    }

    net::request next_request(sent_request& out)
    {
        out.id = "r" + std::to_string(this->requests.size());
        const bool crashes = !this->planned_only && this->one_in(400);
        out.idempotent = crashes || !this->one_in(3);
        std::string path = (out.idempotent ? "/read/" : "/write/") + out.id;
        net::request sent{out.idempotent ? net::http::verb::get : net::http::verb::post,
                          crashes ? crashing_path : path, 11};
        sent.set(net::http::field::host, "shop.example");
        sent.set("X-Request-Id", out.id);
        sent.set("X-Deadline-Ms", "1000");
        if (!out.idempotent) {
            sent.body().assign(this->one_in(10) ? 60'000 : 200, 'b');
        }
        sent.prepare_payload();
        return sent;
    }

    /// A caller that sends one request after the other on a connection for as long as it is open.
    net::task<void> call_repeatedly(std::size_t node)
    {
        const std::string address = this->fleet.nodes[node].node_settings.outbound_address;
        const net::tcp::endpoint endpoint = net::parse_endpoint(address, "caller").value();
        net::client_pool pool(this->fleet.loop, {});
        net::connection_ptr kept;
        while (!this->callers_stop) {
            co_await net::sleep_for(milliseconds(this->draw(5, 60)));
            if (!kept) {
                auto connected = co_await pool.connect(endpoint, steady_clock::now() + milliseconds(500));
                if (!connected) {
                    continue;
                }
                kept = std::move(connected.value());
            }
            this->requests.emplace_back();
            sent_request& record = this->requests.back();
            record.node = node;
            const net::request sent = this->next_request(record);
            const bool leaves = this->one_in(8);
            const milliseconds patience(leaves ? this->draw(1, 120) : 3000);
            net::exchange_result ended;
            co_await (this->exchange_on(*kept, sent, ended) || net::sleep_for(patience));
            record.done = true;
            if (leaves && ended.end == net::exchange_end::cancelled) {
                record.left_at = steady_clock::now();
                // Half of the callers close their connections, the others reset them.
                kept->in_exchange = this->one_in(2);
                kept.reset();
                continue;
            }
            if (ended.end == net::exchange_end::answered) {
                record.status = static_cast<int>(ended.response.result_int());
                record.body = ended.response.body();
            }
            record.malformed = ended.end == net::exchange_end::malformed;
            if (!ended.reusable) {
                kept.reset();
            }
        }
    }

    net::task<void> exchange_on(net::connection& connection, const net::request& sent,
                                net::exchange_result& out)
    {
        out.end = net::exchange_end::cancelled;
        net::exchange_options options;
        options.deadline = steady_clock::now() + milliseconds(2500);
        options.id_header = "X-Request-Id";
        net::exchange_result ended = co_await net::exchange(connection, sent, options);
        out = std::move(ended);
    }

    void check()
    {
        std::size_t late_arrivals = 0;
        std::size_t served = 0;
        for (const sent_request& r : this->requests) {
            int runs = 0;
            std::optional<time_point> arrived;
            for (const sidecar_node& node : this->fleet.nodes) {
                runs += node.target->run_count(r.id);
                arrived = std::max(arrived, node.target->arrived_at(r.id));
            }
            served += r.status == 200 ? 1 : 0;
            this->check_request(r, runs);
            const bool late = r.left_at && arrived && *arrived - *r.left_at > max_work_after_close;
            late_arrivals += late ? 1 : 0;
        }
        if (late_arrivals > max_late_arrivals) {
            this->violations.push_back(std::to_string(late_arrivals) + " requests reached a target over " +
                                       "500 ms after their callers had left");
        }
        this->check_quarantine();
        this->check_recovery();
        std::cout << this->requests.size() << " requests, " << served << " served, " << this->schedule.size()
                  << " faults, " << late_arrivals << " late arrivals\n";
    }

    void check_request(const sent_request& r, int runs)
    {
        const std::string name = r.id + " at n" + std::to_string(r.node) + ", status " +
                                 std::to_string(r.status) + ", runs " + std::to_string(runs);
        if (!r.idempotent && runs > 1) {
            this->violations.push_back("ran twice: " + name);
        }
        if (!r.idempotent && (r.status == 503 || r.status == 429) && runs > 0) {
            this->violations.push_back("refused although it ran: " + name);
        }
        if (r.status == 200 && (runs == 0 || r.body.substr(0, 5) != "by i-")) {
            this->violations.push_back("wrong response: " + name + ", body " + r.body);
        }
        if (r.malformed || r.body == "body" || r.body == "part") {
            this->violations.push_back("broken response: " + name + ", body " + r.body);
        }
        if (this->planned_only && r.done && !r.left_at && r.status == 0 && runs > 0) {
            this->violations.push_back("cut off: " + name);
        }
    }

    /// Crashing requests that arrived once all processes were undisturbed.
    void check_quarantine()
    {
        std::vector<time_point> arrivals;
        for (const sidecar_node& node : this->fleet.nodes) {
            for (const std::string& id : node.target->request_ids(crashing_path)) {
                arrivals.push_back(*node.target->arrived_at(id));
            }
        }
        if (arrivals.size() <= max_late_arrivals) {
            return;
        }
        std::sort(arrivals.begin(), arrivals.end());
        const time_point undisturbed_from = std::max(
            this->faults_end_at + stable_window + max_shutdown_time / 2, arrivals[2] + stable_window);
        const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                        [&](time_point at) { return at > undisturbed_from; });
        if (static_cast<std::size_t>(late) > max_late_arrivals) {
            this->violations.push_back(std::to_string(late) + " late arrivals of a crashing request");
        }
    }

    void check_recovery()
    {
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            caller_request request;
            request.path = "/read/recovered-" + std::to_string(node);
            request.id = "recovered-" + std::to_string(node);
            const bool served = this->fleet.run_until(
                [&] { return this->fleet.call(node, request).status == 200; }, milliseconds(3000));
            if (!served) {
                this->violations.push_back("not recovered: n" + std::to_string(node));
            }
        }
    }

    bool planned_only;
    std::mt19937_64 random;
    sidecar_fleet fleet;
    std::deque<sent_request> requests;
    std::vector<std::pair<time_point, std::function<void()>>> actions;
    time_point faults_end_at;
    std::uint64_t version = 1;
    bool callers_stop = false;
};

} // namespace

BOOST_DATA_TEST_CASE(promises_hold_while_faults_come_in_series_and_overlap,
                     boost::unit_test::data::make(soak_rows), row)
{
    const std::uint64_t seed = test_seed() + row.seed_offset;
    soak_run run(seed, row.planned_only);
    run.run();
    for (const std::string& violation : run.violations) {
        BOOST_TEST_MESSAGE(violation);
    }
    if (!run.violations.empty()) {
        for (const std::string& fault : run.schedule) {
            BOOST_TEST_MESSAGE(fault);
        }
    }
    const std::string first = run.violations.empty() ? std::string{} : run.violations.front();
    BOOST_TEST(first == "", "seed " << seed << ": " << first);
}

} // namespace pomeloloft::testing
