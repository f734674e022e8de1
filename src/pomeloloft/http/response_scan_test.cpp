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

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

const scan_row field_line_rows[] = {
    {"a field", ok_line + "X-Name: value\r\n\r\n", std::nullopt, true, 200},
    {"no blank before the value", ok_line + "X-Name:value\r\n\r\n", std::nullopt, true, 200},
    {"an empty value", ok_line + "X-Name:\r\n\r\n", std::nullopt, true, 200},
    {"each mark of a token", ok_line + "!#$%&'*+-.^_`|~09azAZ: value\r\n\r\n", std::nullopt, true, 200},
    {"a colon in a value", ok_line + "X-Name: a:b\r\n\r\n", std::nullopt, true, 200},
    {"a tab and bytes beyond ASCII in a value", ok_line + "X-Name: a\tb\xc3\xa9\r\n\r\n", std::nullopt, true,
     200},
    {"line feeds alone", "HTTP/1.1 200 OK\nX-Name: value\n\n", std::nullopt, true, 200},
    {"an incomplete line", ok_line + "X Na", std::nullopt, false, 200},
    {"blank within a name", ok_line + "X Name: value\r\n", head_defect::field_name, false, 200},
    {"blank at the end of a name", ok_line + "X-Name : value\r\n", head_defect::field_name, false, 200},
    {"tab at the end of a name", ok_line + "X-Name\t: value\r\n", head_defect::field_name, false, 200},
    {"control byte in a name", ok_line + "X-\x1fName: value\r\n", head_defect::field_name, false, 200},
    {"DEL in a name", ok_line + "X-Name\x7f: value\r\n", head_defect::field_name, false, 200},
    {"NUL in a name", ok_line + std::string("X\0N: value\r\n", 12), head_defect::field_name, false, 200},
    {"byte beyond ASCII in a name", ok_line + "X-N\xe9: value\r\n", head_defect::field_name, false, 200},
    {"separator in a name", ok_line + "X(Name): value\r\n", head_defect::field_name, false, 200},
    {"empty name", ok_line + ": value\r\n", head_defect::field_name, false, 200},
    {"no colon", ok_line + "X-Name\r\n", head_defect::field_name, false, 200},
    {"blank at the start of a line", ok_line + "X-Name: a\r\n b: c\r\n", head_defect::folded_line, false,
     200},
    {"tab at the start of a line", ok_line + "X-Name: a\r\n\tb\r\n", head_defect::folded_line, false, 200},
    {"blank at the start of the first line", ok_line + " X-Name: a\r\n", head_defect::folded_line, false,
     200},
    {"a line of blanks", ok_line + "X-Name: a\r\n  \r\n", head_defect::folded_line, false, 200},
    {"control byte in a value", ok_line + "X-Name: a\x01\r\n", head_defect::control_byte, false, 200},
    {"DEL in a value", ok_line + "X-Name: a\x7f\r\n", head_defect::control_byte, false, 200},
    {"NUL in a value", ok_line + std::string("X: a\0b\r\n", 8), head_defect::control_byte, false, 200},
    {"carriage return in a value", ok_line + "X-Name: a\rb\r\n", head_defect::control_byte, false, 200},
    {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", head_defect::control_byte, false, 200},
};

const std::string length_line = "Content-Length: 4\r\n";
const std::string chunked_line = "Transfer-Encoding: chunked\r\n";

const scan_row framing_rows[] = {
    {"a length", ok_line + length_line + "\r\n", std::nullopt, true, 200},
    {"a length with blanks around it", ok_line + "content-LENGTH: \t4 \r\n\r\n", std::nullopt, true, 200},
    {"chunks", ok_line + chunked_line + "\r\n", std::nullopt, true, 200},
    {"chunks in capitals", ok_line + "Transfer-encoding:CHUNKED\r\n\r\n", std::nullopt, true, 200},
    {"fields that begin alike", ok_line + "Content-Length-X: a\r\nX-Transfer-Encoding: b\r\n\r\n",
     std::nullopt, true, 200},
    {"two lengths", ok_line + length_line + length_line, head_defect::content_length, false, 200},
    {"two lengths in one field", ok_line + "Content-Length: 4, 4\r\n", head_defect::content_length, false,
     200},
    {"a sign", ok_line + "Content-Length: +4\r\n", head_defect::content_length, false, 200},
    {"no digits", ok_line + "Content-Length: \r\n", head_defect::content_length, false, 200},
    {"letters", ok_line + "Content-Length: 4x\r\n", head_defect::content_length, false, 200},
    {"a length and chunks", ok_line + length_line + chunked_line, head_defect::content_length, false, 200},
    {"chunks and a length", ok_line + chunked_line + length_line, head_defect::content_length, false, 200},
    {"chunks twice", ok_line + chunked_line + chunked_line, head_defect::transfer_encoding, false, 200},
    {"two codings", ok_line + "Transfer-Encoding: gzip, chunked\r\n", head_defect::transfer_encoding, false,
     200},
    {"another coding", ok_line + "Transfer-Encoding: gzip\r\n", head_defect::transfer_encoding, false, 200},
    {"no coding", ok_line + "Transfer-Encoding:\r\n", head_defect::transfer_encoding, false, 200},
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

BOOST_DATA_TEST_CASE(a_field_line_has_a_token_as_its_name_and_no_control_bytes,
                     boost::unit_test::data::make(field_line_rows), row)
{
    check_scan(row);
}

BOOST_DATA_TEST_CASE(the_end_of_a_body_is_unambiguous, boost::unit_test::data::make(framing_rows), row)
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
