#include <string>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/log/log_client.hpp"
#include "test/named_row.hpp"
#include "test/raw_remote.hpp"

namespace pomeloloft {
namespace {

struct response_row : testing::named_row {
    testing::raw_response response;
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string empty_batch = R"({"oldest": 0, "next": 0, "records": []})";
constexpr auto reset = testing::connection_end::reset;
constexpr auto close = testing::connection_end::close;
/// More than one record can have.
constexpr std::size_t endless_bytes = 100U << 20U;

const response_row broken_rows[] = {
    {"status 000", {"HTTP/1.1 000 None\r\n\r\n" + empty_batch, {}, 0, close}},
    {"blank in a field name", {ok_line + "X Name: v\r\n\r\n" + empty_batch, {}, 0, close}},
    {"a length beyond the body", {ok_line + "Content-Length: 100\r\n\r\n" + empty_batch, {}, 0, close}},
    {"a reset behind the body", {ok_line + "\r\n" + empty_batch, {}, 0, reset}},
    {"a head without end", {ok_line, "X-More: value\r\n", endless_bytes, close}},
    // JSON allows blanks behind a value.
    {"a body without end", {ok_line + "\r\n" + empty_batch, "    ", endless_bytes, close}},
};

log_read_request read_from_start()
{
    log_read_request request;
    request.stream = config_stream;
    request.wait_deadline = steady_clock::now();
    return request;
}

/// The limit of records that a request of the client names.
unsigned max_records_of(const std::string& request)
{
    const std::string parameter = "max=";
    return static_cast<unsigned>(std::stoul(request.substr(request.find(parameter) + parameter.size())));
}

} // namespace

BOOST_AUTO_TEST_SUITE(answers_of_the_log)

BOOST_DATA_TEST_CASE(a_broken_answer_is_an_error, boost::unit_test::data::make(broken_rows), row)
{
    const testing::raw_remote log([&](const std::string&) { return row.response; });
    const log_client client = make_http_log_client(log.address());
    BOOST_TEST(!client.read(read_from_start()));
    BOOST_TEST(!client.bounds(config_stream));
}

// A single record fits the limit on answers, a batch of large ones need not. Guards against one deadline for
// all the answers to a read.
BOOST_DATA_TEST_CASE(records_that_are_too_long_for_one_answer_are_read_in_smaller_batches,
                     boost::unit_test::data::make({0, 700}), response_time_ms)
{
    constexpr std::size_t record_bytes = 1U << 20U;
    // More would exceed 64 MB.
    constexpr unsigned max_answer_records = 63;
    const testing::raw_remote log([&](const std::string& request) {
        const unsigned records = max_records_of(request);
        std::this_thread::sleep_for(milliseconds(response_time_ms));
        const std::string head = ok_line + "\r\n" + R"({"oldest": 0, "next": 256, "records": [)";
        const std::string record = R"({"offset": 0, "data": ")" + std::string(record_bytes, 'x') + "\"}";
        if (records > max_answer_records) {
            return testing::raw_response{head, record + ", ", records * record_bytes, close};
        }
        std::string body = head + record;
        for (unsigned i = 1; i < records; ++i) {
            body += ", " + record;
        }
        return testing::raw_response{body + "]}", {}, 0, close};
    });
    const auto batch = make_http_log_client(log.address()).read(read_from_start());
    BOOST_REQUIRE(batch);
    BOOST_REQUIRE(!batch.value().records.empty());
    BOOST_TEST(batch.value().records.size() < 256U);
    BOOST_TEST(batch.value().records.front().data.size() == record_bytes);
    BOOST_TEST(log.connections() > 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
