#include "fault_proxy.hpp"

#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pomeloloft::stand_ins {
namespace {

constexpr Poco::Timespan::TimeDiff poll_us = 20'000;

} // namespace

fault_proxy::fault_proxy(std::string remote_address) : remote(std::move(remote_address))
{
    this->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    this->listener.listen(512);
    this->accept_thread = std::thread([this] { this->accept_until_stopped(); });
}

fault_proxy::~fault_proxy()
{
    this->stopping = true;
    this->accept_thread.join();
    for (const auto& r : this->relays) {
        close(*r);
        r->upstream_thread.join();
        r->downstream_thread.join();
    }
}

std::string fault_proxy::address() const
{
    return "127.0.0.1:" + std::to_string(this->listener.address().port());
}

void fault_proxy::set_fault(link_fault next)
{
    this->last_old_connection = this->connection_count.load();
    this->fault = next;
    if (next == link_fault::cut) {
        const std::lock_guard lock(this->mutex);
        for (const auto& r : this->relays) {
            close(*r);
        }
    }
}

void fault_proxy::reset_connections()
{
    const std::lock_guard lock(this->mutex);
    for (const auto& r : this->relays) {
        try {
            r->client_socket.setLinger(true, 0);
        } catch (const Poco::Exception&) {
            continue;
        }
        close(*r);
    }
}

void fault_proxy::close(relay& r)
{
    r.done = true;
    for (Poco::Net::StreamSocket* socket : {&r.client_socket, &r.upstream_socket}) {
        try {
            socket->shutdown();
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

void fault_proxy::remove_ended()
{
    constexpr int threads_of_a_relay = 2;
    const std::lock_guard lock(this->mutex);
    this->relays.remove_if([](const std::unique_ptr<relay>& r) {
        if (r->ended_threads < threads_of_a_relay) {
            return false;
        }
        r->upstream_thread.join();
        r->downstream_thread.join();
        return true;
    });
}

void fault_proxy::accept_until_stopped()
{
    while (!this->stopping) {
        this->remove_ended();
        try {
            if (!this->listener.poll(Poco::Timespan(poll_us), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::StreamSocket client_socket = this->listener.acceptConnection();
            if (this->fault == link_fault::cut) {
                client_socket.close();
                continue;
            }
            auto r = std::make_unique<relay>();
            r->client_socket = client_socket;
            r->upstream_socket.connect(Poco::Net::SocketAddress(this->remote), Poco::Timespan(1, 0));
            r->client_socket.setNoDelay(true);
            r->upstream_socket.setNoDelay(true);
            r->connection_number = ++this->connection_count;
            relay& started = *r;
            started.upstream_thread = std::thread([this, &started] { this->relay_bytes(started, true); });
            started.downstream_thread = std::thread([this, &started] { this->relay_bytes(started, false); });
            const std::lock_guard lock(this->mutex);
            this->relays.push_back(std::move(r));
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

bool fault_proxy::is_silent(const relay& r, bool upstream) const
{
    switch (this->fault.load()) {
    case link_fault::silent:
        return true;
    case link_fault::silent_old:
        return r.connection_number <= this->last_old_connection;
    case link_fault::silent_upstream:
        return upstream;
    case link_fault::silent_downstream:
        return !upstream;
    case link_fault::none:
    case link_fault::cut:
        break;
    }
    return false;
}

void fault_proxy::relay_bytes(relay& r, bool upstream)
{
    std::array<char, 16384> buffer{};
    Poco::Net::StreamSocket from = upstream ? r.client_socket : r.upstream_socket;
    Poco::Net::StreamSocket to = upstream ? r.upstream_socket : r.client_socket;
    std::uint64_t relayed_bytes = 0;
    try {
        while (!r.done && !this->stopping) {
            if (this->is_silent(r, upstream)) {
                std::this_thread::sleep_for(milliseconds{10});
                continue;
            }
            if (!from.poll(Poco::Timespan(poll_us), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            // If a fault was set while this thread polled, it must also stall the data that has just arrived.
            if (this->is_silent(r, upstream)) {
                continue;
            }
            int count = from.receiveBytes(buffer.data(), buffer.size());
            if (count <= 0) {
                break;
            }
            std::this_thread::sleep_for(milliseconds(this->delay_ms.load()));
            const std::uint64_t limit = upstream ? 0 : this->truncate_after_bytes.load();
            if (limit > 0 && relayed_bytes + static_cast<std::uint64_t>(count) >= limit) {
                count = static_cast<int>(limit - relayed_bytes);
                to.sendBytes(buffer.data(), count);
                break;
            }
            relayed_bytes += static_cast<std::uint64_t>(count);
            to.sendBytes(buffer.data(), count);
        }
    } catch (const Poco::Exception&) {
        close(r);
    }
    close(r);
    ++r.ended_threads;
}

} // namespace pomeloloft::stand_ins
