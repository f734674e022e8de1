#include "pomeloloft/proxy/exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/Socket.h>
#include <Poco/String.h>

namespace pomeloloft {
namespace {

/// A connection without progress for this long in the middle of a body is regarded as failed.
constexpr milliseconds stall_timeout{15'000};
constexpr std::size_t copy_buffer_bytes = 16U << 10U;

Poco::Timespan to_timespan(milliseconds time)
{
    return Poco::Timespan(std::max<long long>(time.count(), 1) * Poco::Timespan::MILLISECONDS);
}

bool has_mesh_prefix(const std::string& name)
{
    constexpr std::size_t prefix_bytes = 13;
    return Poco::icompare(name.substr(0, prefix_bytes), "x-pomeloloft-") == 0;
}

Poco::Net::HTTPRequest make_request(const exchange_request& request)
{
    Poco::Net::HTTPRequest out(request.head->method, request.head->uri, Poco::Net::HTTPRequest::HTTP_1_1);
    for (const auto& [name, value] : request.head->headers) {
        out.add(name, value);
    }
    for (const auto& [name, value] : request.extra_headers) {
        out.set(name, value);
    }
    const auto time_left = remaining(request.deadline, steady_clock::now());
    if (request.deadline != no_deadline) {
        out.set(header::deadline_ms, std::to_string(time_left.count()));
    }
    out.setKeepAlive(true);
    if (request.body->length) {
        if (*request.body->length > 0 || request.head->method == "POST" || request.head->method == "PUT") {
            out.setContentLength64(static_cast<Poco::Int64>(*request.body->length));
        }
    } else {
        out.setChunkedTransferEncoding(true);
    }
    return out;
}

/// Sends the part of a body that follows its prefix.
/// @return false when the caller's body was cut short.
bool send_remaining_body(request_body& body, std::ostream& out)
{
    std::array<char, copy_buffer_bytes> buffer{};
    std::uint64_t sent = body.prefix.size();
    body.source_stream_used = true;
    while (!body.length || sent < *body.length) {
        const std::uint64_t wanted =
            body.length ? std::min<std::uint64_t>(*body.length - sent, buffer.size()) : buffer.size();
        enter_phase(*body.source, client_phase::reading);
        body.source_stream->read(buffer.data(), static_cast<std::streamsize>(wanted));
        enter_phase(*body.source, client_phase::handling);
        const std::streamsize count = body.source_stream->gcount();
        if (count <= 0) {
            break;
        }
        out.write(buffer.data(), count);
        sent += static_cast<std::uint64_t>(count);
    }
    return body.length ? sent == *body.length : !caller_gone(*body.source);
}

/// Sends a body, its prefix from memory first.
/// @return false when the caller's body was cut short.
bool send_body(request_body& body, std::ostream& out)
{
    out.write(body.prefix.data(), static_cast<std::streamsize>(body.prefix.size()));
    return body.complete || send_remaining_body(body, out);
}

enum class wait_outcome : std::uint8_t { readable, deadline, caller_gone, abandoned };

/// Time without a response before `should_keep_waiting` is called for the first time; doubled after each
/// call.
constexpr milliseconds initial_query_delay{250};

/// Waits for the first byte of the response, until the caller disconnects, the deadline passes or
/// `should_keep_waiting` returns false.
wait_outcome wait_for_response(client_connection& connection, const exchange_request& request)
{
    Poco::Net::Socket upstream = connection.socket();
    Poco::Net::Socket caller = static_cast<Poco::Net::HTTPServerRequestImpl&>(*request.body->source).socket();
    bool caller_watched = request.watch_caller;
    milliseconds query_delay = initial_query_delay;
    time_point next_query_at = request.should_keep_waiting ? steady_clock::now() + query_delay : no_deadline;
    while (true) {
        const time_point now = steady_clock::now();
        if (now >= request.deadline) {
            return wait_outcome::deadline;
        }
        if (now >= next_query_at) {
            if (!request.should_keep_waiting()) {
                return wait_outcome::abandoned;
            }
            query_delay *= 2;
            next_query_at = steady_clock::now() + query_delay;
        }
        const milliseconds time_left =
            std::min(remaining(std::min(request.deadline, next_query_at), now), milliseconds{60'000});
        if (!caller_watched) {
            if (upstream.poll(to_timespan(time_left), Poco::Net::Socket::SELECT_READ)) {
                return wait_outcome::readable;
            }
            continue;
        }
        Poco::Net::Socket::SocketList readable{upstream, caller};
        Poco::Net::Socket::SocketList writable;
        Poco::Net::Socket::SocketList failed;
        Poco::Net::Socket::select(readable, writable, failed, to_timespan(time_left));
        if (std::find(readable.begin(), readable.end(), upstream) != readable.end()) {
            return wait_outcome::readable;
        }
        if (readable.empty()) {
            continue;
        }
        if (caller_gone(*request.body->source)) {
            return wait_outcome::caller_gone;
        }
        // The caller has pipelined its next request, which is read after this one. Its socket stays readable,
        // so it can no longer be watched.
        caller_watched = false;
    }
}

exchange_outcome perform_exchange(exchange& ex, const exchange_request& request)
{
    client_connection& connection = *ex.connection;
    connection.set_io_timeout(stall_timeout);
    Poco::Net::HTTPRequest out = make_request(request);
    std::ostream& stream = connection.sendRequest(out);
    if (!send_body(*request.body, stream)) {
        connection.abort();
        return exchange_outcome::body_truncated;
    }
    stream.flush();
    if (!stream.good()) {
        return exchange_outcome::lost;
    }
    switch (wait_for_response(connection, request)) {
    case wait_outcome::deadline:
        return exchange_outcome::deadline;
    case wait_outcome::caller_gone:
        return exchange_outcome::caller_gone;
    case wait_outcome::abandoned:
        return exchange_outcome::abandoned;
    case wait_outcome::readable:
        break;
    }
    ex.body = &connection.receive_head(ex.response, request.deadline);
    return exchange_outcome::responded;
}

dispatch_verdict decide_dispatch(const exchange_request& request)
{
    dispatch_facts facts;
    facts.caller_connected = !request.watch_caller || !caller_gone(*request.body->source);
    facts.quarantined = request.is_quarantined && request.is_quarantined();
    facts.deadline = request.deadline;
    return pomeloloft::decide_dispatch(facts, steady_clock::now());
}

} // namespace

exchange send_request(connection_pool& pool, const exchange_request& request)
{
    exchange ex;
    auto acquired = pool.acquire(request.address, request.deadline);
    if (!acquired) {
        return ex;
    }
    ex.connection = std::move(acquired.value().connection);
    ex.verdict = decide_dispatch(request);
    if (ex.verdict != dispatch_verdict::send) {
        pool.release(request.address, std::move(ex.connection));
        ex.outcome = exchange_outcome::withheld;
        return ex;
    }
    try {
        ex.outcome = perform_exchange(ex, request);
    } catch (const Poco::Exception&) {
        const bool out_of_time = steady_clock::now() >= request.deadline;
        ex.outcome = out_of_time ? exchange_outcome::deadline : exchange_outcome::lost;
    }
    return ex;
}

response_head response_head_from(const exchange& ex, const std::string& method)
{
    response_head head;
    head.status = ex.response.getStatus();
    for (const auto& [name, value] : ex.response) {
        if (!is_hop_by_hop(name) && !has_mesh_prefix(name)) {
            head.headers.emplace_back(name, value);
        }
    }
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    head.bodyless = method == "HEAD" || head.status == no_content || head.status == not_modified;
    if (ex.response.hasContentLength() && head.status != no_content) {
        head.length = static_cast<std::uint64_t>(ex.response.getContentLength64());
    }
    return head;
}

relay_outcome relay_body(exchange& ex, connection_pool& pool, const std::string& address,
                         response_writer& writer)
{
    std::array<char, copy_buffer_bytes> buffer{};
    const response_head head = response_head_from(ex, writer.caller().getMethod());
    std::uint64_t received = 0;
    bool accepted = true;
    while (accepted && !head.bodyless) {
        ex.body->read(buffer.data(), buffer.size());
        const std::streamsize count = ex.body->gcount();
        if (count <= 0) {
            break;
        }
        received += static_cast<std::uint64_t>(count);
        accepted = writer.write(buffer.data(), static_cast<std::size_t>(count));
    }
    const bool size_matches = head.bodyless || !head.length || received == *head.length;
    const bool ended_early = !head.bodyless && !head.length && ex.connection->remote_closed();
    if (!accepted || !size_matches || ended_early || ex.connection->networkException() != nullptr) {
        ex.connection->abort();
        writer.abort_body();
        return relay_outcome::truncated;
    }
    writer.finish();
    if (ex.response.getKeepAlive()) {
        pool.release(address, std::move(ex.connection));
    }
    return relay_outcome::completed;
}

void discard_body(exchange& ex, connection_pool& pool, const std::string& address)
{
    std::array<char, copy_buffer_bytes> buffer{};
    ex.body->read(buffer.data(), buffer.size());
    if (ex.body->eof() && !ex.connection->remote_closed() && ex.response.getKeepAlive()) {
        pool.release(address, std::move(ex.connection));
    }
}

} // namespace pomeloloft
