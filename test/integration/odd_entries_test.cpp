#define BOOST_TEST_MODULE odd_entries
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"
#include "test/nested_json.hpp"

namespace pomeloloft::testing {
namespace {

/// A report that another writer may send to the address of a node.
struct odd_report_row : named_row {
    std::string id;
    std::string body;
};

std::string report_with(const std::string& version, const std::string& sequence, const std::string& slots)
{
    return R"({"Address":"x","born":1,"Info":{"Service":"register","Version":)" + version +
           R"(,"Zone":"dc1","Slots":)" + slots + R"(},"Status":{"State":"ready","Seq":)" + sequence +
           R"(,"ColdRemainingMs":0}})";
}

const odd_report_row odd_report_rows[] = {
    {"an id that is not UTF-8", "i-\xff\xfe", report_with(R"("v1")", "1000", "4")},
    {"deep nesting", "i-9", report_with(nested_lists(20'000), "1000", "4")},
    {"very deep nesting", "i-9", report_with(nested_lists(2'000'000), "1000", "4")},
    {"a sequence number that is too large", "i-0", report_with(R"("v1")", "9223372036854775807", "4")},
    {"too many slots", "i-0", report_with(R"("v1")", "1000", "18446744073709551615")},
};

/// A record that another writer may leave among those of the sidecars.
struct odd_record_row : named_row {
    std::string key;
    std::string value;
};

std::string member_record(const std::string& node, const std::string& peer, const std::string& incarnation,
                          const std::string& more = {})
{
    return R"({"node":")" + node + R"(","incarnation":)" + incarnation +
           R"(,"sequence":1,"state":"draining","data_centre":"dc1","service":"register","peer":")" + peer +
           R"(","instance":"i-9","instance_started_at_ms":1,"link_mbps":1000,"reaches_store":true)" + more +
           "}";
}

const std::string odd_peer = "127.0.0.1:9";
const std::string max_number = "18446744073709551615";

const odd_record_row odd_record_rows[] = {
    {"deep nesting", "member/n9", member_record("n9", odd_peer, "1", R"(,"x":)" + nested_lists(50'000))},
    {"a number that is too large", "member/n9", member_record("n9", odd_peer, "1e999")},
    {"a counter that is too large", "member/n9", member_record("n9", odd_peer, max_number)},
    {"a port out of range", "member/n9", member_record("n9", "127.0.0.1:70000", "1")},
    {"the node itself with a counter that is too large", "member/n0",
     member_record("n0", odd_peer, max_number)},
    {"bytes that are not text", "quarantine/n9", "\xff\xfe\x01"},
    {"a departure with a number that is too large", "left/n0", R"({"instance":"i-0","started_at_ms":1e999})"},
    {"a key that no sidecar writes", "zz &=#%/ key", "{}"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against a report without a start time that hides the later reports of the target.
BOOST_AUTO_TEST_CASE(a_drain_takes_effect_after_a_report_without_a_start_time)
{
    sidecar_fleet fleet(2);
    const std::string foreign = R"({"Address":"x","Info":{"Service":"register","Version":"v1","Zone":"dc1",)"
                                R"("Slots":4},"Status":{"State":"ready","Seq":1000,"ColdRemainingMs":0}})";
    BOOST_TEST(fleet.post_control(0, "/api/instances/i-0/heartbeat", foreign) == 400);
    BOOST_TEST(fleet.heartbeat(0, "draining") == 200);
    fleet.run_for(milliseconds(1000));
    const std::size_t arrivals = fleet.nodes[0].target->request_heads.size();
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(fleet.call(0, read_request("d" + std::to_string(i))).status == 200);
    }
    BOOST_TEST(fleet.nodes[0].target->request_heads.size() == arrivals);
}

// Guards against reports of another writer that end tasks of a sidecar or hide those of its target.
BOOST_DATA_TEST_CASE(a_sidecar_goes_on_after_an_odd_report, boost::unit_test::data::make(odd_report_rows),
                     row)
{
    sidecar_fleet fleet(2);
    // A body that is too long is refused before it is read, which may end the connection.
    const int status = fleet.post_control(0, "/api/instances/" + row.id + "/heartbeat", row.body);
    BOOST_TEST((status == 0 || (status >= 400 && status < 500)), status);
    fleet.run_for(milliseconds(1500));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(fleet.log_of(node).find("task-failed") == std::string::npos);
        BOOST_TEST(fleet.nodes[node].process->running());
        BOOST_TEST(fleet.call(node, read_request("a" + std::to_string(node))).status == 200);
    }
    // The reports of the node's own target still count.
    BOOST_TEST(fleet.heartbeat(0, "draining") == 200);
    fleet.run_for(milliseconds(1000));
    const std::size_t arrivals = fleet.nodes[0].target->request_heads.size();
    BOOST_TEST(fleet.call(0, read_request("after")).status == 200);
    BOOST_TEST(fleet.nodes[0].target->request_heads.size() == arrivals);
}

// Guards against records of another writer that keep sidecars from joining.
BOOST_DATA_TEST_CASE(a_sidecar_joins_although_a_record_is_odd, boost::unit_test::data::make(odd_record_rows),
                     row)
{
    sidecar_fleet fleet(2);
    fleet.store.put("keyed.pomeloloft", row.key, row.value);
    for (sidecar_node& node : fleet.nodes) {
        node.process->kill();
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.start(node);
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(fleet.run_until([&] { return fleet.heartbeat(node) == 200; }));
        BOOST_TEST(fleet.run_until([&] { return fleet.readiness(node) == 200; }));
        const std::string id = "a" + std::to_string(node);
        BOOST_TEST(fleet.run_until([&] { return fleet.call(node, read_request(id)).status == 200; }));
    }
    fleet.run_for(milliseconds(1500));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(fleet.nodes[node].process->running());
        BOOST_TEST(fleet.log_of(node).find("task-failed") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
