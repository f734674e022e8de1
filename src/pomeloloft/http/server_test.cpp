#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/http/server.hpp"

namespace pomeloloft {
namespace {

/// Bounds a client's wait: a connection that is not accepted before the server stops gets no response.
constexpr Poco::Timespan::TimeDiff client_timeout_us = 300'000;

/// Sends requests, each on a new connection, until `stopped` is set or a request fails.
void send_requests(std::uint16_t port, const std::atomic<bool>& stopped)
{
    while (!stopped) {
        try {
            Poco::Net::HTTPClientSession session("127.0.0.1", port);
            session.setTimeout(Poco::Timespan(client_timeout_us));
            Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
            session.sendRequest(sent);
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
        } catch (const Poco::Exception&) {
            return;
        }
    }
}

/// Measures how long a server takes to stop while clients open and close connections.
milliseconds measure_stop_time(int clients)
{
    auto started = http_server::start({.address = "127.0.0.1:0", .setting = "test"},
                                      [](http_request&, http_response& r) { send_text(r, 200, "", "x"); });
    BOOST_REQUIRE(started);
    std::atomic<bool> stopped{false};
    std::vector<std::thread> senders;
    for (int i = 0; i < clients; ++i) {
        senders.emplace_back([&] { send_requests(started.value()->port(), stopped); });
    }
    std::this_thread::sleep_for(milliseconds{20});
    const time_point started_at = steady_clock::now();
    started.value()->stop(started_at + milliseconds{1000});
    const auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_at);
    stopped = true;
    for (std::thread& t : senders) {
        t.join();
    }
    return elapsed;
}

constexpr std::array<int, 3> client_counts{1, 3, 8};

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_stop)

BOOST_DATA_TEST_CASE(server_stops_within_deadline_under_connection_churn,
                     boost::unit_test::data::make(client_counts), clients)
{
    constexpr int servers = 48;
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        std::vector<milliseconds> stop_times(servers);
        std::vector<std::thread> stopping;
        for (milliseconds& stop_time : stop_times) {
            stopping.emplace_back([&stop_time, clients] { stop_time = measure_stop_time(clients); });
        }
        for (std::thread& t : stopping) {
            t.join();
        }
        // The deadline for requests in progress is 1000 ms; a busy machine may take as long again.
        BOOST_TEST(std::max_element(stop_times.begin(), stop_times.end())->count() < 2000);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
