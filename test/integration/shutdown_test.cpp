#define BOOST_TEST_MODULE shutdown
#include <csignal>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

/// Time between SIGTERM and SIGKILL in the settings of the fleet.
constexpr milliseconds grace{6000};

/// A request sent this long after SIGTERM, with more time left than the process has.
struct late_row : named_row {
    milliseconds after;
    std::size_t draining_node;
    int others_in_slots;
    /// Status of the response; a request that reached the target may have run.
    int status;
};

const late_row late_rows[] = {
    {"at once, target of a peer", milliseconds(50), 0, 0, 504},
    {"before readiness checks fail, target of a peer", milliseconds(1900), 0, 0, 504},
    {"before readiness checks fail, no free slot", milliseconds(1900), 0, 4, 503},
    {"before readiness checks fail, only the own target", milliseconds(1900), 1, 0, 503},
};

caller_request slow_write(const std::string& id)
{
    caller_request out;
    out.method = "POST";
    out.path = "/slow/1";
    out.id = id;
    out.body = "an order";
    out.time_left = milliseconds(9000);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_shutdown)

BOOST_DATA_TEST_CASE(a_request_read_during_the_grace_period_is_answered_before_the_process_ends,
                     boost::unit_test::data::make(late_rows))
{
    sidecar_fleet fleet(2);
    fleet.configure(2, R"(,{"Name":"slow","Host":"shop.example","PathPrefix":"/slow/","MaxAttempts":2,)"
                       R"("RouteType":"non_idempotent","TimeoutMs":9000,"TargetLatencyMs":8000,)"
                       R"("Service":"register"})");
    fleet.run_until([&] { return fleet.call(0, slow_write("probe")).status == 200; });
    BOOST_TEST(fleet.heartbeat(sample.draining_node, "draining") == 200);
    fleet.run_for(milliseconds(1200));
    for (sidecar_node& node : fleet.nodes) {
        node.target->mode = target_mode::never_responds;
    }
    fleet.nodes[0].process->signal(SIGTERM);
    fleet.run_for(sample.after);
    std::vector<caller_request> requests;
    for (int i = 0; i <= sample.others_in_slots; ++i) {
        requests.push_back(slow_write("w" + std::to_string(i)));
    }
    const auto responses = fleet.call_all(0, requests);
    BOOST_TEST(responses.back().status == sample.status);
    for (const caller_response& response : responses) {
        BOOST_TEST((response.end == net::exchange_end::answered));
        BOOST_TEST((response.elapsed < grace - sample.after));
    }
    BOOST_TEST(fleet.run_until([&] { return !fleet.nodes[0].process->running(); }, grace));
    BOOST_TEST(fleet.log_of(0).find("unfinished=0") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
