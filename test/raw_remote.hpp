#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

namespace pomeloloft::testing {

/// How a `raw_remote` ends a connection.
enum class connection_end : unsigned char { close, reset };

/// What a `raw_remote` sends on a connection after it has read from it once.
struct raw_response {
    std::string first;
    /// Sent after `first` until `repeated_bytes` bytes have been sent.
    std::string repeated;
    std::size_t repeated_bytes = 0;
    connection_end end = connection_end::close;
};

/// A remote that answers the bytes of each request with given ones and ends the connection.
class raw_remote {
public:
    /// @param responder called with what was received of a request.
    explicit raw_remote(std::function<raw_response(const std::string&)> responder)
        : respond(std::move(responder)), listener(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread([this] { this->accept_until_stopped(); })
    {}
    raw_remote(const raw_remote&) = delete;
    raw_remote& operator=(const raw_remote&) = delete;
    ~raw_remote()
    {
        this->stopping = true;
        this->thread.join();
    }

    [[nodiscard]] std::string address() const { return this->listener.address().toString(); }

    /// Number of connections accepted.
    [[nodiscard]] int connections() const { return this->connection_count; }

private:
    void accept_until_stopped()
    {
        const Poco::Timespan poll_interval(0, 10'000);
        while (!this->stopping) {
            if (this->listener.poll(poll_interval, Poco::Net::Socket::SELECT_READ)) {
                ++this->connection_count;
                this->serve();
            }
        }
    }

    void serve()
    {
        try {
            Poco::Net::StreamSocket stream = this->listener.acceptConnection();
            const Poco::Timespan timeout(5, 0);
            stream.setReceiveTimeout(timeout);
            stream.setSendTimeout(timeout);
            std::array<char, 4096> received{};
            const int count = stream.receiveBytes(received.data(), static_cast<int>(received.size()));
            send(stream, this->respond({received.data(), static_cast<std::size_t>(std::max(count, 0))}));
        } catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    static void send(Poco::Net::StreamSocket& stream, const raw_response& response)
    {
        constexpr std::size_t block_bytes = 256U << 10U;
        stream.sendBytes(response.first.data(), static_cast<int>(response.first.size()));
        std::string block;
        while (!response.repeated.empty() && block.size() < block_bytes) {
            block += response.repeated;
        }
        for (std::size_t sent = 0; sent < response.repeated_bytes; sent += block.size()) {
            stream.sendBytes(block.data(), static_cast<int>(block.size()));
        }
        if (response.end == connection_end::reset) {
            // The client has read what was sent before the connection is reset.
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            stream.setLinger(true, 0);
        }
    }

    std::function<raw_response(const std::string&)> respond;
    Poco::Net::ServerSocket listener;
    std::atomic<bool> stopping{false};
    std::atomic<int> connection_count{0};
    std::thread thread;
};

} // namespace pomeloloft::testing
