#include "pomeloloft/proxy/target_probe.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

/// What the listener of a target does while it is probed.
enum class listener_state : std::uint8_t {
    /// Accepts connections into its backlog and keeps them.
    open,
    closed,
    /// Closes shortly after the probe has connected, as in a process that is ending.
    closing,
    /// Accepts connections and closes them at once, as at the limit of connections.
    full,
};

struct probe_row : testing::named_row {
    listener_state state;
    bool running;
};

const probe_row probe_rows[] = {
    {"an open listener", listener_state::open, true},
    {"a closed listener", listener_state::closed, false},
    {"a listener that closes after it has accepted", listener_state::closing, false},
    {"a listener that closes each connection", listener_state::full, true},
};

constexpr milliseconds closing_delay{15};
constexpr int connections_closed_when_full = 3;
const Poco::Timespan accept_timeout(0, 500'000);

void act(Poco::Net::ServerSocket& listener, listener_state state)
{
    try {
        if (state == listener_state::closing) {
            std::this_thread::sleep_for(closing_delay);
            listener.close();
        }
        for (int i = 0; state == listener_state::full && i < connections_closed_when_full; ++i) {
            if (listener.poll(accept_timeout, Poco::Net::Socket::SELECT_READ)) {
                Poco::Net::StreamSocket accepted = listener.acceptConnection();
                accepted.close();
            }
        }
    } catch (const Poco::Exception& e) {
        BOOST_ERROR(e.displayText());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_probe)

BOOST_DATA_TEST_CASE(an_ending_process_is_told_from_a_running_one, boost::unit_test::data::make(probe_rows),
                     row)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string address = listener.address().toString();
    if (row.state == listener_state::closed) {
        listener.close();
    }
    std::thread acting([&] { act(listener, row.state); });
    const connection_pool connections;
    BOOST_TEST(is_target_running(connections, address) == row.running);
    acting.join();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
