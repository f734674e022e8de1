#define BOOST_TEST_MODULE odd_log_records
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet.hpp"
#include "pomeloloft/log/log_client.hpp"
#include "test/named_row.hpp"
#include "test/nested_json.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;

namespace {

/// A record that another writer may leave in a stream of the log.
struct odd_record_row : named_row {
    std::string_view stream;
    std::string data;
};

const odd_record_row odd_record_rows[] = {
    {"a deeply nested patch", config_stream,
     R"({"id":"odd","author":"x","base":0,"operations":[{"op":"add","path":"/x","value":)" +
         nested_lists(100'000) + "}]}"},
    {"a patch with a number that is too large", config_stream,
     R"({"id":"odd","author":"x","base":1e999,"operations":[]})"},
    {"a patch of bytes that are not text", config_stream, "\xff\xfe\x01"},
    {"a reader with a port out of range", reader_stream,
     R"({"node":"x","data_centre":"celje-1","control":"127.0.0.1:70000"})"},
    {"a reader without an address", reader_stream, R"({"node":"x","data_centre":"celje-1","control":""})"},
    {"a deeply nested reader", reader_stream, R"({"control":)" + nested_lists(100'000) + "}"},
    {"a snapshot of very many parts", snapshot_stream,
     R"({"id":"x","index":0,"count":18446744073709551615,"next_offset":1,"at_ms":1,"data":"x"})"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_log_records)

// Guards against records of another writer that end every proxy which reads the log, or stop it from
// following.
BOOST_DATA_TEST_CASE(proxies_follow_the_log_after_an_odd_record,
                     boost::unit_test::data::make(odd_record_rows), row)
{
    fleet f;
    f.log->append_raw(std::string(row.stream), row.data);
    for (int i = 0; i < 3; ++i) {
        f.add({"p" + std::to_string(i), "celje-1", "", {}, {}, false});
    }
    BOOST_REQUIRE(f.bring_up(*f.nodes.front(), example_path("savinja/pattern-shop.yaml")));
    f.log->append_raw(std::string(row.stream), row.data);
    f.nodes.back()->process->kill();
    f.nodes.back()->start();
    BOOST_TEST(f.wait_until_ready(startup_timeout));
    BOOST_TEST(
        f.submit(*f.nodes.front(), "after", 1, R"([{"op":"add","path":"/services/x","value":{}}])").status ==
        200);
    BOOST_TEST(f.wait_for_version(2, convergence_limit));
    for (const auto& n : f.nodes) {
        BOOST_TEST(n->process->running());
    }
}

BOOST_AUTO_TEST_SUITE_END()
