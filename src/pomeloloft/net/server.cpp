#include "pomeloloft/net/server.hpp"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {
namespace {

using namespace asio::experimental::awaitable_operators;

using request_parser = http::request_parser<http::string_body>;
constexpr int listen_backlog = 1024;

/// Counts a request while it is being handled.
class active_request_scope {
public:
    explicit active_request_scope(std::uint32_t& active_requests) : counter(active_requests)
    {
        ++this->counter;
    }
    active_request_scope(const active_request_scope&) = delete;
    active_request_scope& operator=(const active_request_scope&) = delete;
    ~active_request_scope() { --this->counter; }

private:
    std::uint32_t& counter;
};

http::status status_for(const error_code& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return http::status::request_header_fields_too_large;
    }
    if (ec == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (ec == beast::error::timeout) {
        return http::status::request_timeout;
    }
    return http::status::bad_request;
}

task<bool> write(tcp_stream& stream, response& outgoing, milliseconds timeout)
{
    stream.expires_after(timeout);
    const auto [ec, written_bytes] = co_await http::async_write(stream, outgoing, use_task);
    co_return !ec;
}

/// Responds with an error to input that could not be read as a request.
task<void> send_error_response(tcp_stream& stream, const error_code& ec, const server_limits& limits)
{
    response outgoing = make_response(status_for(ec));
    outgoing.keep_alive(false);
    co_await write(stream, outgoing, limits.write_timeout);
}

task<bool> send_continue(tcp_stream& stream)
{
    http::response<http::empty_body> interim{http::status::continue_, 11};
    const auto [ec, written_bytes] = co_await http::async_write(stream, interim, use_task);
    co_return !ec;
}

/// How the reading of a request ended.
enum class read_outcome : std::uint8_t {
    complete,
    /// The body was refused; the connection can carry another request.
    refused,
    /// The connection is no longer usable.
    unusable,
};

/// Sends `100 Continue`, or the response that refuses the body.
/// @return `complete` when the body follows.
task<read_outcome> respond_to_expectation(tcp_stream& stream, expect_continue_decision& decision,
                                          const server_limits& limits)
{
    if (!decision.refusal) {
        const bool continued = co_await send_continue(stream);
        co_return continued ? read_outcome::complete : read_outcome::unusable;
    }
    decision.refusal->keep_alive(true);
    const bool written = co_await write(stream, *decision.refusal, limits.write_timeout);
    co_return written ? read_outcome::refused : read_outcome::unusable;
}

/// Reads a complete request. Responds with an error if it is malformed, exceeds a limit or times out.
task<read_outcome> read_request(tcp_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                                const server& self)
{
    const server_limits& limits = self.limits;
    buffer.max_size(std::max<std::size_t>(limits.max_header_bytes, buffer.size()) + max_buffered_bytes);
    if (buffer.size() == 0) {
        stream.expires_after(limits.idle_timeout);
        const auto [idle_ec, read] =
            co_await stream.async_read_some(buffer.prepare(limits.max_header_bytes), use_task);
        if (idle_ec) {
            co_return read_outcome::unusable;
        }
        buffer.commit(read);
    }
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    stream.expires_after(limits.header_timeout);
    const auto [ec, read] = co_await http::async_read_header(stream, buffer, parser, use_task);
    if (ec) {
        if (is_malformed(ec) || ec == beast::error::timeout) {
            co_await send_error_response(stream, ec, limits);
        }
        co_return read_outcome::unusable;
    }
    if (parser.is_done()) {
        co_return read_outcome::complete;
    }
    stream.expires_after(limits.body_timeout);
    expect_continue_decision decision;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        if (self.on_expect_continue) {
            stream.expires_never();
            const std::uint64_t body_bytes = parser.content_length().value_or(0);
            client_watch client(stream, buffer);
            auto decided =
                co_await (self.on_expect_continue(parser.get(), body_bytes) || client.wait_for_close());
            if (decided.index() == 1) {
                co_return read_outcome::unusable;
            }
            decision = std::move(std::get<0>(decided));
            stream.expires_after(limits.body_timeout);
        }
        const read_outcome expectation_outcome = co_await respond_to_expectation(stream, decision, limits);
        if (expectation_outcome != read_outcome::complete) {
            co_return expectation_outcome;
        }
    }
    const auto [body_ec, body_read] = co_await http::async_read(stream, buffer, parser, use_task);
    if (body_ec) {
        if (is_malformed(body_ec) || body_ec == beast::error::timeout) {
            co_await send_error_response(stream, body_ec, limits);
        }
        co_return read_outcome::unusable;
    }
    co_return read_outcome::complete;
}

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
            spawn(self->loop, serve(self, std::move(stream)), "connection");
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

task<void> server::serve(std::shared_ptr<server> self, tcp_stream stream)
{
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        open = co_await serve_one(*self, stream, buffer);
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

task<bool> server::serve_one(server& self, tcp_stream& stream, beast::flat_buffer& buffer)
{
    request_parser parser;
    const read_outcome ended = co_await read_request(stream, buffer, parser, self);
    if (ended != read_outcome::complete) {
        co_return ended == read_outcome::refused;
    }
    const active_request_scope active_scope(self.active_count);
    const bool keep_alive = parser.keep_alive();
    const unsigned version = parser.get().version();
    request received = parser.release();
    stream.expires_never();
    client_watch client(stream, buffer);
    auto finished = co_await (self.request_handler(received, client) || client.wait_for_close());
    if (finished.index() == 1) {
        co_return false;
    }
    reply& returned = std::get<0>(finished);
    if (returned.close_without_response) {
        co_return false;
    }
    returned.response.version(version);
    // Without a length, only the end of the connection marks that of the body.
    const bool ends_with_connection = received.method() != http::verb::head && returned.response.need_eof();
    returned.response.keep_alive(keep_alive && !self.closing && !ends_with_connection);
    if (received.method() == http::verb::head) {
        http::response_serializer<http::string_body> head(returned.response);
        stream.expires_after(self.limits.write_timeout);
        const auto [ec, written_bytes] = co_await http::async_write_header(stream, head, use_task);
        co_return !ec && returned.response.keep_alive();
    }
    const bool written = co_await write(stream, returned.response, self.limits.write_timeout);
    co_return written&& returned.response.keep_alive();
}

} // namespace pomeloloft::net
