#define BOOST_TEST_MODULE sidecar
#include <algorithm>
#include <csignal>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/member_record.hpp"
#include "process_usage.hpp"
#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

caller_request write_request(const std::string& id)
{
    caller_request out;
    out.method = "POST";
    out.path = "/write/1";
    out.id = id;
    out.body = "an order";
    return out;
}

/// The same requests, as further attempts of their callers.
std::vector<caller_request> requests_with_new_ids(std::vector<caller_request> requests)
{
    for (caller_request& r : requests) {
        r.id += "-again";
    }
    return requests;
}

/// Expected responses and runs in each mode of the only target. Status 0: no complete response.
struct mode_row : named_row {
    target_mode mode;
    int read_status;
    int write_status;
    int write_runs;
};

const mode_row mode_rows[] = {
    {"valid response", target_mode::answers, 200, 200, 1},
    {"error response", target_mode::responds_500, 500, 500, 1},
    {"sheds the request", target_mode::sheds_load, 503, 503, 0},
    {"resets the connection", target_mode::closes_without_response, 502, 502, 1},
    {"never responds", target_mode::never_responds, 504, 504, 1},
    {"truncates the body", target_mode::truncates_body, 502, 502, 1},
    {"omits the signature", target_mode::unsigned_response, 502, 502, 1},
    {"sends a stale response first", target_mode::stale_response_first, 200, 200, 1},
    {"sends an extra response", target_mode::extra_response, 200, 200, 1},
    {"sends a body without a length", target_mode::close_delimited_body, 200, 200, 1},
    {"sends invalid data", target_mode::invalid_http, 502, 502, 1},
};

/// Status of the response to a caller while the only target responds without end.
struct endless_row : named_row {
    target_mode mode;
    int status;
};

const endless_row endless_rows[] = {
    {"head", target_mode::endless_head, 502},
    {"interim responses", target_mode::endless_interim_responses, 502},
    {"body", target_mode::endless_body, 502},
    {"trailers", target_mode::endless_trailers, 502},
    {"bytes after a complete response", target_mode::endless_bytes_after_response, 200},
};

/// Failure mode of the store while a sidecar starts and a new version is published.
struct outage_row : named_row {
    store_mode mode;
};

const outage_row outage_rows[] = {
    {"busy", store_mode::busy},
    {"resets connections", store_mode::reset},
    {"loses responses", store_mode::loses_responses},
    {"never responds", store_mode::silent},
};

} // namespace

BOOST_AUTO_TEST_SUITE(sidecars)

BOOST_DATA_TEST_CASE(a_store_outage_delays_updates_without_losing_any,
                     boost::unit_test::data::make(outage_rows))
{
    sidecar_fleet fleet(2);
    fleet.store.mode = sample.mode;
    fleet.nodes[1].process->kill();
    fleet.start(1);
    fleet.run_for(milliseconds(300));
    caller_request added = read_request("added");
    added.path = "/added/1";
    fleet.configure(2, R"(,{"Name":"added","Host":"shop.example","PathPrefix":"/added/",)"
                       R"("RouteType":"idempotent","TimeoutMs":500,"Service":"register"})");
    fleet.run_for(milliseconds(700));
    // Sidecars continue to serve the configuration that they have.
    BOOST_TEST(fleet.call(0, read_request("during")).status == 200);
    fleet.store.mode = store_mode::healthy;
    for (std::size_t node = 0; node < 2; ++node) {
        BOOST_TEST(
            fleet.run_until([&] { return fleet.call(node, added).status == 200; }, milliseconds(5000)));
        // The restarted sidecar is ready once it has joined, with its first retry after the store recovers.
        BOOST_TEST(fleet.run_until([&] { return fleet.readiness(node) == 200; }, milliseconds(3000)));
    }
}

BOOST_DATA_TEST_CASE(callers_get_a_complete_response_or_the_correct_error,
                     boost::unit_test::data::make(mode_rows))
{
    sidecar_fleet fleet(1);
    fleet.nodes[0].target->mode = sample.mode;
    for (int round = 0; round < 2; ++round) {
        const std::string suffix = std::to_string(round);
        const caller_response read = fleet.call(0, read_request("r" + suffix));
        BOOST_TEST(read.status == sample.read_status);
        BOOST_TEST((read.status != 200 || read.body == "by i-0"), read.body);
        // After a broken exchange the sidecar does not use the target for a short time.
        fleet.run_for(milliseconds(350));
        const caller_response write = fleet.call(0, write_request("w" + suffix));
        BOOST_TEST(write.status == sample.write_status);
        BOOST_TEST(fleet.nodes[0].target->run_count("w" + suffix) == sample.write_runs);
        fleet.run_for(milliseconds(350));
    }
}

BOOST_DATA_TEST_CASE(an_endless_response_is_ended_and_its_slot_released,
                     boost::unit_test::data::make(endless_rows))
{
    sidecar_fleet fleet(1);
    fleet.nodes[0].target->mode = sample.mode;
    const double memory_before = read_usage(fleet.nodes[0].process->id()).resident_mb;
    std::vector<caller_request> requests;
    for (int i = 0; i < 4; ++i) {
        requests.push_back(write_request("w" + std::to_string(i)));
        requests.back().time_left = milliseconds(5000);
    }
    for (const caller_response& response : fleet.call_all(0, requests)) {
        BOOST_TEST(response.status == sample.status);
        // Long before the deadline.
        BOOST_TEST(response.elapsed.count() < 2500);
    }
    for (const caller_request& sent : requests) {
        BOOST_TEST(fleet.nodes[0].target->run_count(sent.id) == 1);
    }
    BOOST_TEST(read_usage(fleet.nodes[0].process->id()).resident_mb - memory_before < 100);
    fleet.nodes[0].target->mode = target_mode::answers;
    fleet.run_for(milliseconds(350));
    for (const caller_response& response : fleet.call_all(0, requests_with_new_ids(requests))) {
        BOOST_TEST(response.status == 200);
    }
}

BOOST_AUTO_TEST_CASE(an_early_response_to_a_large_body_does_not_corrupt_later_requests)
{
    sidecar_fleet fleet(1);
    caller_request large = write_request("large");
    large.body.assign(400'000, 'x');
    fleet.nodes[0].target->mode = target_mode::early_response;
    BOOST_TEST(fleet.call(0, large).status == 200);
    fleet.nodes[0].target->mode = target_mode::answers;
    BOOST_TEST(fleet.call(0, read_request("next")).body == "by i-0");
    large.id = "large-2";
    BOOST_TEST(fleet.call(0, large).status == 200);
    BOOST_TEST(fleet.nodes[0].target->run_count("large-2") == 1);
}

BOOST_AUTO_TEST_CASE(targets_never_exceed_their_slots_and_slots_are_released)
{
    sidecar_fleet fleet(2);
    for (sidecar_node& node : fleet.nodes) {
        node.target->service_time = milliseconds(40);
    }
    for (int round = 0; round < 3; ++round) {
        std::vector<caller_request> burst;
        for (int i = 0; i < 24; ++i) {
            burst.push_back(read_request("b" + std::to_string(round) + "-" + std::to_string(i)));
        }
        const auto answers = fleet.call_all(0, burst);
        const auto served = std::count_if(answers.begin(), answers.end(),
                                          [](const caller_response& a) { return a.status == 200; });
        const bool all_valid = std::all_of(answers.begin(), answers.end(), [](const caller_response& a) {
            return a.status == 200 || (a.status == 503 && !a.retry_after.empty());
        });
        // Two targets with eight slots together and 40 ms per run, and callers that wait for a second.
        BOOST_TEST(served >= 20);
        BOOST_TEST(all_valid);
    }
    for (const sidecar_node& node : fleet.nodes) {
        BOOST_TEST(node.target->peak_running <= 4);
        BOOST_TEST(node.target->runs() > 0);
    }
}

BOOST_AUTO_TEST_CASE(headers_for_the_target_are_set_and_internal_headers_are_removed)
{
    sidecar_fleet fleet(2);
    fleet.nodes[0].target->mode = target_mode::answers;
    for (int i = 0; i < 10; ++i) {
        fleet.call(0, read_request("h" + std::to_string(i)));
    }
    for (const sidecar_node& node : fleet.nodes) {
        for (const std::string& head : node.target->request_heads) {
            BOOST_TEST(head.find("X-Caller-Service: register\r\n") != std::string::npos);
            BOOST_TEST(head.find("X-Expected-Instance: " + node.target->instance) != std::string::npos);
            BOOST_TEST(head.find("X-Deadline-Ms: ") != std::string::npos);
            BOOST_TEST(head.find("x-pomeloloft") == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_drained_target_gets_no_requests_even_after_a_sidecar_restart)
{
    sidecar_fleet fleet(2);
    BOOST_TEST(fleet.heartbeat(1, "draining") == 200);
    BOOST_TEST(fleet.store.newest("keyed.pomeloloft", "left/n1").find("i-1") != std::string::npos);
    fleet.run_for(milliseconds(1000));
    const int before = fleet.nodes[1].target->runs();
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(fleet.call(0, read_request("d" + std::to_string(i))).status == 200);
    }
    BOOST_TEST(fleet.nodes[1].target->runs() == before);
    fleet.nodes[1].process->kill();
    fleet.start(1);
    fleet.run_until([&fleet] { return fleet.readiness(1) == 200; });
    fleet.heartbeat(1);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(fleet.call(1, read_request("e" + std::to_string(i))).status == 200);
    }
    BOOST_TEST(fleet.nodes[1].target->runs() == before);
}

BOOST_AUTO_TEST_CASE(a_restarted_sidecar_finds_its_target_by_a_health_check)
{
    sidecar_fleet fleet(1);
    fleet.nodes[0].process->kill();
    fleet.start(0);
    BOOST_TEST(fleet.run_until([&fleet] { return fleet.readiness(0) == 200; }));
    BOOST_TEST(fleet.run_until([&fleet] { return fleet.call(0, read_request("again")).status == 200; }));
}

BOOST_AUTO_TEST_CASE(a_drain_is_acknowledged_during_a_store_outage_if_a_peer_knows_of_it)
{
    sidecar_fleet fleet(2);
    fleet.run_for(milliseconds(1600));
    fleet.store.mode = store_mode::busy;
    BOOST_TEST(fleet.heartbeat(1, "draining") == 200);
    fleet.nodes[1].process->kill();
    fleet.start(1);
    fleet.store.mode = store_mode::healthy;
    fleet.run_until([&fleet] { return fleet.readiness(1) == 200; });
    fleet.run_for(milliseconds(1700));
    const int before = fleet.nodes[1].target->runs();
    fleet.heartbeat(1);
    for (int i = 0; i < 10; ++i) {
        fleet.call(1, read_request("f" + std::to_string(i)));
    }
    BOOST_TEST(fleet.nodes[1].target->runs() == before);
}

BOOST_AUTO_TEST_CASE(a_valid_configuration_is_applied_by_all_sidecars_and_an_invalid_one_by_none)
{
    sidecar_fleet fleet(2);
    caller_request added = read_request("added");
    added.path = "/added/1";
    BOOST_TEST(fleet.call(1, added).status == 404);
    const std::string route = R"(,{"Name":"added","Host":"shop.example","PathPrefix":"/added/",)"
                              R"("RouteType":"idempotent","TimeoutMs":500,"Service":"register"})";
    fleet.configure(2, route);
    BOOST_TEST(fleet.run_until([&] { return fleet.call(0, added).status == 200; }, milliseconds(2000)));
    BOOST_TEST(fleet.run_until([&] { return fleet.call(1, added).status == 200; }, milliseconds(2000)));
    fleet.store.put("keyed.op", "config",
                    R"({"Version":3,"Routes":[{"Host":"shop.example"}],"Services":[]})");
    fleet.configure(1);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.call(0, added).status == 200);
    fleet.store.compact("keyed.op");
    fleet.configure(9);
    BOOST_TEST(fleet.run_until([&] { return fleet.call(0, added).status == 404; }, milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(a_sidecar_without_a_configuration_is_not_ready_and_rejects_requests)
{
    sidecar_fleet fleet(2);
    fleet.nodes[1].process->kill();
    fleet.store.mode = store_mode::busy;
    // Neither the store nor a peer can provide a configuration.
    fleet.nodes[0].process->kill();
    fleet.start(1);
    fleet.run_for(milliseconds(500));
    BOOST_TEST(fleet.readiness(1) == 503);
    const caller_response response = fleet.call(1, read_request("early"));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(!response.retry_after.empty());
    fleet.store.mode = store_mode::healthy;
    BOOST_TEST(fleet.run_until([&] { return fleet.readiness(1) == 200; }, milliseconds(4000)));
}

BOOST_AUTO_TEST_CASE(a_restarted_sidecar_gets_its_configuration_from_peers_during_a_store_outage)
{
    sidecar_fleet fleet(3);
    fleet.run_for(milliseconds(1000));
    fleet.store.mode = store_mode::reset;
    fleet.nodes[1].process->kill();
    fleet.start(1);
    BOOST_TEST(fleet.run_until([&] { return fleet.readiness(1) == 200; }, milliseconds(6000)));
    BOOST_TEST(fleet.run_until([&] { return fleet.call(1, read_request("x")).status == 200; }));
}

BOOST_AUTO_TEST_CASE(a_planned_shutdown_under_load_interrupts_no_request_and_ends_in_time)
{
    sidecar_fleet fleet(2);
    for (sidecar_node& node : fleet.nodes) {
        node.target->service_time = milliseconds(20);
    }
    fleet.nodes[0].process->signal(SIGTERM);
    const time_point started_at = steady_clock::now();
    int sent = 0;
    int interrupted = 0;
    while (fleet.nodes[0].process->running() && steady_clock::now() - started_at < milliseconds(7000)) {
        const caller_response response = fleet.call(0, read_request("s" + std::to_string(sent++)));
        // A connection refused after the listener has closed carried no request and does not count.
        interrupted +=
            response.end != net::exchange_end::answered && fleet.nodes[0].process->running() ? 1 : 0;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_at);
    BOOST_TEST(sent > 20);
    BOOST_TEST(interrupted <= 1);
    BOOST_TEST(elapsed.count() < 4000);
    BOOST_TEST(fleet.log_of(0).find("unfinished=0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_reload_on_a_signal_or_file_change_and_invalid_ones_are_ignored)
{
    sidecar_fleet fleet(2);
    const auto logs = [&fleet](std::size_t node, const char* event) {
        return [&fleet, node, event] { return fleet.log_of(node).find(event) != std::string::npos; };
    };
    fleet.append_settings(0, "OTHER=1\n");
    fleet.nodes[0].process->signal(SIGHUP);
    BOOST_TEST(fleet.run_until(logs(0, "settings-reloaded"), milliseconds(1000)));
    fleet.append_settings(1, "no equals sign\n");
    BOOST_TEST(fleet.run_until(logs(1, "reload-failed")));
    BOOST_TEST(fleet.log_of(1).find("settings-reloaded") == std::string::npos);
    BOOST_TEST(fleet.call(1, read_request("after")).status == 200);
}

BOOST_AUTO_TEST_CASE(invalid_heartbeats_are_rejected_and_registered_targets_are_kept)
{
    sidecar_fleet fleet(1);
    for (const char* body : {"", "{", "[]", R"({"Info":7})", R"({"born":"x","Info":{},"Status":{}})"}) {
        BOOST_TEST(fleet.post_control(0, "/api/instances/i-x/heartbeat", body) == 400);
    }
    BOOST_TEST(fleet.post_control(0, "/api/elsewhere", "{}") == 404);
    BOOST_TEST(fleet.call(0, read_request("still")).body == "by i-0");
}

BOOST_AUTO_TEST_CASE(fence_requests_are_accepted_only_for_the_current_incarnation)
{
    sidecar_fleet fleet(1);
    const auto entry = sidecar::decode_member(fleet.store.newest("keyed.pomeloloft", "member/n0"));
    BOOST_REQUIRE(entry);
    const std::string process = "n0 " + std::to_string(entry.value().incarnation);
    BOOST_TEST(fleet.fence(0, process) == 200);
    BOOST_TEST(fleet.fence(0, "n0 1") == 421);
    BOOST_TEST(fleet.fence(0, "n7 " + std::to_string(entry.value().incarnation)) == 421);
    BOOST_TEST(fleet.fence(0, "") == 421);
}

BOOST_AUTO_TEST_CASE(a_request_that_breaks_targets_is_quarantined_and_others_are_served)
{
    sidecar_fleet fleet(4);
    for (sidecar_node& node : fleet.nodes) {
        node.target->poison = "/read/poison";
    }
    const auto runs = [&fleet] {
        int sum = 0;
        for (const sidecar_node& node : fleet.nodes) {
            for (const std::string& head : node.target->request_heads) {
                sum += head.find("/read/poison") != std::string::npos ? 1 : 0;
            }
        }
        return sum;
    };
    for (int i = 0; i < 16; ++i) {
        caller_request poison = read_request("p" + std::to_string(i));
        poison.path = "/read/poison";
        BOOST_TEST(fleet.call(static_cast<std::size_t>(i) % 4, poison).status >= 500);
        fleet.run_for(milliseconds(400));
    }
    // Sidecars receive crash observations within a few synchronisations; until then each may send the
    // request.
    const int before = runs();
    for (int i = 0; i < 8; ++i) {
        caller_request poison = read_request("q" + std::to_string(i));
        poison.path = "/read/poison";
        BOOST_TEST(fleet.call(static_cast<std::size_t>(i) % 4, poison).status == 503);
        BOOST_TEST(
            fleet.call(static_cast<std::size_t>(i) % 4, read_request("ok" + std::to_string(i))).status ==
            200);
    }
    BOOST_TEST(runs() == before);
}

// Guards against responses without a length that were held until the deadline, or cut by the end of a sidecar
// and taken for complete, because their end was that of the connection between two sidecars.
BOOST_AUTO_TEST_CASE(a_response_without_a_length_crosses_two_sidecars_with_one)
{
    sidecar_fleet fleet({"gallery", "register"});
    fleet.nodes[1].target->mode = target_mode::close_delimited_body;
    for (int i = 0; i < 5; ++i) {
        const caller_response response = fleet.call(0, read_request("u" + std::to_string(i)));
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.body == "by i-1");
        BOOST_TEST(response.elapsed.count() < 500);
    }
}

BOOST_AUTO_TEST_CASE(requests_past_their_deadline_time_out_and_free_their_slots)
{
    sidecar_fleet fleet(1);
    fleet.nodes[0].target->service_time = milliseconds(30);
    fleet.nodes[0].target->mode = target_mode::never_responds;
    std::vector<caller_request> requests;
    for (int i = 0; i < 4; ++i) {
        caller_request r = read_request("l" + std::to_string(i));
        r.time_left = milliseconds(300);
        requests.push_back(r);
    }
    for (const caller_response& response : fleet.call_all(0, requests)) {
        BOOST_TEST(response.status == 504);
        BOOST_TEST(response.elapsed.count() < 800);
    }
    // All four slots must be free again.
    fleet.nodes[0].target->mode = target_mode::answers;
    BOOST_TEST(fleet.call(0, read_request("after")).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
