#define BOOST_TEST_MODULE fault_proxy
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <iterator>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "fault_proxy.hpp"
#include "fleet.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;

namespace {

std::size_t open_descriptors()
{
    namespace fs = std::filesystem;
    return static_cast<std::size_t>(
        std::distance(fs::directory_iterator("/proc/self/fd"), fs::directory_iterator()));
}

} // namespace

BOOST_AUTO_TEST_CASE(ended_connections_release_their_descriptors)
{
    constexpr int connections = 200;
    constexpr std::size_t tolerance = 4;
    constexpr milliseconds release_limit{5000};
    Poco::Net::ServerSocket server;
    server.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    server.listen();
    stand_ins::fault_proxy proxy("127.0.0.1:" + std::to_string(server.address().port()));
    const std::size_t before = open_descriptors();
    for (int i = 0; i < connections; ++i) {
        Poco::Net::StreamSocket client{Poco::Net::SocketAddress(proxy.address())};
        Poco::Net::StreamSocket accepted = server.acceptConnection();
        client.sendBytes("x", 1);
        char byte = 0;
        BOOST_REQUIRE(accepted.receiveBytes(&byte, 1) == 1);
    }
    BOOST_TEST(proxy.connections() == static_cast<std::uint64_t>(connections));
    BOOST_TEST(wait_until(release_limit, [&] { return open_descriptors() <= before + tolerance; }));
    BOOST_TEST_MESSAGE("descriptors " << before << " -> " << open_descriptors());
}

BOOST_AUTO_TEST_CASE(an_open_connection_stays_open_while_others_end)
{
    Poco::Net::ServerSocket server;
    server.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    server.listen();
    stand_ins::fault_proxy proxy("127.0.0.1:" + std::to_string(server.address().port()));
    Poco::Net::StreamSocket kept{Poco::Net::SocketAddress(proxy.address())};
    Poco::Net::StreamSocket kept_remote = server.acceptConnection();
    for (int i = 0; i < 20; ++i) {
        Poco::Net::StreamSocket client{Poco::Net::SocketAddress(proxy.address())};
        Poco::Net::StreamSocket accepted = server.acceptConnection();
    }
    std::this_thread::sleep_for(milliseconds{200});
    kept.sendBytes("y", 1);
    kept_remote.setReceiveTimeout(Poco::Timespan(2, 0));
    char byte = 0;
    BOOST_TEST(kept_remote.receiveBytes(&byte, 1) == 1);
    BOOST_TEST(byte == 'y');
}
