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

/// What a fault proxy does to the bytes that pass.
enum class link_fault : std::uint8_t {
    none,
    /// Connections end and new ones are refused.
    cut,
    /// Connections stay open, open ones carry nothing any more, new ones work.
    silent_old,
    /// Connections stay open and carry nothing, new ones too.
    silent,
    /// Nothing passes from the listener's side to the remote.
    silent_upstream,
    /// Nothing passes from the remote back.
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

/// A TCP relay between two ends that delays, cuts, silences, truncates and resets on demand.
class fault_proxy {
public:
    /// Listens on a free loopback port and relays to `remote` (`host:port`).
    explicit fault_proxy(std::string remote);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    ~fault_proxy();

    /// `host:port` of the listener.
    [[nodiscard]] std::string address() const;

    /// Changes what happens from now on.
    void set_fault(link_fault fault);

    /// One-way delay added to every piece of data.
    void set_delay(milliseconds delay) { this->delay_ms = delay.count(); }

    /// Cuts each later connection after it has carried so many bytes back; 0 for none.
    void cut_after(std::uint64_t bytes_back) { this->cut_after_bytes = bytes_back; }

    /// Resets every open connection.
    void reset_connections();

    /// Connections taken so far.
    [[nodiscard]] std::uint64_t connections() const { return this->accepted; }

private:
    struct relay {
        Poco::Net::StreamSocket near;
        Poco::Net::StreamSocket far;
        std::uint64_t number = 0;
        std::atomic<bool> done{false};
        std::thread forward;
        std::thread backward;
    };

    void accept_until_stopped();
    void pump(relay& r, bool upstream);
    [[nodiscard]] bool is_silent(const relay& r, bool upstream) const;
    static void close(relay& r);

    std::string remote;
    Poco::Net::ServerSocket listener;
    std::atomic<link_fault> fault{link_fault::none};
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<std::uint64_t> cut_after_bytes{0};
    std::atomic<std::uint64_t> accepted{0};
    /// Connections up to this number are old for `silent_old`.
    std::atomic<std::uint64_t> old_until{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::list<std::unique_ptr<relay>> relays;
    std::thread acceptor;
};

} // namespace pomeloloft::stand_ins
