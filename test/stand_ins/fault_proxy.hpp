#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::stand_ins {

/// Network fault that a `fault_proxy` injects.
enum class link_fault : std::uint8_t {
    none,
    /// Closes open connections and closes new ones as soon as they are accepted.
    cut,
    /// Stalls the connections that exist when the fault is set; later connections work.
    silent_old,
    /// Stalls existing and new connections in both directions; they stay open.
    silent,
    /// Stalls data from the client to the remote address.
    silent_upstream,
    /// Stalls data from the remote address to the client.
    silent_downstream,
};

/// Names of `link_fault` in test output.
inline constexpr name_table<link_fault, 6> link_fault_names{{
    {link_fault::none, "none"},
    {link_fault::cut, "cut"},
    {link_fault::silent_old, "silent-old"},
    {link_fault::silent, "silent"},
    {link_fault::silent_upstream, "silent-upstream"},
    {link_fault::silent_downstream, "silent-downstream"},
}};

/// TCP proxy that delays, stalls, truncates, closes or resets connections on demand.
class fault_proxy {
public:
    /// Listens on a free loopback port and relays to `remote` (`host:port`).
    explicit fault_proxy(std::string remote);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    ~fault_proxy();

    /// `host:port` of the listener.
    [[nodiscard]] std::string address() const;

    /// Injects `fault` in place of the previous one; `none` restores normal forwarding.
    void set_fault(link_fault fault);

    /// Sets the one-way delay added before each chunk of data is forwarded.
    void set_delay(milliseconds delay) { this->delay_ms = delay.count(); }

    /// Closes a connection once it has forwarded `max_response_bytes` to the client; 0 disables the limit.
    void truncate_after(std::uint64_t max_response_bytes) { this->truncate_after_bytes = max_response_bytes; }

    /// Resets every open connection.
    void reset_connections();

    /// Number of connections forwarded so far.
    [[nodiscard]] std::uint64_t connections() const { return this->connection_count; }

private:
    struct relay {
        Poco::Net::StreamSocket client_socket;
        Poco::Net::StreamSocket upstream_socket;
        std::uint64_t connection_number = 0;
        std::atomic<bool> done{false};
        std::atomic<int> ended_threads{0};
        std::thread upstream_thread;
        std::thread downstream_thread;
    };

    void accept_until_stopped();
    void relay_bytes(relay& r, bool upstream);
    [[nodiscard]] bool is_silent(const relay& r, bool upstream) const;
    static void close(relay& r);

    /// Releases the sockets and threads of connections that have ended.
    void remove_ended();

    std::string remote;
    Poco::Net::ServerSocket listener;
    std::atomic<link_fault> fault{link_fault::none};
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<std::uint64_t> truncate_after_bytes{0};
    std::atomic<std::uint64_t> connection_count{0};
    /// `silent_old` stalls connections up to this number.
    std::atomic<std::uint64_t> last_old_connection{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::list<std::unique_ptr<relay>> relays;
    std::thread accept_thread;
};

} // namespace pomeloloft::stand_ins
