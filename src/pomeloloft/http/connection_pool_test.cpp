#include "pomeloloft/http/connection_pool.hpp"

#include <functional>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

/// What the remote does with a connection after it was returned to the pool.
struct idle_row : testing::named_row {
    std::function<void(Poco::Net::StreamSocket&)> action;
    bool kept;
};

const idle_row idle_rows[] = {
    {"nothing", [](Poco::Net::StreamSocket&) {}, true},
    {"sends bytes", [](Poco::Net::StreamSocket& remote) { remote.sendBytes("x", 1); }, false},
    {"closes its side", [](Poco::Net::StreamSocket& remote) { remote.shutdownSend(); }, false},
};

/// Ends a test whose loopback connection cannot be opened.
constexpr milliseconds connect_limit{2000};
/// For bytes to arrive over the loopback interface.
constexpr milliseconds arrival_time{50};

} // namespace

BOOST_AUTO_TEST_SUITE(pool_of_blocking_connections)

BOOST_DATA_TEST_CASE(a_sweep_closes_idle_connections_that_cannot_be_reused,
                     boost::unit_test::data::make(idle_rows), row)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string address = listener.address().toString();
    connection_pool pool;
    auto acquired = pool.acquire(address, steady_clock::now() + connect_limit);
    BOOST_REQUIRE(acquired);
    Poco::Net::StreamSocket remote = listener.acceptConnection();
    pool.release(address, std::move(acquired.value().connection));
    BOOST_REQUIRE(pool.idle() == 1U);
    row.action(remote);
    std::this_thread::sleep_for(arrival_time);
    pool.sweep();
    BOOST_TEST(pool.idle() == (row.kept ? 1U : 0U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
