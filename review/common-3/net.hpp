#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// An HTTP/1.1 message. Header names are in lower case after reading.
struct message {
    /// Method and target of a request.
    std::string method;
    std::string target;
    /// Status of a response; 0 without a complete response.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Seconds since the program started.
[[nodiscard]] double now_s();

void sleep_ms(int duration_ms);

/// A free port of the loopback address. While it is held, no other process gets it, but a program that sets
/// `SO_REUSEADDR` can listen on it.
class held_port {
public:
    held_port();
    held_port(held_port&& other) noexcept : number(other.number), fd(std::exchange(other.fd, -1)) {}
    held_port(const held_port&) = delete;
    held_port& operator=(const held_port&) = delete;
    ~held_port();

    std::uint16_t number = 0;

private:
    int fd = -1;
};

/// Reads a request or a response. @return false at the end of the connection or on invalid input.
[[nodiscard]] bool read_message(int fd, std::string& buffer, message& out);

/// Returns the bytes of a response with a length.
[[nodiscard]] std::string response_text(int status, const std::string& body = {},
                                        const header_list& headers = {});

/// Sends one request on a connection of its own and waits for the response.
/// @return a message with status 0 if there was no complete response in time.
[[nodiscard]] message call(std::uint16_t port, const std::string& method, const std::string& target,
                           const header_list& headers, const std::string& body, int timeout_ms);

/// An HTTP server on a loopback port with a thread for each connection.
class http_server {
public:
    /// Returns the bytes of the response; nothing to end the connection without one.
    using handler = std::function<std::string(const message&)>;

    explicit http_server(handler on_request) : handle(std::move(on_request)) {}
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() { this->stop(); }

    /// Listens on `port`, or on a free one if it is 0.
    [[nodiscard]] bool start(std::uint16_t port);

    /// Closes the listener and resets all connections. Must not be called by the handler.
    void stop();

    [[nodiscard]] std::uint16_t port() const { return this->listen_port; }

private:
    void accept_connections(int listener);
    void serve(int fd);

    handler handle;
    std::uint16_t listen_port = 0;
    int listen_fd = -1;
    std::mutex mutex;
    std::condition_variable ended;
    std::set<int> connections;
    int threads = 0;
    std::atomic<bool> stopping = false;
};

} // namespace review
