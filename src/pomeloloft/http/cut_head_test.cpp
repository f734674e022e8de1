#include <array>
#include <istream>
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

const head_row head_rows[] = {
    {"a length", "HTTP/1.1 200 OK\r\nX-First: 1\r\nContent-Length: 10\r\n\r\n"},
    {"a length of zero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
    {"no length", "HTTP/1.1 200 OK\r\nX-First: 1\r\n\r\n"},
    {"no body", "HTTP/1.1 204 None\r\nX-First: 1\r\n\r\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
    {"an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
};

constexpr milliseconds response_timeout{2000};

/// Accepts one connection, reads a request, sends the bytes and closes.
void respond_once(Poco::Net::ServerSocket& listener, const std::string& bytes)
{
    try {
        Poco::Net::StreamSocket stream = listener.acceptConnection();
        std::array<char, 1024> received{};
        stream.receiveBytes(received.data(), static_cast<int>(received.size()));
        if (!bytes.empty()) {
            stream.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
    } catch (const Poco::Exception&) {
        // The client has closed the connection.
    }
}

/// Whether the first `bytes` bytes of a head, followed by the end of the connection, pass as a head.
bool passes_as_head(const std::string& bytes)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread remote([&] { respond_once(listener, bytes); });
    client_connection connection(listener.address().toString());
    bool passed = false;
    try {
        const time_point deadline = steady_clock::now() + response_timeout;
        BOOST_REQUIRE(connection.open(deadline));
        Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
        connection.sendRequest(sent);
        Poco::Net::HTTPResponse response;
        connection.receive_head(response, deadline);
        passed = true;
    } catch (const Poco::Exception&) {
        passed = false;
    }
    remote.join();
    return passed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(heads_of_blocking_connections)

BOOST_DATA_TEST_CASE(a_head_that_ends_early_is_no_response, boost::unit_test::data::make(head_rows), row)
{
    for (std::size_t bytes = 0; bytes < row.head.size(); ++bytes) {
        BOOST_TEST(!passes_as_head(row.head.substr(0, bytes)), "after " << bytes << " bytes");
    }
    BOOST_TEST(passes_as_head(row.head));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
