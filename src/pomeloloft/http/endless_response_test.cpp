#include <algorithm>
#include <array>
#include <istream>
#include <sstream>
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

/// Bytes that a remote sends after reading a request, and then again and again until the connection closes.
struct endless_row : testing::named_row {
    std::string first;
    std::string repeated;
    /// Whether the head is received; its body then ends with an error at the deadline.
    bool head_completes;
};

const endless_row endless_rows[] = {
    {"bytes that are no response", "", "garbage ", false},
    {"header value", "HTTP/1.1 200 OK\r\nX-Long: ", "value", false},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-More: value\r\n", false},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
    {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;name=", "value", true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", true},
    {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "body", true},
};

constexpr milliseconds response_timeout{400};
/// Reads between the deadline and its check.
constexpr milliseconds deadline_slack{600};

/// A remote that responds without end to one request.
class endless_remote {
public:
    explicit endless_remote(const endless_row& bytes)
        : row(bytes), listener(Poco::Net::SocketAddress("127.0.0.1", 0)), thread([this] { this->respond(); })
    {}

    ~endless_remote() { this->thread.join(); }
    endless_remote(const endless_remote&) = delete;
    endless_remote& operator=(const endless_remote&) = delete;

    [[nodiscard]] std::string address() const { return this->listener.address().toString(); }

private:
    void respond()
    {
        try {
            Poco::Net::StreamSocket stream = this->listener.acceptConnection();
            std::array<char, 1024> received{};
            stream.receiveBytes(received.data(), static_cast<int>(received.size()));
            stream.sendBytes(this->row.first.data(), static_cast<int>(this->row.first.size()));
            std::string block;
            constexpr std::size_t block_bytes = 16U << 10U;
            while (block.size() < block_bytes) {
                block += this->row.repeated;
            }
            for (;;) {
                stream.sendBytes(block.data(), static_cast<int>(block.size()));
            }
        } catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    const endless_row& row;
    Poco::Net::ServerSocket listener;
    std::thread thread;
};

/// Reads a body to its end or first error.
/// @return whether it ended without an error.
bool read_body(client_connection& connection, std::istream& body)
{
    std::array<char, 16U << 10U> buffer{};
    while (body.read(buffer.data(), buffer.size())) {
    }
    return body.eof() && connection.networkException() == nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_responses_of_blocking_connections)

BOOST_DATA_TEST_CASE(an_endless_response_ends_by_the_deadline, boost::unit_test::data::make(endless_rows),
                     row)
{
    endless_remote remote(row);
    client_connection connection(remote.address());
    const time_point started = steady_clock::now();
    const time_point deadline = started + response_timeout;
    BOOST_REQUIRE(connection.open(deadline));
    Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
    connection.sendRequest(sent);
    Poco::Net::HTTPResponse response;
    bool head_received = false;
    bool body_complete = false;
    try {
        std::istream& body = connection.receive_head(response, deadline);
        head_received = true;
        body_complete = read_body(connection, body);
    } catch (const Poco::Exception&) {
        // Rows whose head does not end.
    }
    BOOST_TEST(head_received == row.head_completes);
    BOOST_TEST(!body_complete);
    BOOST_TEST((steady_clock::now() - started < response_timeout + deadline_slack));
}

// Guards against answers of other processes that are read into memory as long as bytes arrive.
BOOST_AUTO_TEST_CASE(a_short_body_is_read_up_to_its_limit)
{
    constexpr std::size_t max_bytes = 1000;
    std::istringstream longest(std::string(max_bytes, 'b'));
    BOOST_TEST(read_short_body(longest, max_bytes).value_or("") == std::string(max_bytes, 'b'));
    std::istringstream too_long(std::string(max_bytes + 1, 'b'));
    BOOST_TEST(!read_short_body(too_long, max_bytes));
    std::istringstream empty;
    BOOST_TEST(read_short_body(empty, max_bytes).value_or("none").empty());

    const endless_row row{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "body", true};
    endless_remote remote(row);
    client_connection connection(remote.address());
    const time_point deadline = steady_clock::now() + response_timeout;
    BOOST_REQUIRE(connection.open(deadline));
    Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
    connection.sendRequest(sent);
    Poco::Net::HTTPResponse response;
    BOOST_TEST(!read_short_body(connection.receive_head(response, deadline), max_bytes));
    // Well before the deadline, which ends a read without a limit.
    BOOST_TEST((steady_clock::now() < deadline - response_timeout / 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
