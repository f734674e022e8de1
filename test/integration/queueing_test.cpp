#define BOOST_TEST_MODULE queueing
#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "sidecar_fleet.hpp"

namespace pomeloloft::testing {

BOOST_AUTO_TEST_SUITE(queueing)

// Guards against waits and refusals that depended on the route's target latency, which does not say how long
// a caller waits.
BOOST_AUTO_TEST_CASE(requests_that_differ_only_in_target_latency_get_the_same_decision)
{
    sidecar_fleet fleet(2);
    const std::string common = R"("RouteType":"idempotent","TimeoutMs":3000,"Priority":1,)"
                               R"("Service":"register","MaxAttempts":2})";
    fleet.configure(
        2, R"(,{"Name":"eager","Host":"shop.example","PathPrefix":"/eager/","TargetLatencyMs":50,)" + common +
               R"(,{"Name":"calm","Host":"shop.example","PathPrefix":"/calm/",)"
               R"("TargetLatencyMs":2500,)" +
               common);
    const auto request_to = [](const std::string& path, int number) {
        caller_request out = read_request(path.substr(1, 1) + std::to_string(number));
        out.path = path;
        out.time_left = milliseconds(3000);
        return out;
    };
    BOOST_REQUIRE(fleet.run_until([&] {
        return fleet.call(0, request_to("/eager/1", 0)).status == 200 &&
               fleet.call(1, request_to("/calm/1", 0)).status == 200;
    }));
    for (sidecar_node& node : fleet.nodes) {
        node.target->service_time = milliseconds(150);
    }
    // Three requests a slot, which take less than half of the time that the callers have.
    std::vector<caller_request> requests;
    for (int i = 1; i <= 12; ++i) {
        requests.push_back(request_to("/eager/1", i));
        requests.push_back(request_to("/calm/1", i));
    }
    const std::vector<caller_response> responses = fleet.call_all(0, requests);
    int eager = 0;
    int calm = 0;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        (i % 2 == 0 ? eager : calm) += responses[i].status == 200 ? 1 : 0;
    }
    BOOST_TEST(eager == 12);
    BOOST_TEST(calm == 12);
}

// Guards against bodies that were transferred and then refused although their callers had time to wait.
BOOST_AUTO_TEST_CASE(uploads_wait_for_a_slot_as_long_as_their_callers)
{
    sidecar_fleet fleet({"gallery", "register"});
    fleet.configure(2, R"(,{"Name":"scan","Host":"shop.example","PathPrefix":"/scan/","RouteType":"upload",)"
                       R"("TimeoutMs":3000,"TargetLatencyMs":3000,"Priority":1,"Service":"register",)"
                       R"("MaxAttempts":1})");
    const auto upload = [](int number) {
        caller_request out = read_request("u" + std::to_string(number));
        out.method = "POST";
        out.path = "/scan/1";
        out.body.assign(std::size_t{10} << 10U, 'x');
        out.time_left = milliseconds(3000);
        return out;
    };
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.call(0, upload(0)).status == 200; }));
    fleet.nodes[1].target->service_time = milliseconds(150);
    int sent = 0;
    const auto served_of = [&](int count) {
        std::vector<caller_request> uploads;
        for (int i = 0; i < count; ++i) {
            uploads.push_back(upload(++sent));
        }
        const std::vector<caller_response> responses = fleet.call_all(0, uploads);
        return std::count_if(responses.begin(), responses.end(),
                             [](const caller_response& r) { return r.status == 200; });
    };
    // The sidecar of the target learns the service time.
    BOOST_TEST(served_of(24) == 24);
    // 12 uploads a slot take 1.8 of the 3 s that the callers have.
    BOOST_TEST(served_of(48) == 48);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
