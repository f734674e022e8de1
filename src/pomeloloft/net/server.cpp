#include "pomeloloft/net/server.hpp"

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

/// Counts a request for as long as it is being answered.
class active_scope {
public:
    explicit active_scope(std::uint32_t& counted) : count(counted) { ++this->count; }
    active_scope(const active_scope&) = delete;
    active_scope& operator=(const active_scope&) = delete;
    ~active_scope() { --this->count; }

private:
    std::uint32_t& count;
};

/// Returns when the client has closed its connection.
task<void> wait_for_close(tcp_stream& stream)
{
    const auto [failed] = co_await stream.socket().async_wait(tcp::socket::wait_read, use_task);
    if (failed || !stream.socket().is_open()) {
        co_return;
    }
    char byte = 0;
    error_code ended;
    const auto got = stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ended);
    if (ended || got == 0) {
        co_return;
    }
    // The next request has arrived already; a close behind it is noticed when it is read.
    timer never(co_await asio::this_coro::executor);
    never.expires_at(no_deadline);
    co_await never.async_wait(use_task);
}

http::status status_of(const error_code& failed)
{
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow) {
        return http::status::request_header_fields_too_large;
    }
    if (failed == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (failed == beast::error::timeout) {
        return http::status::request_timeout;
    }
    return http::status::bad_request;
}

task<bool> write(tcp_stream& stream, response& answer, milliseconds timeout)
{
    stream.expires_after(timeout);
    const auto [failed, count] = co_await http::async_write(stream, answer, use_task);
    co_return !failed;
}

/// Refuses what could not be read as a request.
task<void> refuse(tcp_stream& stream, const error_code& failed, const server_limits& limits)
{
    response answer = make_response(status_of(failed));
    answer.keep_alive(false);
    co_await write(stream, answer, limits.write_timeout);
}

task<bool> send_continue(tcp_stream& stream)
{
    http::response<http::empty_body> interim{http::status::continue_, 11};
    const auto [failed, count] = co_await http::async_write(stream, interim, use_task);
    co_return !failed;
}

/// How the reading of a request ended.
enum class read_end : std::uint8_t {
    whole,
    /// Answered without its body; the connection can carry another request.
    refused,
    /// The connection is not usable any more.
    broken,
};

/// Asks the client that waits for it to send its body, or answers with the refusal.
/// @return `whole` when the body follows.
task<read_end> answer_expectation(tcp_stream& stream, expect_continue_decision& verdict,
                                  const server_limits& limits)
{
    if (!verdict.refusal) {
        const bool sent = co_await send_continue(stream);
        co_return sent ? read_end::whole : read_end::broken;
    }
    verdict.refusal->keep_alive(true);
    const bool written = co_await write(stream, *verdict.refusal, limits.write_timeout);
    co_return written ? read_end::refused : read_end::broken;
}

/// Reads a whole request; refuses it where it is malformed or beyond a limit.
task<read_end> read_request(tcp_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                            const server& self)
{
    const server_limits& limits = self.limits;
    if (buffer.size() == 0) {
        stream.expires_after(limits.idle_timeout);
        const auto [idle, read] =
            co_await stream.async_read_some(buffer.prepare(limits.max_header_bytes), use_task);
        if (idle) {
            co_return read_end::broken;
        }
        buffer.commit(read);
    }
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    stream.expires_after(limits.header_timeout);
    const auto [failed, read] = co_await http::async_read_header(stream, buffer, parser, use_task);
    if (failed) {
        if (is_malformed(failed) || failed == beast::error::timeout) {
            co_await refuse(stream, failed, limits);
        }
        co_return read_end::broken;
    }
    if (parser.is_done()) {
        co_return read_end::whole;
    }
    stream.expires_after(limits.body_timeout);
    expect_continue_decision verdict;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        if (self.on_expect_continue) {
            stream.expires_never();
            const std::uint64_t body_bytes = parser.content_length().value_or(0);
            auto screened =
                co_await (self.on_expect_continue(parser.get(), body_bytes) || wait_for_close(stream));
            if (screened.index() == 1) {
                co_return read_end::broken;
            }
            verdict = std::move(std::get<0>(screened));
            stream.expires_after(limits.body_timeout);
        }
        const read_end asked = co_await answer_expectation(stream, verdict, limits);
        if (asked != read_end::whole) {
            co_return asked;
        }
    }
    const auto [cut, body_read] = co_await http::async_read(stream, buffer, parser, use_task);
    if (cut) {
        if (is_malformed(cut) || cut == beast::error::timeout) {
            co_await refuse(stream, cut, limits);
        }
        co_return read_end::broken;
    }
    co_return read_end::whole;
}

} // namespace

result<std::shared_ptr<server>> server::start(event_loop& loop, const std::string& address,
                                              const std::string& setting, handler serve)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parse_endpoint(address, setting));
    auto self = std::make_shared<server>(loop, std::move(serve));
    error_code failed;
    self->acceptor.open(endpoint.protocol(), failed);
    if (!failed) {
        self->acceptor.set_option(asio::socket_base::reuse_address(true), failed);
        self->acceptor.bind(endpoint, failed);
    }
    if (!failed) {
        self->acceptor.listen(listen_backlog, failed);
    }
    if (failed) {
        return error{pomeloloft::error_code::unavailable, setting,
                     "cannot listen on " + address + ": " + failed.message()};
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
        const auto [failed] = co_await self->acceptor.async_accept(stream.socket(), use_task);
        if (!failed) {
            configure_socket(stream, {});
            spawn(self->loop, serve(self, std::move(stream)), "connection");
            continue;
        }
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        constexpr milliseconds pause_without_descriptors{20};
        timer pause(self->loop.get_executor(), pause_without_descriptors);
        co_await pause.async_wait(use_task);
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
    const read_end ended = co_await read_request(stream, buffer, parser, self);
    if (ended != read_end::whole) {
        co_return ended == read_end::refused;
    }
    const active_scope counted(self.active_count);
    const bool keep_alive = parser.keep_alive();
    const unsigned version = parser.get().version();
    request received = parser.release();
    stream.expires_never();
    auto finished = co_await (self.answer(received) || wait_for_close(stream));
    if (finished.index() == 1) {
        co_return false;
    }
    reply& given = std::get<0>(finished);
    if (given.close_without_response) {
        co_return false;
    }
    given.answer.version(version);
    given.answer.keep_alive(keep_alive && !self.closing);
    if (received.method() == http::verb::head) {
        http::response_serializer<http::string_body> head(given.answer);
        stream.expires_after(self.limits.write_timeout);
        const auto [failed, count] = co_await http::async_write_header(stream, head, use_task);
        co_return !failed && given.answer.keep_alive();
    }
    const bool written = co_await write(stream, given.answer, self.limits.write_timeout);
    co_return written&& given.answer.keep_alive();
}

} // namespace pomeloloft::net
