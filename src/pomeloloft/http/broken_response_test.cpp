#include <array>
#include <istream>
#include <optional>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/http/connection_pool.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

struct head_row : testing::named_row {
    std::string head;
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string length_line = "Content-Length: 4\r\n";
const std::string sent_body = "body";

const head_row status_rows[] = {
    {"status 000", "HTTP/1.1 000 None\r\n" + length_line},
    {"status 000 without a length", "HTTP/1.1 000 None\r\n"},
    {"status 099", "HTTP/1.1 099 None\r\n" + length_line},
    {"status 600", "HTTP/1.1 600 None\r\n" + length_line},
    {"status 999", "HTTP/1.1 999 None\r\n" + length_line},
    {"two digits", "HTTP/1.1 20 OK\r\n" + length_line},
    {"four digits", "HTTP/1.1 2000 OK\r\n" + length_line},
    {"no digits", "HTTP/1.1 2OO OK\r\n" + length_line},
    {"another major version", "HTTP/2.0 200 OK\r\n" + length_line},
    {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + length_line},
};

const head_row field_rows[] = {
    {"blank within a name", ok_line + "X Name: value\r\n" + length_line},
    {"blank at the end of a name", ok_line + "X-Name : value\r\n" + length_line},
    {"blank at the start of a name", ok_line + "X-First: 1\r\n X-Name: value\r\n" + length_line},
    {"tab at the start of a name", ok_line + "X-First: 1\r\n\tX-Name: value\r\n" + length_line},
    {"blank at the start of the first name", ok_line + " X-Name: value\r\n" + length_line},
    {"blank before the length", ok_line + "X-First: 1\r\n Content-Length: 4\r\n"},
    {"blank after the length", ok_line + "Content-Length : 4\r\n"},
    {"control byte in a name", ok_line + "X-\x01Name: value\r\n" + length_line},
    {"DEL in a name", ok_line + "X-Name\x7f: value\r\n" + length_line},
    {"NUL in a name", ok_line + std::string("X\0Name: value\r\n", 15) + length_line},
    {"carriage return in a name", ok_line + "X\rName: value\r\n" + length_line},
    {"empty name", ok_line + ": value\r\n" + length_line},
    {"no colon", ok_line + "X-Name value\r\n" + length_line},
    {"control byte in a value", ok_line + "X-Name: va\x01lue\r\n" + length_line},
    {"NUL in a value", ok_line + std::string("X-Name: va\0lue\r\n", 16) + length_line},
    {"carriage return in a value", ok_line + "X-Name: va\rlue\r\n" + length_line},
    {"after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\n" + ok_line + "X Name: value\r\n" + length_line},
};

const head_row framing_rows[] = {
    {"two transfer codings", ok_line + "Transfer-Encoding: gzip, chunked\r\n"},
    {"another transfer coding", ok_line + "Transfer-Encoding: gzip\r\n"},
    {"two fields with a transfer coding",
     ok_line + "Transfer-Encoding: chunked\r\ntransfer-encoding: gzip\r\n"},
    {"no transfer coding", ok_line + "Transfer-Encoding:\r\n"},
    {"a length before a transfer coding", ok_line + length_line + "Transfer-Encoding: chunked\r\n"},
    {"a length behind a transfer coding", ok_line + "Transfer-Encoding: chunked\r\n" + length_line},
    {"two lengths", ok_line + length_line + "content-length: 5\r\n"},
    {"two lengths in one field", ok_line + "Content-Length: 4, 5\r\n"},
    {"a sign before the length", ok_line + "Content-Length: +4\r\n"},
    {"a negative length", ok_line + "Content-Length: -4\r\n"},
    {"an empty length", ok_line + "Content-Length: \r\n"},
    {"letters in the length", ok_line + "Content-Length: 4x\r\n"},
    {"a length beyond 64 bits", ok_line + "Content-Length: 18446744073709551620\r\n"},
};

/// Interim responses before the final one.
const head_row interim_rows[] = {
    {"none", ""},
    {"100 Continue", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"103 Early Hints", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
    {"several", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                "HTTP/1.1 103 Early Hints\r\n\r\n"},
};

constexpr milliseconds response_timeout{3000};
/// A response that is known to be broken is reported well before its deadline.
constexpr milliseconds max_response_time{1000};

/// A remote that reads one request, sends given bytes and keeps the connection open.
class raw_remote {
public:
    explicit raw_remote(std::string sent_bytes)
        : bytes(std::move(sent_bytes)), listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread([this] { this->respond(); })
    {}
    raw_remote(const raw_remote&) = delete;
    raw_remote& operator=(const raw_remote&) = delete;
    ~raw_remote() { this->thread.join(); }

    [[nodiscard]] std::string address() const { return this->listener.address().toString(); }

private:
    void respond()
    {
        try {
            Poco::Net::StreamSocket stream = this->listener.acceptConnection();
            std::array<char, 1024> received{};
            stream.receiveBytes(received.data(), static_cast<int>(received.size()));
            stream.sendBytes(this->bytes.data(), static_cast<int>(this->bytes.size()));
            // Until the client closes the connection.
            stream.receiveBytes(received.data(), static_cast<int>(received.size()));
        } catch (const Poco::Exception&) {
            // The client has reset the connection.
        }
    }

    std::string bytes;
    Poco::Net::ServerSocket listener;
    std::thread thread;
};

/// A response as received.
struct received_response {
    int status = 0;
    std::string body;
};

/// @return nothing if the head is refused.
std::optional<received_response> call(const raw_remote& remote)
{
    received_response out;
    client_connection connection(remote.address());
    const time_point deadline = steady_clock::now() + response_timeout;
    BOOST_REQUIRE(connection.open(deadline));
    connection.set_io_timeout(response_timeout);
    try {
        Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
        connection.sendRequest(sent);
        Poco::Net::HTTPResponse response;
        std::istream& body = connection.receive_head(response, deadline);
        out.body.resize(sent_body.size());
        body.read(out.body.data(), static_cast<std::streamsize>(out.body.size()));
        out.body.resize(static_cast<std::size_t>(body.gcount()));
        out.status = response.getStatus();
        return out;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

void check_that_head_is_refused(const std::string& head)
{
    const raw_remote remote(head + "\r\n" + sent_body);
    const time_point started = steady_clock::now();
    BOOST_TEST(!call(remote));
    BOOST_TEST((steady_clock::now() - started < max_response_time));
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_responses_of_blocking_connections)

BOOST_DATA_TEST_CASE(a_head_with_an_invalid_status_is_no_response, boost::unit_test::data::make(status_rows),
                     row)
{
    check_that_head_is_refused(row.head);
}

BOOST_DATA_TEST_CASE(a_head_with_an_invalid_field_line_is_no_response,
                     boost::unit_test::data::make(field_rows), row)
{
    check_that_head_is_refused(row.head);
}

BOOST_DATA_TEST_CASE(a_head_that_does_not_tell_the_end_of_its_body_is_no_response,
                     boost::unit_test::data::make(framing_rows), row)
{
    check_that_head_is_refused(row.head);
}

BOOST_DATA_TEST_CASE(the_final_response_follows_interim_ones, boost::unit_test::data::make(interim_rows), row)
{
    const raw_remote remote(row.head + ok_line + length_line + "\r\n" + sent_body);
    const auto received = call(remote);
    BOOST_REQUIRE(received);
    BOOST_TEST(received->status == 200);
    BOOST_TEST(received->body == sent_body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
