#include <functional>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::net {
namespace {

/// What the remote does with a connection after it was returned to the pool.
struct idle_row : testing::named_row {
    std::function<void(tcp::socket&)> action;
    bool kept;
};

const idle_row idle_rows[] = {
    {"nothing", [](tcp::socket&) {}, true},
    {"sends bytes", [](tcp::socket& remote) { remote.send(asio::buffer("x", 1)); }, false},
    {"closes its side", [](tcp::socket& remote) { remote.shutdown(tcp::socket::shutdown_send); }, false},
};

/// Ends a test whose loopback connection cannot be opened.
constexpr milliseconds connect_limit{2000};
/// For bytes to arrive over the loopback interface.
constexpr milliseconds arrival_time{50};

struct pool_with_remote {
    pool_with_remote() : acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

    task<void> connect_and_release()
    {
        auto opened =
            co_await this->pool.connect(this->acceptor.local_endpoint(), steady_clock::now() + connect_limit);
        BOOST_REQUIRE(opened);
        this->pool.release(this->acceptor.local_endpoint(), std::move(opened.value()));
    }

    event_loop loop;
    tcp::acceptor acceptor;
    client_pool pool{this->loop, {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(pool_of_connections)

BOOST_DATA_TEST_CASE(a_sweep_closes_idle_connections_that_cannot_be_reused,
                     boost::unit_test::data::make(idle_rows), row)
{
    pool_with_remote s;
    spawn(s.loop, s.connect_and_release(), "connect");
    tcp::socket remote(s.loop);
    s.acceptor.async_accept(remote, [](const error_code& ec) { BOOST_REQUIRE(!ec); });
    s.loop.run();
    BOOST_REQUIRE(s.pool.idle_connections() == 1U);
    row.action(remote);
    std::this_thread::sleep_for(arrival_time);
    s.pool.sweep();
    BOOST_TEST(s.pool.idle_connections() == (row.kept ? 1U : 0U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
