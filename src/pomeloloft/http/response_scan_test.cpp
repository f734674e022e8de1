#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/http/response_scan.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

struct scan_row : testing::named_row {
    std::string received;
    std::optional<head_defect> defect;
    bool complete;
    int status;
};

const scan_row status_line_rows[] = {
    {"nothing", "", std::nullopt, false, 0},
    {"the beginning", "HTTP/1", std::nullopt, false, 0},
    {"up to the status", "HTTP/1.1 200", std::nullopt, false, 0},
    {"without its end", "HTTP/1.1 200 OK", std::nullopt, false, 200},
    {"a complete head", "HTTP/1.1 200 OK\r\n\r\n", std::nullopt, true, 200},
    {"no reason", "HTTP/1.1 404 \r\n\r\n", std::nullopt, true, 404},
    {"no blank before the reason", "HTTP/1.1 404\r\n\r\n", std::nullopt, true, 404},
    {"HTTP/1.0", "HTTP/1.0 500 Failed\r\n\r\n", std::nullopt, true, 500},
    {"line feeds alone", "HTTP/1.1 200 OK\n\n", std::nullopt, true, 200},
    {"least status", "HTTP/1.1 100 Continue\r\n\r\n", std::nullopt, true, 100},
    {"highest status", "HTTP/1.1 599 Failed\r\n\r\n", std::nullopt, true, 599},
    {"status 000", "HTTP/1.1 000 None\r\n\r\n", head_defect::status_code, false, 0},
    {"status 099", "HTTP/1.1 099 None\r\n\r\n", head_defect::status_code, false, 99},
    {"status 600", "HTTP/1.1 600 None\r\n\r\n", head_defect::status_code, false, 600},
    {"status 999", "HTTP/1.1 999 None\r\n\r\n", head_defect::status_code, false, 999},
    {"status 000 without the end of its line", "HTTP/1.1 000 ", head_defect::status_code, false, 0},
    {"two digits", "HTTP/1.1 20 OK\r\n\r\n", head_defect::status_line, false, 0},
    {"four digits", "HTTP/1.1 2000 OK\r\n\r\n", head_defect::status_line, false, 0},
    {"letters in the status", "HTTP/1.1 2OO OK\r\n\r\n", head_defect::status_line, false, 0},
    {"a sign in the status", "HTTP/1.1 -20 OK\r\n\r\n", head_defect::status_line, false, 0},
    {"another major version", "HTTP/2.0 200 OK\r\n\r\n", head_defect::status_line, false, 0},
    {"an empty line", "\r\n", head_defect::status_line, false, 0},
    {"bytes that are no response", "garbage", head_defect::status_line, false, 0},
    {"a request", "GET / HTTP/1.1\r\n\r\n", head_defect::status_line, false, 0},
};

void check_scan(const scan_row& row)
{
    const head_scan scanned = scan_response_head(row.received);
    BOOST_TEST(scanned.defect.has_value() == row.defect.has_value());
    if (scanned.defect && row.defect) {
        BOOST_TEST(name_of(head_defect_names, *scanned.defect) == name_of(head_defect_names, *row.defect));
    }
    BOOST_TEST(scanned.size == (row.complete ? row.received.size() : 0));
    BOOST_TEST(scanned.status == row.status);
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_heads)

BOOST_DATA_TEST_CASE(a_status_line_has_a_version_and_a_status_of_the_protocol,
                     boost::unit_test::data::make(status_line_rows), row)
{
    check_scan(row);
}

BOOST_AUTO_TEST_CASE(a_head_ends_before_its_body)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    BOOST_TEST(scan_response_head(head + "body\r\n\r\n").size == head.size());
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
        const head_scan scanned = scan_response_head(std::string_view(head).substr(0, bytes));
        BOOST_TEST(scanned.size == 0U);
        BOOST_TEST(!scanned.defect.has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
