#define BOOST_TEST_MODULE crashing_requests
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

const std::string crashing_path = "/read/crash";

/// Time after the third crash from which at most `max_late_arrivals` may follow.
constexpr milliseconds stable_window{3000};
constexpr int max_late_arrivals = 3;

caller_request request_for(const std::string& path, const std::string& id)
{
    caller_request out = read_request(id);
    out.path = path;
    return out;
}

int crashes(const sidecar_fleet& fleet)
{
    int out = 0;
    for (const sidecar_node& node : fleet.nodes) {
        out += node.target->crashes;
    }
    return out;
}

int arrivals(const sidecar_fleet& fleet)
{
    int out = 0;
    for (const sidecar_node& node : fleet.nodes) {
        out += node.target->arrivals(crashing_path);
    }
    return out;
}

/// Number of requests with the crashing path that came from a caller of a service.
int arrivals_from(const sidecar_fleet& fleet, const std::string& service)
{
    const std::string line = "X-Caller-Service: " + service + "\r\n";
    int out = 0;
    for (const sidecar_node& node : fleet.nodes) {
        const auto& heads = node.target->request_heads;
        out += static_cast<int>(std::count_if(heads.begin(), heads.end(), [&](const std::string& head) {
            return head.find(' ' + crashing_path + ' ') != std::string::npos &&
                   head.find(line) != std::string::npos;
        }));
    }
    return out;
}

net::task<void> crash_after(milliseconds delay, std::vector<platform_target*> targets)
{
    co_await net::sleep_for(delay);
    for (platform_target* target : targets) {
        target->crash();
    }
}

struct crash_row : named_row {
    std::size_t targets;
    /// Requests in flight at the same time, each of which may have caused the crash.
    int others;
};

const crash_row crash_rows[] = {
    {"one target", 1, 0},
    {"two targets", 2, 0},
    {"five targets", 5, 0},
    {"five targets with other requests in flight", 5, 12},
};

/// Sends the crashing request to a node while other requests are in flight.
void send_round(sidecar_fleet& fleet, int round, int others)
{
    const std::size_t node = static_cast<std::size_t>(round) % fleet.nodes.size();
    std::vector<caller_request> requests;
    for (int i = 0; i < others; ++i) {
        const std::string id = std::to_string(round) + "-" + std::to_string(i);
        requests.push_back(request_for("/read/" + id, "o" + id));
    }
    requests.push_back(request_for(crashing_path, "c" + std::to_string(round)));
    fleet.call_all(node, requests);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_DATA_TEST_CASE(a_request_that_ended_three_targets_is_refused_by_every_sidecar,
                     boost::unit_test::data::make(crash_rows))
{
    sidecar_fleet fleet(sample.targets);
    for (sidecar_node& node : fleet.nodes) {
        node.target->crash_path = crashing_path;
        node.target->downtime = milliseconds(700);
        node.target->service_time = milliseconds(sample.others > 0 ? 100 : 0);
    }
    int round = 0;
    const auto warm_connections = [&] {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
            fleet.call(node, request_for("/read/warm", "w" + std::to_string(round) + std::to_string(node)));
        }
    };
    const time_point give_up_at = steady_clock::now() + milliseconds(20'000);
    while (crashes(fleet) < 3 && steady_clock::now() < give_up_at) {
        warm_connections();
        send_round(fleet, round++, sample.others);
        fleet.run_for(milliseconds(100));
    }
    const time_point third_crash_at = steady_clock::now();
    BOOST_REQUIRE(crashes(fleet) >= 3);
    const auto send_until = [&](time_point until) {
        while (steady_clock::now() < until) {
            warm_connections();
            send_round(fleet, round++, sample.others);
            fleet.run_for(milliseconds(50));
        }
    };
    send_until(third_crash_at + stable_window);
    const int arrivals_in_window = arrivals(fleet);
    send_until(third_crash_at + stable_window + milliseconds(2500));
    BOOST_TEST_MESSAGE(arrivals_in_window << " arrivals within the window");
    BOOST_TEST(arrivals(fleet) - arrivals_in_window <= max_late_arrivals);
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        const std::string id = std::to_string(node);
        BOOST_TEST(fleet.run_until(
            [&] { return fleet.call(node, request_for("/read/warm", "after" + id)).status == 200; },
            milliseconds(2000)));
        BOOST_TEST(fleet.call(node, request_for(crashing_path, "last" + id)).status == 503);
    }
}

// Guards against answers to the callers of one service that clear the crashing request of another.
BOOST_AUTO_TEST_CASE(a_crashing_request_is_refused_although_another_service_requests_the_same_path)
{
    sidecar_fleet fleet({"register", "register", "register", "gallery"});
    constexpr std::size_t crashing_node = 3;
    for (sidecar_node& node : fleet.nodes) {
        node.target->crash_path = crashing_path;
        node.target->crash_caller = "gallery";
        node.target->downtime = milliseconds(700);
    }
    int round = 0;
    int served = 0;
    const auto send_round_of_both = [&] {
        const std::string id = std::to_string(round++);
        for (std::size_t node = 0; node < crashing_node; ++node) {
            const std::string other = "o" + id + "-" + std::to_string(node);
            served += fleet.call(node, request_for(crashing_path, other)).status == 200 ? 1 : 0;
        }
        fleet.call(crashing_node, request_for(crashing_path, "c" + id));
        fleet.run_for(milliseconds(100));
    };
    const time_point give_up_at = steady_clock::now() + milliseconds(20'000);
    while (crashes(fleet) < 3 && steady_clock::now() < give_up_at) {
        send_round_of_both();
    }
    BOOST_REQUIRE(crashes(fleet) >= 3);
    const auto send_for = [&](milliseconds duration) {
        const time_point until = steady_clock::now() + duration;
        while (steady_clock::now() < until) {
            send_round_of_both();
        }
    };
    send_for(stable_window);
    const int arrivals_in_window = arrivals_from(fleet, "gallery");
    const int served_in_window = served;
    send_for(milliseconds(5000));
    BOOST_TEST(arrivals_from(fleet, "gallery") - arrivals_in_window <= max_late_arrivals);
    // The requests of the other service stay allowed.
    BOOST_TEST(served > served_in_window);
    BOOST_TEST(fleet.call(crashing_node, request_for(crashing_path, "last")).status == 503);
}

// Guards against a target that fails all requests and thereby clears the one that crashes the others.
BOOST_AUTO_TEST_CASE(a_crashing_request_is_refused_although_a_failing_target_answers_it)
{
    constexpr std::size_t crashing_targets = 2;
    sidecar_fleet fleet(std::vector<std::string>(crashing_targets + 1, "register"), {}, crashing_targets);
    platform_target& failing = *fleet.nodes[crashing_targets].target;
    failing.mode = target_mode::responds_500;
    for (std::size_t node = 0; node < crashing_targets; ++node) {
        fleet.nodes[node].target->crash_path = crashing_path;
        fleet.nodes[node].target->downtime = milliseconds(5000);
    }
    int round = 0;
    const auto send_rounds = [&](const std::function<bool()>& is_done, milliseconds limit) {
        const time_point until = steady_clock::now() + limit;
        while (!is_done() && steady_clock::now() < until) {
            const std::size_t node = static_cast<std::size_t>(round) % fleet.nodes.size();
            fleet.call(node, request_for(crashing_path, "c" + std::to_string(round++)));
            fleet.run_for(milliseconds(100));
        }
    };
    // Both targets are down after two crashes, so that the failing one answers before the third.
    send_rounds([&] { return crashes(fleet) >= 2; }, milliseconds(20'000));
    BOOST_REQUIRE(crashes(fleet) == 2);
    fleet.heartbeat(crashing_targets);
    send_rounds([&] { return failing.arrivals(crashing_path) > 0; }, milliseconds(20'000));
    BOOST_REQUIRE(failing.arrivals(crashing_path) > 0);
    for (std::size_t node = 0; node < crashing_targets; ++node) {
        fleet.nodes[node].target->downtime = milliseconds(500);
    }
    send_rounds([&] { return crashes(fleet) >= 3; }, milliseconds(20'000));
    BOOST_REQUIRE(crashes(fleet) >= 3);
    const auto never = [] { return false; };
    send_rounds(never, stable_window);
    const int arrivals_in_window = arrivals(fleet);
    send_rounds(never, milliseconds(5000));
    BOOST_TEST(arrivals(fleet) - arrivals_in_window <= max_late_arrivals);
    BOOST_TEST(fleet.call(0, request_for(crashing_path, "last")).status == 503);
}

// Guards against a popular request that is refused for ten minutes because all targets crashed while they
// ran it.
BOOST_AUTO_TEST_CASE(a_popular_request_is_served_again_after_all_targets_have_crashed_once)
{
    sidecar_fleet fleet({"register", "register", "register", "gallery"});
    constexpr std::size_t entry = 3;
    for (std::size_t node = 0; node < entry; ++node) {
        fleet.nodes[node].target->service_time = milliseconds(200);
        fleet.nodes[node].target->downtime = milliseconds(500);
    }
    const auto send_many = [&fleet](const std::string& id) {
        std::vector<caller_request> requests;
        for (int i = 0; i < 12; ++i) {
            requests.push_back(request_for("/read/popular", id + std::to_string(i)));
        }
        return fleet.call_all(entry, requests);
    };
    for (const caller_response& response : send_many("before")) {
        BOOST_TEST(response.status == 200);
    }
    const std::vector<platform_target*> crashing{fleet.nodes[0].target.get(), fleet.nodes[1].target.get(),
                                                 fleet.nodes[2].target.get()};
    net::spawn(fleet.loop, crash_after(milliseconds(100), crashing), "crash");
    send_many("lost");
    BOOST_TEST(crashes(fleet) == 3);
    fleet.run_for(milliseconds(1500));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        const std::string id = "after" + std::to_string(node);
        BOOST_TEST(fleet.call(node, request_for("/read/popular", id)).status == 200);
    }
}

// Guards against a restart that brings back the quarantine of a request which a target has survived since.
BOOST_AUTO_TEST_CASE(the_stored_quarantine_of_a_request_ends_with_its_success)
{
    sidecar_fleet fleet(4);
    std::vector<platform_target*> crashing;
    for (sidecar_node& node : fleet.nodes) {
        node.target->service_time = milliseconds(500);
        node.target->downtime = milliseconds(500);
        crashing.push_back(node.target.get());
    }
    crashing.pop_back();
    net::spawn(fleet.loop, crash_after(milliseconds(100), crashing), "crash");
    std::vector<caller_request> requests;
    for (int i = 0; i < 16; ++i) {
        requests.push_back(request_for("/read/new", "n" + std::to_string(i)));
    }
    fleet.call_all(3, requests);
    const auto holds_crashes = [&fleet](const std::string& node) {
        const std::string record = fleet.store.newest("keyed.pomeloloft", "quarantine/" + node);
        return record.find("expires_at_ms") != std::string::npos;
    };
    BOOST_TEST(fleet.run_until(
        [&] { return !holds_crashes("n0") && !holds_crashes("n1") && !holds_crashes("n2"); }));
    BOOST_TEST(fleet.log_of(0).find("target-crashed") != std::string::npos);
    BOOST_TEST(fleet.call(0, request_for("/read/new", "after")).status == 200);
}

// Guards against a crash that is taken for the one before, because nothing was sent to the restarted target
// in between.
BOOST_AUTO_TEST_CASE(the_first_request_after_a_restart_of_its_target_counts_as_another_crash)
{
    sidecar_fleet fleet(1);
    sidecar_node& node = fleet.nodes[0];
    node.target->crash_path = crashing_path;
    node.target->downtime = milliseconds(200);
    for (int round = 0; round < 6; ++round) {
        const std::string id = std::to_string(round);
        fleet.call(0, request_for(crashing_path, "c" + id));
        // The report of the next instance arrives before the sidecar has tried to connect.
        node.target->instance = "i-0-" + id;
        ++node.target_started_at_ms;
        BOOST_TEST(fleet.heartbeat(0) == 200);
        fleet.run_for(2 * node.target->downtime);
    }
    BOOST_TEST(node.target->crashes == 3);
    BOOST_TEST(fleet.call(0, request_for(crashing_path, "last")).status == 503);
}

BOOST_AUTO_TEST_CASE(a_quarantine_holds_after_a_restart_of_all_sidecars)
{
    sidecar_fleet fleet(3);
    for (sidecar_node& node : fleet.nodes) {
        node.target->crash_path = crashing_path;
        node.target->downtime = milliseconds(700);
    }
    for (int round = 0; round < 30 && crashes(fleet) < 3; ++round) {
        send_round(fleet, round, 0);
        fleet.run_for(milliseconds(100));
    }
    BOOST_TEST(fleet.run_until([&] {
        return fleet.store.newest("keyed.pomeloloft", "quarantine/n0").size() +
                   fleet.store.newest("keyed.pomeloloft", "quarantine/n1").size() +
                   fleet.store.newest("keyed.pomeloloft", "quarantine/n2").size() >
               0;
    }));
    const int arrivals_before = arrivals(fleet);
    for (sidecar_node& node : fleet.nodes) {
        node.process->kill();
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.start(node);
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(fleet.run_until([&] { return fleet.readiness(node) == 200; }));
        const std::string id = std::to_string(node);
        BOOST_TEST(fleet.run_until(
            [&] { return fleet.call(node, request_for("/read/warm", "after" + id)).status == 200; }));
        BOOST_TEST(fleet.call(node, request_for(crashing_path, "last" + id)).status == 503);
    }
    BOOST_TEST(arrivals(fleet) == arrivals_before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
