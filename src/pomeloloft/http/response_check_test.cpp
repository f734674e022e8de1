#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/http/response_check.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

struct body_row : testing::named_row {
    std::string body;
    bool valid;
};

const body_row chunk_rows[] = {
    {"nothing", "", true},
    {"no content", "0\r\n\r\n", true},
    {"one chunk", "4\r\nbody\r\n0\r\n\r\n", true},
    {"two chunks", "4\r\nbody\r\n6\r\n again\r\n0\r\n\r\n", true},
    {"sizes in both cases", "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n", true},
    {"leading zeros", "004\r\nbody\r\n000\r\n\r\n", true},
    {"an extension", "4;name=value\r\nbody\r\n0\r\n\r\n", true},
    {"trailers", "4\r\nbody\r\n0\r\nX-Trailer: value\r\n\r\n", true},
    {"the next response", "4\r\nbody\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
    {"incomplete", "4\r\nbo", true},
    {"no size", "\r\nbody\r\n0\r\n\r\n", false},
    {"letters as a size", "zz\r\nbody\r\n0\r\n\r\n", false},
    {"a negative size", "-4\r\nbody\r\n0\r\n\r\n", false},
    {"a prefix", "0x4\r\nbody\r\n0\r\n\r\n", false},
    {"letters behind a size", "4body\r\nbody\r\n0\r\n\r\n", false},
    {"a blank before a size", " 4\r\nbody\r\n0\r\n\r\n", false},
    {"no end of a chunk", "4\r\nbodyXX0\r\n\r\n", false},
    {"a chunk shorter than its size", "6\r\nbody\r\n0\r\n\r\n", false},
    {"an invalid second chunk", "4\r\nbody\r\nzz\r\nmore\r\n0\r\n\r\n", false},
    {"a size beyond 64 bits", "10000000000000004\r\nbody\r\n0\r\n\r\n", false},
    {"an invalid trailer", "4\r\nbody\r\n0\r\nX Trailer: value\r\n\r\n", false},
};

/// Whether a response passes that is received in pieces of `piece_bytes`.
bool passes(const std::string& received, std::size_t piece_bytes)
{
    response_check check;
    check.begin();
    for (std::size_t at = 0; at < received.size(); at += piece_bytes) {
        if (!check.add(std::string_view(received).substr(at, piece_bytes))) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(response_checks)

BOOST_DATA_TEST_CASE(a_body_in_chunks_follows_the_protocol, boost::unit_test::data::make(chunk_rows), row)
{
    const std::string received =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + row.body;
    for (std::size_t piece_bytes = 1; piece_bytes <= received.size(); ++piece_bytes) {
        BOOST_TEST(passes(received, piece_bytes) == row.valid, "in pieces of " << piece_bytes);
    }
}

BOOST_AUTO_TEST_CASE(a_body_with_a_length_is_not_checked)
{
    BOOST_TEST(passes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\x01\x02\x03\x04", 1));
}

BOOST_AUTO_TEST_CASE(a_chunk_header_without_end_is_a_violation)
{
    constexpr std::size_t header_bytes = 1U << 20U;
    BOOST_TEST(!passes(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;" + std::string(header_bytes, 'x'), 4096));
}

BOOST_AUTO_TEST_CASE(each_response_of_a_connection_is_checked)
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    response_check check;
    check.begin();
    BOOST_TEST(check.add(response).has_value());
    check.begin();
    BOOST_TEST(check.add(response).has_value());
    check.begin();
    BOOST_TEST(!check.add("HTTP/1.1 000 None\r\n\r\n").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
