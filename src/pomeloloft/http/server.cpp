#include "pomeloloft/http/server.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/SharedPtr.h>
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
            enter_phase(request, client_phase::idle);
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

    /// Closes the connections that are idle, or all of them.
    void close_connections(bool also_active) { this->serverStopped(this, also_active); }

private:
    http_handler handler;
};

/// The account of a listener, which its requests find through their parameters.
class counted_params : public Poco::Net::HTTPServerParams {
public:
    explicit counted_params(std::shared_ptr<connection_account> shared) : account(std::move(shared)) {}
    counted_params(const counted_params&) = delete;
    counted_params& operator=(const counted_params&) = delete;
    ~counted_params() override = default;

    const std::shared_ptr<connection_account> account;
};

/// Counts connections when they are accepted.
class counting_filter : public Poco::Net::TCPServerConnectionFilter {
public:
    explicit counting_filter(std::shared_ptr<connection_account> shared) : account(std::move(shared)) {}
    counting_filter(const counting_filter&) = delete;
    counting_filter& operator=(const counting_filter&) = delete;
    ~counting_filter() override = default;

    bool accept(const Poco::Net::StreamSocket& client) override { return this->account->open(client); }

private:
    std::shared_ptr<connection_account> account;
};

/// A connection that leaves the account when its thread ends.
class counted_connection : public Poco::Net::HTTPServerConnection {
public:
    counted_connection(const Poco::Net::StreamSocket& socket, const Poco::Net::HTTPServerParams::Ptr& params,
                       const Poco::Net::HTTPRequestHandlerFactory::Ptr& factory,
                       std::shared_ptr<connection_account> shared)
        : HTTPServerConnection(socket, params, factory), client(socket), account(std::move(shared))
    {}
    counted_connection(const counted_connection&) = delete;
    counted_connection& operator=(const counted_connection&) = delete;
    ~counted_connection() override { this->account->close(this->client); }

private:
    Poco::Net::StreamSocket client;
    std::shared_ptr<connection_account> account;
};

class counted_connection_factory : public Poco::Net::TCPServerConnectionFactory {
public:
    counted_connection_factory(Poco::AutoPtr<counted_params> server_params,
                               Poco::Net::HTTPRequestHandlerFactory::Ptr handlers)
        : params(std::move(server_params)), factory(std::move(handlers))
    {}

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        if (!this->params->account) {
            return new Poco::Net::HTTPServerConnection(socket, this->params, this->factory);
        }
        return new counted_connection(socket, this->params, this->factory, this->params->account);
    }

private:
    Poco::AutoPtr<counted_params> params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory;
};

Poco::AutoPtr<counted_params> make_params(const http_server_options& options)
{
    Poco::AutoPtr<counted_params> params = new counted_params(options.account);
    params->setMaxThreads(options.max_threads);
    params->setMaxQueued(options.max_queued);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(max_requests_per_connection);
    params->setKeepAliveTimeout(Poco::Timespan(options.idle_timeout.count() * Poco::Timespan::MILLISECONDS));
    params->setTimeout(Poco::Timespan(options.io_timeout.count() * Poco::Timespan::MILLISECONDS));
    params->setThreadIdleTime(Poco::Timespan(connection_wait_us));
    return params;
}

/// Null for a listener without an account.
connection_account* account_of(const http_request& request)
{
    const auto* params = dynamic_cast<const counted_params*>(&request.serverParams());
    return params != nullptr ? params->account.get() : nullptr;
}

Poco::Net::StreamSocket& socket_for(http_request& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

} // namespace

struct http_server::implementation {
    implementation(const http_server_options& options, http_handler handler,
                   const Poco::Net::ServerSocket& listener)
        : socket(listener), factory(new handler_factory(std::move(handler))),
          pool(min_threads, std::max(min_threads, options.max_threads), idle_thread_seconds),
          params(make_params(options)), server(new counted_connection_factory(this->params, this->factory),
                                               this->pool, listener, this->params)
    {
        if (options.account) {
            this->server.setConnectionFilter(new counting_filter(options.account));
        }
    }

    Poco::Net::ServerSocket socket;
    Poco::SharedPtr<handler_factory> factory;
    Poco::ThreadPool pool;
    Poco::AutoPtr<counted_params> params;
    Poco::Net::TCPServer server;
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
    Poco::Net::TCPServer& server = this->impl->server;
    server.stop();
    handler_factory& factory = *this->impl->factory;
    // Closing idle connections waits for the active ones, so it runs in a thread of its own while this one
    // watches the deadline.
    std::thread closer([&factory] { factory.close_connections(false); });
    while (server.currentConnections() > 0 && steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    if (server.currentConnections() > 0) {
        factory.close_connections(true);
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

void enter_phase(http_request& request, client_phase phase)
{
    if (connection_account* const account = account_of(request)) {
        account->enter(socket_for(request), phase);
    }
}

void record_progress(http_request& request, std::uint64_t bytes)
{
    if (connection_account* const account = account_of(request)) {
        account->record_progress(socket_for(request), bytes);
    }
}

memory_reservation::memory_reservation(http_request& from, std::uint64_t size)
    : request(from), bytes(size), reserved(true)
{
    if (connection_account* const account = account_of(this->request)) {
        this->reserved = account->reserve(socket_for(this->request), this->bytes);
    }
}

memory_reservation::~memory_reservation()
{
    connection_account* const account = account_of(this->request);
    if (account != nullptr && this->reserved) {
        account->release(socket_for(this->request), this->bytes);
    }
}

} // namespace pomeloloft
