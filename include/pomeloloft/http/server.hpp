#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/http/connection_account.hpp"

namespace pomeloloft {

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;

/// Handles one request; called concurrently from several threads.
using http_handler = std::function<void(http_request&, http_response&)>;

/// Address and limits of a listener.
struct http_server_options {
    /// `host:port`; port 0 selects a free port.
    std::string address;
    /// Name of the setting that holds `address`, used in errors.
    std::string setting;
    int max_threads = 256;
    int max_queued = 512;
    milliseconds idle_timeout{15'000};
    milliseconds io_timeout{60'000};
    /// Account of the clients that this listener shares with others; null for none.
    std::shared_ptr<connection_account> account;
};

/// An HTTP listener with its own thread pool.
class http_server {
public:
    /// Starts listening; fails with `unavailable` if the address cannot be used.
    static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                      http_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// The port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const;

    /// Ends threads that have been idle for a while. POCO's pool does so by itself only while it is used.
    void collect_idle_threads();

    /// Stops accepting connections, waits until the deadline for requests in progress, then closes all
    /// remaining connections.
    void stop(time_point deadline);

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> started);

    std::unique_ptr<implementation> impl;
};

/// Sends a complete response with a short body.
void send_text(http_response& response, int status, const std::string& content_type, const std::string& body);

/// Shuts down the caller's connection, so that the caller detects an unfinished response as truncated.
void abort_connection(http_request& request);

/// Whether the caller has closed its connection.
[[nodiscard]] bool caller_gone(http_request& request);

/// Tells the account of clients, if the listener has one, what the caller's connection does.
void enter_phase(http_request& request, client_phase phase);
void record_progress(http_request& request, std::uint64_t bytes);

/// Memory taken from the account of clients for a request; given back when this ends.
class memory_reservation {
public:
    memory_reservation(http_request& from, std::uint64_t size);
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation();

    /// Whether the memory was taken. True for a listener without an account.
    [[nodiscard]] bool granted() const { return this->reserved; }

private:
    http_request& request;
    std::uint64_t bytes;
    bool reserved;
};

} // namespace pomeloloft
