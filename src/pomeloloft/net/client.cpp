#include "pomeloloft/net/client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "pomeloloft/http/response_scan.hpp"

namespace pomeloloft::net {
namespace {

using namespace asio::experimental::awaitable_operators;

/// Bodies up to this size fit into the socket's buffers, so writing them does not block even when the remote
/// does not read. Larger ones are written while watching for an early response.
constexpr std::size_t max_buffered_body_bytes = 8U << 10U;
/// A connection is not reused within this time before the remote is expected to close it as idle.
constexpr milliseconds expiry_margin{1000};
/// Longest head of a response that is accepted.
constexpr std::size_t max_head_bytes = 8U << 10U;
/// Responses to other requests that are skipped before the exchange fails.
constexpr int max_skipped_responses = 4;
/// Interim responses (1xx) to one request that are skipped before the exchange fails.
constexpr int max_interim_responses = 8;

using response_parser = http::response_parser<http::string_body>;

exchange_end exchange_end_for(const error_code& ec)
{
    if (ec == beast::error::timeout) {
        return exchange_end::timed_out;
    }
    if (ec == asio::error::operation_aborted) {
        return exchange_end::cancelled;
    }
    return is_malformed(ec) ? exchange_end::malformed : exchange_end::lost;
}

using request_writer = http::request_serializer<http::string_body>;

task<void> write_rest(connection& conn, request_writer& writer, error_code& ended)
{
    const auto [ec, written_bytes] = co_await http::async_write(conn.stream, writer, use_task);
    ended = ec;
}

/// Writes the rest of a request, and stops when the remote responds first.
/// @return `operation_aborted` if it stopped. An error of the write is returned also if the remote has
/// responded at the same time.
task<error_code> write_until_response(connection& conn, request_writer& writer)
{
    error_code ended = asio::error::operation_aborted;
    co_await (write_rest(conn, writer, ended) ||
              conn.stream.socket().async_wait(tcp::socket::wait_read, use_task));
    co_return ended;
}

/// The remote's idle timeout from the header `Keep-Alive: timeout=SECONDS`.
std::optional<milliseconds> keep_alive_timeout(const response& received)
{
    const std::string_view text = received[http::field::keep_alive];
    constexpr std::string_view key = "timeout=";
    const auto key_at = text.find(key);
    if (key_at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* begin = text.data() + key_at + key.size();
    const auto parsed = std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

struct response_read_result {
    exchange_end end = exchange_end::lost;
    net::response response;
    bool started = false;
    bool keep_alive = false;
    /// Whether the end of the connection marked that of the body.
    bool ends_with_connection = false;
};

/// Receives the head of a response into the connection's buffer and checks it.
/// @return `answered` if the buffer begins with a valid head.
task<exchange_end> receive_head(connection& conn)
{
    for (;;) {
        const auto received = conn.buffer.cdata();
        const head_scan scanned =
            scan_response_head({static_cast<const char*>(received.data()), received.size()});
        if (scanned.defect) {
            co_return exchange_end::malformed;
        }
        if (scanned.size > 0) {
            co_return exchange_end::answered;
        }
        if (received.size() >= max_head_bytes) {
            co_return exchange_end::malformed;
        }
        const std::size_t wanted = beast::read_size(conn.buffer, max_head_bytes);
        const auto [ec, read_bytes] =
            co_await conn.stream.async_read_some(conn.buffer.prepare(wanted), use_task);
        if (ec) {
            co_return exchange_end_for(ec);
        }
        conn.buffer.commit(read_bytes);
    }
}

/// Reads one response, which may be an interim one (1xx).
task<response_read_result> read_one_response(connection& conn, const request& outgoing,
                                             const exchange_options& options)
{
    response_read_result out;
    out.end = co_await receive_head(conn);
    out.started = conn.buffer.size() > 0;
    if (out.end != exchange_end::answered) {
        co_return out;
    }
    response_parser parser;
    parser.header_limit(max_head_bytes);
    parser.body_limit(options.max_body_bytes);
    parser.skip(outgoing.method() == http::verb::head);
    const auto [ec, read] = co_await http::async_read(conn.stream, conn.buffer, parser, use_task);
    if (ec) {
        out.end = exchange_end_for(ec);
        co_return out;
    }
    out.keep_alive = parser.keep_alive();
    out.ends_with_connection = parser.need_eof();
    out.response = parser.release();
    co_return out;
}

bool is_interim(const response_read_result& read)
{
    return read.end == exchange_end::answered &&
           to_status_class(read.response.result()) == http::status_class::informational;
}

/// Reads the final response; interim ones are skipped.
task<response_read_result> read_final_response(connection& conn, const request& outgoing,
                                               const exchange_options& options)
{
    response_read_result read;
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        read = co_await read_one_response(conn, outgoing, options);
        if (!is_interim(read)) {
            co_return read;
        }
    }
    read.end = exchange_end::malformed;
    co_return read;
}

pomeloloft::error_code error_code_for(exchange_end end)
{
    switch (end) {
    case exchange_end::timed_out:
        return pomeloloft::error_code::timeout;
    case exchange_end::cancelled:
        return pomeloloft::error_code::cancelled;
    default:
        return pomeloloft::error_code::unavailable;
    }
}

error connect_error(const tcp::endpoint& address, const error_code& ec)
{
    return {error_code_for(exchange_end_for(ec)), address.address().to_string(), ec.message()};
}

error exchange_error(const tcp::endpoint& address, exchange_end end)
{
    return {error_code_for(end), address.address().to_string(),
            std::string(name_of(exchange_end_names, end))};
}

bool is_response_to(const response& received, const request& outgoing, const std::string& id_header)
{
    return id_header.empty() || received[id_header] == outgoing[id_header];
}

} // namespace

connection::~connection()
{
    if (this->in_exchange) {
        // A linger time of 0 resets the connection on close. Setting it fails only on a closed socket.
        error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

connection_ptr client_pool::take_idle(const tcp::endpoint& address, milliseconds max_idle)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const time_point now = steady_clock::now();
    auto& list = found->second;
    while (!list.empty()) {
        connection_ptr last = std::move(list.back());
        list.pop_back();
        const bool not_expired = now - last->idle_since < max_idle && now + expiry_margin < last->expires_at;
        if (not_expired && is_idle_and_open(last->stream)) {
            last->reused = true;
            return last;
        }
    }
    return nullptr;
}

task<result<connection_ptr>> client_pool::connect(tcp::endpoint address, time_point deadline)
{
    auto opened = std::make_unique<connection>(this->loop.get_executor());
    const time_point now = steady_clock::now();
    opened->stream.expires_at(std::min(deadline, now + this->options.connect_timeout));
    const auto [ec] = co_await opened->stream.async_connect(address, use_task);
    if (ec) {
        co_return connect_error(address, ec);
    }
    configure_socket(opened->stream, this->options.liveness);
    co_return opened;
}

task<result<connection_ptr>> client_pool::acquire(tcp::endpoint address, time_point deadline)
{
    co_return co_await this->acquire(address, deadline, this->options.max_idle);
}

task<result<connection_ptr>> client_pool::acquire(tcp::endpoint address, time_point deadline,
                                                  milliseconds max_idle)
{
    connection_ptr held = this->take_idle(address, max_idle);
    if (held) {
        co_return held;
    }
    co_return co_await this->connect(address, deadline);
}

task<result<response>> client_pool::call(tcp::endpoint address, request outgoing, time_point deadline)
{
    auto connected = co_await this->acquire(address, deadline);
    if (!connected) {
        co_return connected.error();
    }
    exchange_options call_options;
    call_options.deadline = deadline;
    exchange_result ended = co_await exchange(*connected.value(), outgoing, call_options);
    if (ended.end != exchange_end::answered) {
        this->discard(address);
        co_return exchange_error(address, ended.end);
    }
    if (ended.reusable) {
        this->release(address, std::move(connected.value()));
    }
    co_return std::move(ended.response);
}

void client_pool::release(const tcp::endpoint& address, connection_ptr used)
{
    auto& list = this->idle[address];
    if (list.size() >= this->options.max_idle_per_address) {
        return;
    }
    used->idle_since = steady_clock::now();
    used->stream.expires_never();
    list.push_back(std::move(used));
}

void client_pool::sweep()
{
    const time_point now = steady_clock::now();
    for (auto& [address, list] : this->idle) {
        std::erase_if(list, [this, now](const connection_ptr& held) {
            return now - held->idle_since >= this->options.max_idle ||
                   now + expiry_margin >= held->expires_at || !is_idle_and_open(held->stream);
        });
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t client_pool::idle_connections() const
{
    std::size_t count = 0;
    for (const auto& [address, list] : this->idle) {
        count += list.size();
    }
    return count;
}

namespace {

/// How writing a request ended.
struct write_result {
    /// The request was written completely, or the remote refused its body.
    bool complete = false;
    bool timed_out = false;
    /// The connection failed. The system reports this once, so that reading may then find a normal end of the
    /// connection behind the bytes that were received.
    bool failed = false;
    bool body_withheld = false;
    /// The response of a remote that refused the body.
    std::optional<response_read_result> refusal;
};

/// Records how the last write of a request ended.
void record_write_end(write_result& out, const error_code& ec)
{
    out.complete = !ec;
    out.timed_out = ec == beast::error::timeout;
    out.failed = ec && ec != asio::error::operation_aborted;
}

/// Writes the header, and then the body if the remote sends `100 Continue`.
task<write_result> write_after_continue(connection& conn, const request& outgoing,
                                        const exchange_options& options, request_writer& writer)
{
    write_result out;
    out.body_withheld = true;
    conn.stream.expires_at(std::min(options.deadline, options.continue_deadline));
    const auto [ec, written_bytes] = co_await http::async_write_header(conn.stream, writer, use_task);
    if (ec) {
        record_write_end(out, ec);
        co_return out;
    }
    response_read_result first = co_await read_one_response(conn, outgoing, options);
    if (!is_interim(first)) {
        out.timed_out = first.end == exchange_end::timed_out;
        // The remote expects no body after a refusal, so the next request can follow on this connection.
        out.complete = true;
        out.refusal = std::move(first);
        co_return out;
    }
    out.body_withheld = false;
    conn.stream.expires_at(options.deadline);
    const error_code body_ec = co_await write_until_response(conn, writer);
    record_write_end(out, body_ec);
    co_return out;
}

task<write_result> write_request(connection& conn, const request& outgoing, const exchange_options& options)
{
    request_writer writer(outgoing);
    write_result out;
    if (outgoing.body().size() > max_buffered_body_bytes) {
        if (options.wait_for_continue) {
            out = co_await write_after_continue(conn, outgoing, options, writer);
            co_return out;
        }
        const error_code body_ec = co_await write_until_response(conn, writer);
        record_write_end(out, body_ec);
        co_return out;
    }
    const auto [ec, written_bytes] = co_await http::async_write(conn.stream, writer, use_task);
    record_write_end(out, ec);
    co_return out;
}

} // namespace

task<exchange_result> exchange(connection& conn, const request& outgoing, exchange_options options)
{
    exchange_result out;
    conn.in_exchange = true;
    conn.stream.expires_at(options.deadline);
    write_result written = co_await write_request(conn, outgoing, options);
    out.body_withheld = written.body_withheld;
    if (written.timed_out) {
        out.end = exchange_end::timed_out;
        co_return out;
    }
    // A remote may respond and close before it has read the complete request, so the response is read even
    // when the request could not be written.
    for (int skipped = 0; skipped <= max_skipped_responses; ++skipped) {
        response_read_result read;
        if (written.refusal) {
            read = std::move(*written.refusal);
            written.refusal.reset();
        } else {
            read = co_await read_final_response(conn, outgoing, options);
        }
        out.end = read.end;
        out.response_started = out.response_started || read.started;
        if (read.end != exchange_end::answered) {
            co_return out;
        }
        if (written.failed && read.ends_with_connection) {
            out.end = exchange_end::lost;
            co_return out;
        }
        if (!is_response_to(read.response, outgoing, options.id_header)) {
            out.end = exchange_end::malformed;
            continue;
        }
        out.response = std::move(read.response);
        out.reusable = written.complete && skipped == 0 && read.keep_alive && conn.buffer.size() == 0;
        conn.in_exchange = !out.reusable;
        if (const auto idle_timeout = keep_alive_timeout(out.response)) {
            conn.expires_at = steady_clock::now() + *idle_timeout;
        }
        co_return out;
    }
    co_return out;
}

} // namespace pomeloloft::net
