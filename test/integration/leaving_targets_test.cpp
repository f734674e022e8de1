#define BOOST_TEST_MODULE leaving_targets
#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/target.hpp"
#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

/// `DrainMs` of the fleet.
constexpr milliseconds drain_period{1000};

/// Number of requests that reached a target under the name of an instance.
int arrivals_at(const platform_target& target, const std::string& instance)
{
    const std::string line = "X-Expected-Instance: " + instance + "\r\n";
    return static_cast<int>(
        std::count_if(target.request_heads.begin(), target.request_heads.end(),
                      [&line](const std::string& head) { return head.find(line) != std::string::npos; }));
}

/// Reports a start of a node's target under its id.
/// @return the response status.
int report_start(sidecar_fleet& fleet, std::size_t node, std::int64_t started_at_ms, const std::string& state)
{
    fleet.nodes[node].target_started_at_ms = started_at_ms;
    fleet.nodes[node].heartbeat_sequence = 0;
    return fleet.heartbeat(node, state);
}

/// How a target that has reported nothing yet deregisters.
struct deregistration_row : named_row {
    /// Whether the deregistration states when the target started.
    bool has_start_time;
    /// Whether the sidecar is restarted after it has acknowledged the deregistration.
    bool restarts_sidecar;
};

const deregistration_row deregistration_rows[] = {
    {"with its start time", true, false},
    {"without its start time", false, false},
    {"with its start time, before a restart of the sidecar", true, true},
    {"without its start time, before a restart of the sidecar", false, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_targets)

// Guards against a late first heartbeat that brings back a target whose deregistration was acknowledged.
BOOST_DATA_TEST_CASE(a_target_that_deregisters_before_its_first_heartbeat_stays_gone,
                     boost::unit_test::data::make(deregistration_rows))
{
    sidecar_fleet fleet(3);
    sidecar_node& node = fleet.nodes[1];
    node.target->downtime = milliseconds(200);
    node.target->crash();
    fleet.run_for(2 * node.target->downtime);
    node.target->instance = "i-1-next";
    node.target_started_at_ms += 1000;
    node.heartbeat_sequence = 0;
    const std::string body =
        sample.has_start_time ? R"({"born":)" + std::to_string(node.target_started_at_ms) + '}' : "";
    BOOST_TEST(fleet.post_control(1, "/api/instances/i-1-next/deregister", body) == 200);
    if (sample.restarts_sidecar) {
        node.process->kill();
        fleet.start(1);
        BOOST_TEST(fleet.run_until([&fleet] { return fleet.readiness(1) == 200; }));
    }
    fleet.heartbeat(1);
    fleet.run_for(drain_period);
    const int before = arrivals_at(*node.target, "i-1-next");
    for (int i = 0; i < 60; ++i) {
        fleet.call(static_cast<std::size_t>(i) % 3, read_request("d" + std::to_string(i)));
    }
    BOOST_TEST(arrivals_at(*node.target, "i-1-next") == before);
}

// Guards against a target whose clock was set back between two starts: its reports were taken for late ones,
// and its shutdown was acknowledged without effect.
BOOST_AUTO_TEST_CASE(a_target_that_started_before_its_clock_was_set_back_can_drain)
{
    sidecar_fleet fleet(3);
    const sidecar_node& node = fleet.nodes[1];
    BOOST_TEST(report_start(fleet, 1, 3000, "ready") == 200);
    // It starts again under its id, by a clock that was set back.
    BOOST_TEST(report_start(fleet, 1, 2000, "ready") == 200);
    const time_point late_until = steady_clock::now() + sidecar::max_report_delay;
    while (steady_clock::now() < late_until) {
        BOOST_TEST(fleet.heartbeat(1) == 200);
        fleet.run_for(milliseconds(1000));
    }
    BOOST_TEST(fleet.heartbeat(1, "draining") == 200);
    fleet.run_for(drain_period);
    const int before = node.target->runs();
    for (int i = 0; i < 60; ++i) {
        fleet.call(static_cast<std::size_t>(i) % 3, read_request("c" + std::to_string(i)));
    }
    BOOST_TEST(node.target->runs() == before);
}

// Guards against a shutdown that is acknowledged although the target goes on getting requests.
BOOST_AUTO_TEST_CASE(a_shutdown_that_may_be_that_of_an_earlier_instance_is_not_acknowledged)
{
    sidecar_fleet fleet(1);
    BOOST_TEST(report_start(fleet, 0, 3000, "ready") == 200);
    BOOST_TEST(report_start(fleet, 0, 2000, "draining") == 503);
    BOOST_TEST(fleet.post_control(0, "/api/instances/i-0/deregister", R"({"born":2000})") == 503);
    BOOST_TEST(fleet.call(0, read_request("c")).status == 200);
}

// Guards against a departure that cannot be stored and keeps those after it from being acknowledged.
BOOST_AUTO_TEST_CASE(during_a_store_outage_only_the_departure_that_peers_know_of_is_acknowledged)
{
    sidecar_fleet fleet(2);
    fleet.run_for(milliseconds(1600));
    fleet.store.mode = store_mode::busy;
    BOOST_TEST(fleet.post_control(1, "/api/instances/i-1-ended/deregister", R"({"born":0})") == 503);
    BOOST_TEST(fleet.heartbeat(1) == 200);
    BOOST_TEST(fleet.heartbeat(1, "draining") == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
