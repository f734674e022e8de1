#include "pomeloloft/net/request_reader.hpp"

#include <algorithm>
#include <array>
#include <string>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace pomeloloft::net {
namespace {

using namespace asio::experimental::awaitable_operators;

/// What a request takes beside its body: its head, the tasks that handle it and the message that forwards it.
constexpr std::uint64_t request_overhead_bytes = 16U << 10U;
/// Most bytes of a body that are received at a time.
constexpr std::size_t read_block_bytes = 64U << 10U;
/// Seconds after which a client that was refused for lack of memory may try again: by then, a stalled
/// connection has lost what it holds.
constexpr const char* memory_retry_after_s = "0.5";

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

/// Reads and discards what the client still sends, so that it can read the response. Closing a connection
/// with unread bytes would reset it.
task<void> discard_rest(tcp_stream& stream)
{
    constexpr std::size_t max_discarded_bytes = 256U << 10U;
    constexpr milliseconds discard_timeout{500};
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(discard_timeout);
    std::array<char, 2048> block{};
    std::size_t discarded = 0;
    while (discarded < max_discarded_bytes) {
        const auto [ec, read] = co_await stream.async_read_some(asio::buffer(block), use_task);
        if (ec) {
            co_return;
        }
        discarded += read;
    }
}

/// Responds with a status to a request that was not read, and ends the use of the connection.
task<void> refuse(tcp_stream& stream, request_parser& parser, http::status status,
                  const server_limits& limits, client_lease& lease)
{
    response outgoing = make_response(status);
    outgoing.keep_alive(false);
    if (status == http::status::service_unavailable) {
        outgoing.set(http::field::retry_after, memory_retry_after_s);
    }
    free_bytes(parser.get().body());
    lease.decorate(parser.get(), outgoing);
    lease.reset(0);
    const bool written = co_await write_response(stream, outgoing, limits.write_timeout, lease);
    if (written) {
        co_await discard_rest(stream);
    }
}

/// Responds with an error to input that could not be read as a request.
task<void> send_error_response(tcp_stream& stream, request_parser& parser, const error_code& ec,
                               const server_limits& limits, client_lease& lease)
{
    co_await refuse(stream, parser, status_for(ec), limits, lease);
}

task<bool> send_continue(tcp_stream& stream)
{
    http::response<http::empty_body> interim{http::status::continue_, 11};
    const auto [ec, written_bytes] = co_await http::async_write(stream, interim, use_task);
    co_return !ec;
}

/// Sends `100 Continue`, or the response that refuses the body.
/// @return `complete` when the body follows.
task<read_outcome> respond_to_expectation(tcp_stream& stream, expect_continue_decision& decision,
                                          const server_limits& limits, client_lease& lease)
{
    if (!decision.refusal) {
        const bool continued = co_await send_continue(stream);
        co_return continued ? read_outcome::complete : read_outcome::unusable;
    }
    decision.refusal->keep_alive(true);
    const bool written = co_await write_response(stream, *decision.refusal, limits.write_timeout, lease);
    co_return written ? read_outcome::refused : read_outcome::unusable;
}

/// Bytes that the body of a request needs while it is read: the body and the connection's buffer.
std::uint64_t announced_bytes(std::uint64_t body_bytes)
{
    return request_overhead_bytes + body_bytes + std::min<std::uint64_t>(body_bytes, read_block_bytes);
}

/// Takes memory for the next part of a chunked body and makes room for it in the body's string.
/// @param reserved bytes taken for the request so far.
task<bool> prepare_chunks(std::string& body, std::uint64_t& reserved, std::uint64_t max_body_bytes,
                          client_lease& lease)
{
    const std::uint64_t needed = announced_bytes(body.size() + read_block_bytes);
    if (needed > reserved) {
        const std::uint64_t step = std::max<std::uint64_t>(needed - reserved, body.size() / 4);
        const bool has_room = co_await lease.reserve(step);
        if (!has_room) {
            co_return false;
        }
        reserved += step;
    }
    if (body.capacity() - body.size() >= read_block_bytes) {
        co_return true;
    }
    // The string is moved to a larger one while both exist. A long body gets its largest size at once, as
    // pages that are not written take no memory.
    const std::uint64_t moved = body.size();
    const bool has_room = co_await lease.reserve(moved);
    if (!has_room) {
        co_return false;
    }
    const std::uint64_t doubled = std::max<std::uint64_t>(2 * moved, 2 * read_block_bytes);
    std::string larger;
    larger.reserve((doubled < max_body_bytes / 4 ? doubled : std::max(doubled, max_body_bytes)) +
                   read_block_bytes);
    larger.append(body);
    body.swap(larger);
    free_bytes(larger);
    lease.release(moved);
    co_return true;
}

/// Reads the body; its bytes are taken from the account before they are read.
task<read_outcome> read_body(tcp_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                             const server_limits& limits, client_lease& lease, std::uint64_t reserved)
{
    const bool chunked = !parser.content_length();
    stream.expires_after(limits.body_timeout);
    parser.eager(true);
    while (!parser.is_done()) {
        if (chunked) {
            const bool has_room =
                co_await prepare_chunks(parser.get().body(), reserved, limits.max_body_bytes, lease);
            if (!has_room) {
                co_await refuse(stream, parser, http::status::service_unavailable, limits, lease);
                co_return read_outcome::unusable;
            }
        }
        const auto [ec, read] = co_await http::async_read_some(stream, buffer, parser, use_task);
        if (ec) {
            if (is_malformed(ec) || ec == beast::error::timeout) {
                co_await send_error_response(stream, parser, ec, limits, lease);
            }
            co_return read_outcome::unusable;
        }
        lease.record_progress(read);
    }
    co_return read_outcome::complete;
}

} // namespace

task<bool> write_response(tcp_stream& stream, response& outgoing, milliseconds timeout, client_lease& lease)
{
    stream.expires_after(timeout);
    lease.enter(client_phase::writing);
    http::response_serializer<http::string_body> serializer(outgoing);
    while (!serializer.is_done()) {
        const auto [ec, written] = co_await http::async_write_some(stream, serializer, use_task);
        if (ec) {
            co_return false;
        }
        lease.record_progress(written);
    }
    co_return true;
}

task<read_outcome> read_request(tcp_stream& stream, beast::flat_buffer& buffer, request_parser& parser,
                                const server_limits& limits,
                                const expect_continue_handler& on_expect_continue, client_lease& lease)
{
    buffer.max_size(std::max<std::size_t>(limits.max_header_bytes, buffer.size()) + max_buffered_bytes);
    if (buffer.capacity() > std::max<std::size_t>(limits.max_header_bytes, buffer.size())) {
        buffer.shrink_to_fit();
    }
    lease.enter(client_phase::idle);
    lease.reset(buffer.capacity());
    if (buffer.size() == 0) {
        stream.expires_after(limits.idle_timeout);
        const auto [idle_ec, read] =
            co_await stream.async_read_some(buffer.prepare(limits.max_header_bytes), use_task);
        if (idle_ec) {
            co_return read_outcome::unusable;
        }
        buffer.commit(read);
    }
    lease.enter(client_phase::reading);
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    stream.expires_after(limits.header_timeout);
    const auto [ec, read] = co_await http::async_read_header(stream, buffer, parser, use_task);
    if (ec) {
        if (is_malformed(ec) || ec == beast::error::timeout) {
            co_await send_error_response(stream, parser, ec, limits, lease);
        }
        co_return read_outcome::unusable;
    }
    stream.expires_never();
    const std::uint64_t reserved = announced_bytes(parser.content_length().value_or(0));
    if (!lease.could_fit(reserved)) {
        co_await refuse(stream, parser, http::status::payload_too_large, limits, lease);
        co_return read_outcome::unusable;
    }
    const bool has_room = co_await lease.reserve(reserved);
    if (!has_room) {
        co_await refuse(stream, parser, http::status::service_unavailable, limits, lease);
        co_return read_outcome::unusable;
    }
    if (parser.is_done()) {
        co_return read_outcome::complete;
    }
    expect_continue_decision decision;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        if (on_expect_continue) {
            const std::uint64_t body_bytes = parser.content_length().value_or(0);
            client_watch client(stream, buffer);
            lease.enter(client_phase::handling);
            auto decided = co_await (on_expect_continue(parser.get(), body_bytes) || client.wait_for_close());
            if (decided.index() == 1) {
                co_return read_outcome::unusable;
            }
            decision = std::move(std::get<0>(decided));
            lease.enter(client_phase::reading);
        }
        stream.expires_after(limits.body_timeout);
        const read_outcome expectation_outcome =
            co_await respond_to_expectation(stream, decision, limits, lease);
        if (expectation_outcome != read_outcome::complete) {
            co_return expectation_outcome;
        }
    }
    const read_outcome ended = co_await read_body(stream, buffer, parser, limits, lease, reserved);
    co_return ended;
}

} // namespace pomeloloft::net
