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

/// A connection that was not accepted before the server stopped gets no answer.
constexpr Poco::Timespan::TimeDiff client_timeout_us = 300'000;

/// Sends requests, each on a connection of its own, until told to end or no longer served.
void send_requests(std::uint16_t port, const std::atomic<bool>& ended)
{
    while (!ended) {
        try {
            Poco::Net::HTTPClientSession session("127.0.0.1", port);
            session.setTimeout(Poco::Timespan(client_timeout_us));
            Poco::Net::HTTPRequest sent(Poco::Net::HTTPRequest::HTTP_GET, "/", "HTTP/1.1");
            session.sendRequest(sent);
            Poco::Net::HTTPResponse answer;
            session.receiveResponse(answer);
        } catch (const Poco::Exception&) {
            return;
        }
    }
}

/// Time that a server takes to stop while connections come and go.
milliseconds time_to_stop(int clients)
{
    auto started = http_server::start({.address = "127.0.0.1:0", .setting = "test"},
                                      [](http_request&, http_response& r) { send_text(r, 200, "", "x"); });
    BOOST_REQUIRE(started);
    std::atomic<bool> ended{false};
    std::vector<std::thread> senders;
    for (int i = 0; i < clients; ++i) {
        senders.emplace_back([&] { send_requests(started.value()->port(), ended); });
    }
    std::this_thread::sleep_for(milliseconds{20});
    const time_point begun = steady_clock::now();
    started.value()->stop(begun + milliseconds{1000});
    const auto taken = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
    ended = true;
    for (std::thread& t : senders) {
        t.join();
    }
    return taken;
}

constexpr std::array<int, 3> clients_of_a_server{1, 3, 8};

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_stop)

BOOST_DATA_TEST_CASE(a_server_stops_soon_while_connections_end,
                     boost::unit_test::data::make(clients_of_a_server), clients)
{
    constexpr int servers = 48;
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        std::vector<milliseconds> taken(servers);
        std::vector<std::thread> stopping;
        for (milliseconds& one : taken) {
            stopping.emplace_back([&one, clients] { one = time_to_stop(clients); });
        }
        for (std::thread& t : stopping) {
            t.join();
        }
        // The deadline for requests in progress, and as much again for a busy machine.
        BOOST_TEST(std::max_element(taken.begin(), taken.end())->count() < 2000);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
