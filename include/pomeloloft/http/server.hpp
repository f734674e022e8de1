#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;

/// Answers one request; called from many threads.
using http_handler = std::function<void(http_request&, http_response&)>;

/// Limits of one listener.
struct http_server_options {
    /// `host:port`; port 0 takes a free one.
    std::string address;
    /// Named in errors.
    std::string setting;
    int max_threads = 256;
    int max_queued = 512;
    milliseconds idle_timeout{15'000};
    milliseconds io_timeout{60'000};
};

/// An HTTP listener with threads of its own.
class http_server {
public:
    /// Starts to listen.
    static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                      http_handler handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const;

    /// Ends threads that have been idle for a while; the pool does so by itself only while it is used.
    void collect_idle_threads();

    /// Takes no more connections, lets requests in progress finish until the deadline, then closes the rest.
    void stop(time_point deadline);

private:
    struct parts;
    explicit http_server(std::unique_ptr<parts> started);

    std::unique_ptr<parts> self;
};

/// Sends a whole short answer.
void send_text(http_response& response, int status, const std::string& content_type, const std::string& body);

/// Cuts the caller's connection, so that an answer under way is seen to be incomplete.
void abort_connection(http_request& request);

/// Whether the caller has closed its connection.
[[nodiscard]] bool caller_gone(http_request& request);

} // namespace pomeloloft
