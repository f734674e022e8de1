#include "pomeloloft/net/server.hpp"

#include "pomeloloft/net/connection.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {
namespace {

constexpr int listen_backlog = 1024;

} // namespace

result<std::shared_ptr<server>> server::start(event_loop& loop, const std::string& address,
                                              const std::string& setting, handler on_request)
{
    return start(loop, address, setting,
                 watched_handler([on_request = std::move(on_request)](request& received, client_watch&) {
                     return on_request(received);
                 }));
}

result<std::shared_ptr<server>> server::start(event_loop& loop, const std::string& address,
                                              const std::string& setting, watched_handler on_request)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parse_endpoint(address, setting));
    auto self = std::make_shared<server>(loop, std::move(on_request));
    error_code ec;
    self->acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        self->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        self->acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        self->acceptor.listen(listen_backlog, ec);
    }
    if (ec) {
        return error{pomeloloft::error_code::unavailable, setting,
                     "cannot listen on " + address + ": " + ec.message()};
    }
    spawn(loop, accept(self), "accept");
    return self;
}

std::uint16_t server::port() const
{
    error_code ignored;
    return this->acceptor.local_endpoint(ignored).port();
}

void server::stop()
{
    this->closing = true;
    error_code ignored;
    this->acceptor.close(ignored);
}

task<void> server::accept(std::shared_ptr<server> self)
{
    while (self->acceptor.is_open()) {
        tcp_stream stream(self->loop.get_executor());
        const auto [ec] = co_await self->acceptor.async_accept(stream.socket(), use_task);
        if (!ec) {
            configure_socket(stream, {});
            spawn(self->loop, connection::serve(std::make_shared<connection>(self, std::move(stream))),
                  "connection");
            continue;
        }
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        // Accepting fails when the process has no free file descriptors; a delay avoids a busy loop.
        constexpr milliseconds accept_retry_delay{20};
        timer retry(self->loop.get_executor(), accept_retry_delay);
        co_await retry.async_wait(use_task);
    }
}

} // namespace pomeloloft::net
