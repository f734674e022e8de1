#include "pomeloloft/http/server.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>

namespace pomeloloft {
namespace {

constexpr int max_requests_per_connection = 1'000'000;
constexpr int listen_backlog = 512;
constexpr int min_threads = 2;
constexpr int idle_thread_seconds = 20;
/// How long an idle thread waits for a connection. A thread that starts to wait while the server stops misses
/// POCO's wake-up and waits this long, so the value bounds the extra time that a stop may take.
constexpr long connection_wait_us = 250'000;

class function_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit function_handler(const http_handler& function) : handler(function) {}

    void handleRequest(http_request& request, http_response& response) override
    {
        try {
            this->handler(request, response);
        } catch (const Poco::Exception&) {
            abort_connection(request);
        } catch (const std::ios_base::failure&) {
            abort_connection(request);
        }
    }

private:
    const http_handler& handler;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(http_handler function) : handler(std::move(function)) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(const http_request&) override
    {
        return new function_handler(this->handler);
    }

private:
    http_handler handler;
};

Poco::Net::HTTPServerParams::Ptr make_params(const http_server_options& options)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(options.max_threads);
    params->setMaxQueued(options.max_queued);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(max_requests_per_connection);
    params->setKeepAliveTimeout(Poco::Timespan(options.idle_timeout.count() * Poco::Timespan::MILLISECONDS));
    params->setTimeout(Poco::Timespan(options.io_timeout.count() * Poco::Timespan::MILLISECONDS));
    params->setThreadIdleTime(Poco::Timespan(connection_wait_us));
    return params;
}

Poco::Net::StreamSocket& socket_for(http_request& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

} // namespace

struct http_server::implementation {
    implementation(const http_server_options& options, http_handler handler,
                   const Poco::Net::ServerSocket& listener)
        : socket(listener),
          pool(min_threads, std::max(min_threads, options.max_threads), idle_thread_seconds),
          server(new handler_factory(std::move(handler)), this->pool, listener, make_params(options))
    {}

    Poco::Net::ServerSocket socket;
    Poco::ThreadPool pool;
    Poco::Net::HTTPServer server;
};

result<std::unique_ptr<http_server>> http_server::start(const http_server_options& options,
                                                        http_handler handler)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(options.address), true, false);
        socket.listen(listen_backlog);
        auto started = std::make_unique<implementation>(options, std::move(handler), socket);
        started->server.start();
        return std::unique_ptr<http_server>(new http_server(std::move(started)));
    } catch (const Poco::Exception& e) {
        return error{error_code::unavailable, options.setting,
                     "cannot listen on " + options.address + ": " + e.displayText()};
    }
}

http_server::http_server(std::unique_ptr<implementation> started) : impl(std::move(started)) {}

http_server::~http_server()
{
    this->stop(steady_clock::now());
}

std::uint16_t http_server::port() const
{
    return this->impl->socket.address().port();
}

void http_server::collect_idle_threads()
{
    this->impl->pool.collect();
}

void http_server::stop(time_point deadline)
{
    constexpr milliseconds poll_interval{10};
    Poco::Net::HTTPServer& server = this->impl->server;
    server.stop();
    // `stopAll(false)` closes idle connections and waits for the active ones, so it runs in a thread of its
    // own while this one watches the deadline.
    std::thread closer([&server] { server.stopAll(false); });
    while (server.currentConnections() > 0 && steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    if (server.currentConnections() > 0) {
        server.stopAll(true);
    }
    closer.join();
    this->impl->pool.joinAll();
}

void send_text(http_response& response, int status, const std::string& content_type, const std::string& body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)));
    response.setContentType(content_type);
    response.sendBuffer(body.data(), body.size());
}

void abort_connection(http_request& request)
{
    try {
        socket_for(request).shutdown();
    } catch (const Poco::Exception&) {
        // The remote has already closed the connection.
        return;
    }
}

bool caller_gone(http_request& request)
{
    Poco::Net::StreamSocket& socket = socket_for(request);
    try {
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        char byte = 0;
        return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

} // namespace pomeloloft
