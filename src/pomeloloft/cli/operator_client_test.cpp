#include "pomeloloft/cli/operator_client.hpp"

#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "test/named_row.hpp"
#include "test/raw_remote.hpp"

namespace pomeloloft {
namespace {

struct response_row : testing::named_row {
    testing::raw_response response;
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok_line + "Transfer-Encoding: chunked\r\n\r\n";
constexpr auto reset = testing::connection_end::reset;
constexpr auto close = testing::connection_end::close;
/// More than any answer of a proxy has.
constexpr std::size_t endless_bytes = 100U << 20U;

const response_row complete_rows[] = {
    {"a length", {ok_line + "Content-Length: 4\r\n\r\nbody", {}, 0, close}},
    {"chunks", {chunked + "4\r\nbody\r\n0\r\n\r\n", {}, 0, close}},
    {"the end of the connection", {ok_line + "\r\nbody", {}, 0, close}},
};

const response_row broken_rows[] = {
    {"status 000", {"HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody", {}, 0, close}},
    {"blank in a field name", {ok_line + "X Name: v\r\nContent-Length: 4\r\n\r\nbody", {}, 0, close}},
    {"two lengths", {ok_line + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody", {}, 0, close}},
    {"a body that is too short", {ok_line + "Content-Length: 10\r\n\r\nbody", {}, 0, close}},
    {"no last chunk", {chunked + "4\r\nbody\r\n", {}, 0, close}},
    {"a reset in a body with a length", {ok_line + "Content-Length: 10\r\n\r\nbody", {}, 0, reset}},
    {"a reset in a body with chunks", {chunked + "4\r\nbody\r\n", {}, 0, reset}},
    {"a reset in a body without a length", {ok_line + "\r\nbody", {}, 0, reset}},
    {"invalid chunks", {chunked + "zz\r\nbody\r\n0\r\n\r\n", {}, 0, close}},
    {"a head without end", {ok_line, "X-More: value\r\n", endless_bytes, close}},
    {"a body without end", {ok_line + "\r\n", "body", endless_bytes, close}},
    {"chunks without end", {chunked, "4\r\nbody\r\n", endless_bytes, close}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(answers_of_proxies_to_operators)

BOOST_DATA_TEST_CASE(a_complete_answer_is_returned, boost::unit_test::data::make(complete_rows), row)
{
    const testing::raw_remote proxy([&](const std::string&) { return row.response; });
    const auto response = call_operator(proxy.address(), "GET", "/v1/status");
    BOOST_REQUIRE(response);
    BOOST_TEST(response.value().status == 200);
    BOOST_TEST(response.value().body == "body");
}

BOOST_DATA_TEST_CASE(a_broken_answer_is_an_error, boost::unit_test::data::make(broken_rows), row)
{
    const testing::raw_remote proxy([&](const std::string&) { return row.response; });
    const auto response = call_operator(proxy.address(), "GET", "/v1/status");
    BOOST_TEST(!response, "a body of " << (response ? response.value().body.size() : 0) << " bytes");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
