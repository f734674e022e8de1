#include "pomeloloft/proxy/target_probe.hpp"

#include <Poco/Exception.h>

namespace pomeloloft {
namespace {

constexpr milliseconds connect_timeout{200};
/// Time in which an ending process has closed its listener and with it the connections that it accepted.
constexpr milliseconds settle_time{60};
/// A running target at its limit of connections closes further ones as well.
constexpr int max_connections = 3;

/// Whether the remote leaves a new connection open for `settle_time`. Nothing is sent on it, so it becomes
/// readable only if it ends.
bool stays_open(client_connection& connection)
{
    try {
        const Poco::Timespan settle(settle_time.count() * Poco::Timespan::MILLISECONDS);
        return !connection.socket().poll(settle, Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace

bool is_target_running(const connection_pool& connections, const std::string& address)
{
    for (int i = 0; i < max_connections; ++i) {
        const auto connected = connections.connect(address, steady_clock::now() + connect_timeout);
        if (!connected) {
            return false;
        }
        if (stays_open(*connected.value().connection)) {
            return true;
        }
    }
    return true;
}

} // namespace pomeloloft
