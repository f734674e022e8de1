#include "pomeloloft/net/connection.hpp"

#include <exception>
#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/request_reader.hpp"
#include "pomeloloft/net/sent_ahead.hpp"

namespace pomeloloft::net {
namespace {

using namespace asio::experimental::awaitable_operators;

/// Counts a request or a group of requests while it lives.
class count_scope {
public:
    explicit count_scope(std::uint32_t& counted) : counter(counted) { ++this->counter; }
    count_scope(const count_scope&) = delete;
    count_scope& operator=(const count_scope&) = delete;
    ~count_scope() { --this->counter; }

private:
    std::uint32_t& counter;
};

/// Whether the account of clients has room for further bytes; true without an account.
bool has_room_for(const client_lease& lease, const std::shared_ptr<client_account>& account,
                  std::uint64_t bytes)
{
    return !account || lease.could_fit(account->bytes() + bytes);
}

} // namespace

struct connection::pending_request {
    explicit pending_request(std::shared_ptr<server> owner)
        : listener(std::move(owner)), active(this->listener->active_count)
    {}

    std::shared_ptr<server> listener;
    request received;
    bool keep_alive = true;
    unsigned version = 11;
    bool is_head = false;
    /// Bytes that count toward the limit of the connection.
    std::size_t held_bytes = 0;
    std::optional<reply> returned;
    asio::cancellation_signal cancellation;
    count_scope active;
};

connection::connection(std::shared_ptr<server> owner, tcp_stream accepted)
    : listener(std::move(owner)), stream(std::move(accepted)),
      lease(this->listener->account, this->stream, this->listener->on_refusal),
      client(this->stream, this->buffer), handled(this->stream.get_executor())
{
    if (this->listener->may_overlap) {
        this->client.on_received = [this] { this->schedule_read_ahead(); };
    }
}

task<void> connection::serve(std::shared_ptr<connection> self)
{
    bool open = self->lease.is_admitted();
    try {
        while (open) {
            open = co_await self->serve_next();
        }
    } catch (...) {
        self->close();
        throw;
    }
    self->close();
}

task<bool> connection::serve_next()
{
    return this->sent_ahead.empty() ? this->serve_first_unread() : this->serve_sent_ahead();
}

task<bool> connection::serve_first_unread()
{
    request_parser parser;
    const read_outcome ended =
        co_await read_request(this->stream, this->buffer, parser, this->listener->limits,
                              this->listener->on_expect_continue, this->lease);
    if (ended != read_outcome::complete) {
        co_return ended == read_outcome::refused;
    }
    this->lease.enter(client_phase::handling);
    pending_request first(this->listener);
    first.keep_alive = parser.keep_alive();
    first.version = parser.get().version();
    first.received = parser.release();
    first.is_head = first.received.method() == http::verb::head;
    first.held_bytes = first.received.body().size();
    this->in_progress = 1;
    this->held_bytes = first.held_bytes;
    this->last_keeps_alive = first.keep_alive;
    this->all_may_overlap = this->listener->may_overlap && this->listener->may_overlap(first.received);
    this->stream.expires_never();
    this->schedule_read_ahead();
    auto finished = co_await (this->listener->request_handler(first.received, this->client) ||
                              this->client.wait_for_close());
    if (finished.index() == 1) {
        co_return false;
    }
    const bool open = co_await this->respond(first, std::get<0>(finished));
    co_return open;
}

task<bool> connection::serve_sent_ahead()
{
    const std::shared_ptr<pending_request> next = this->sent_ahead.front();
    if (!next->returned) {
        this->stream.expires_never();
        const auto finished = co_await (this->wait_for_response(*next) || this->client.wait_for_close());
        if (finished.index() == 1) {
            co_return false;
        }
    }
    this->sent_ahead.pop_front();
    --this->ready;
    const bool open = co_await this->respond(*next, *next->returned);
    --this->listener->pipelining.in_progress;
    co_return open;
}

task<bool> connection::respond(pending_request& answered, reply& returned)
{
    if (returned.close_without_response) {
        co_return false;
    }
    response& outgoing = returned.response;
    this->listener->expected_response_bytes =
        expect_response_bytes(this->listener->expected_response_bytes, outgoing.body().size());
    std::uint64_t charged_bytes = answered.held_bytes;
    free_bytes(answered.received.body());
    if (!answered.returned) {
        // The response to a request that was sent ahead has been counted when it was complete.
        this->lease.charge(outgoing.body().size());
        charged_bytes += outgoing.body().size();
    }
    outgoing.version(answered.version);
    // Without a length, only the end of the connection marks that of the body.
    const bool ends_with_connection = !answered.is_head && outgoing.need_eof();
    const bool is_last = this->in_progress == 1;
    const bool keep_alive =
        answered.keep_alive && !ends_with_connection && !(this->listener->closing && is_last);
    this->closing = !keep_alive;
    outgoing.keep_alive(keep_alive);
    bool written = false;
    this->lease.enter(client_phase::writing);
    if (answered.is_head) {
        http::response_serializer<http::string_body> head(outgoing);
        this->stream.expires_after(this->listener->limits.write_timeout);
        const auto [ec, written_bytes] = co_await http::async_write_header(this->stream, head, use_task);
        written = !ec;
    } else {
        written = co_await write_response(this->stream, outgoing, this->listener->limits.write_timeout,
                                          this->lease);
    }
    free_bytes(outgoing.body());
    this->lease.release(charged_bytes);
    this->lease.enter(client_phase::handling);
    --this->in_progress;
    this->held_bytes -= answered.held_bytes;
    const bool open = written && keep_alive;
    if (open) {
        this->schedule_read_ahead();
    }
    co_return open;
}

bool connection::closes_before_next() const
{
    return this->closing || this->listener->closing || !this->last_keeps_alive;
}

void connection::schedule_read_ahead()
{
    if (this->buffer.size() == 0 || !this->all_may_overlap || this->read_ahead_scheduled) {
        return;
    }
    this->read_ahead_scheduled = true;
    asio::post(this->listener->loop, [self = this->shared_from_this()] {
        self->read_ahead_scheduled = false;
        self->read_ahead();
    });
}

void connection::read_ahead()
{
    // With nothing in progress, the next request is read as the first one.
    while (this->in_progress > 0 && this->buffer.size() > 0) {
        sent_ahead_facts facts;
        facts.earlier_may_overlap = this->all_may_overlap;
        facts.closes_before = this->closes_before_next();
        facts.in_progress = this->in_progress;
        facts.held_bytes = this->held_bytes;
        facts.expected_bytes =
            this->listener->expected_response_bytes * (this->in_progress - this->ready + 1);
        // Requests that cannot be started whatever they are need not be parsed.
        facts.may_overlap = true;
        start_verdict verdict = decide_start(facts, this->listener->limits.pipelining);
        std::optional<buffered_request> next;
        if (verdict == start_verdict::start) {
            next = parse_buffered(this->buffer, this->listener->limits);
            if (!next) {
                return;
            }
            facts.may_overlap = this->listener->may_overlap(next->received);
            facts.body_bytes = next->received.body().size();
            verdict = decide_start(facts, this->listener->limits.pipelining);
        }
        const pipelining_limits& most = this->listener->limits.pipelining;
        if (verdict == start_verdict::start &&
            !has_room_for(this->lease, this->listener->account, most.max_held_bytes)) {
            verdict = start_verdict::wait_for_room;
        }
        const bool has_room = verdict != start_verdict::wait_for_room;
        if (!has_room && !this->limit_reached) {
            ++this->listener->pipelining.limit_reached;
        }
        this->limit_reached = !has_room;
        if (verdict != start_verdict::start) {
            return;
        }
        this->buffer.consume(next->size);
        this->start_beside(std::move(next->received), next->keep_alive);
    }
}

void connection::start_beside(request received, bool keep_alive)
{
    auto pending = std::make_shared<pending_request>(this->listener);
    pending->keep_alive = keep_alive;
    pending->version = received.version();
    pending->is_head = received.method() == http::verb::head;
    pending->held_bytes = received.body().size();
    pending->received = std::move(received);
    this->last_keeps_alive = keep_alive;
    this->held_bytes += pending->held_bytes;
    this->lease.charge(pending->held_bytes);
    ++this->in_progress;
    ++this->listener->pipelining.started;
    ++this->listener->pipelining.in_progress;
    this->sent_ahead.push_back(pending);
    asio::co_spawn(
        this->listener->loop, handle(this->shared_from_this(), pending),
        asio::bind_cancellation_slot(pending->cancellation.slot(), [pending](std::exception_ptr) {}));
}

task<void> connection::handle(std::shared_ptr<connection> self, std::shared_ptr<pending_request> pending)
{
    reply returned;
    returned.close_without_response = true;
    try {
        returned = co_await self->listener->request_handler(pending->received, self->client);
    } catch (const std::exception& failure) {
        if (!self->closing) {
            log_warning("task-failed", {{"task", "connection"}, {"reason", failure.what()}});
        }
    }
    if (!has_room_for(self->lease, self->listener->account, returned.response.body().size())) {
        // The response would be held until the earlier ones have been written. Closing the connection in its
        // place promises nothing.
        returned.close_without_response = true;
        free_bytes(returned.response.body());
    }
    const std::size_t response_bytes = returned.response.body().size();
    pending->held_bytes += response_bytes;
    self->held_bytes += response_bytes;
    self->lease.charge(response_bytes);
    pending->returned = std::move(returned);
    ++self->ready;
    self->handled.cancel();
}

task<void> connection::wait_for_response(const pending_request& pending)
{
    while (!pending.returned) {
        this->handled.expires_at(no_deadline);
        co_await this->handled.async_wait(use_task);
    }
}

void connection::close()
{
    this->closing = true;
    this->all_may_overlap = false;
    this->client.on_received = nullptr;
    this->listener->pipelining.in_progress -= static_cast<std::uint32_t>(this->sent_ahead.size());
    const auto unanswered = std::exchange(this->sent_ahead, {});
    for (const auto& pending : unanswered) {
        pending->cancellation.emit(asio::cancellation_type::all);
    }
    if (this->buffer.size() > 0) {
        // Closing with unread bytes resets the connection, and the client may lose the last response.
        static_cast<void>(this->client.has_closed());
    }
    error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

} // namespace pomeloloft::net
