#include "pomeloloft/net/client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace pomeloloft::net {
namespace {

using namespace asio::experimental::awaitable_operators;

/// Bodies up to this size fit the socket's buffers, so writing them cannot block on a remote that does not
/// read.
constexpr std::size_t max_unwatched_body_bytes = 8U << 10U;
/// Connections are not reused this close to the end of the remote's idle time.
constexpr milliseconds expiry_margin{1000};
/// Answers to other requests that are skipped before the connection is given up.
constexpr int max_skipped_answers = 4;

using response_parser = http::response_parser<http::string_body>;

exchange_end end_of(const error_code& failed)
{
    if (failed == beast::error::timeout) {
        return exchange_end::timed_out;
    }
    if (failed == asio::error::operation_aborted) {
        return exchange_end::cancelled;
    }
    return is_malformed(failed) ? exchange_end::malformed : exchange_end::lost;
}

using request_writer = http::request_serializer<http::string_body>;

/// Writes what is left of a request; an answer that comes first ends the writing.
task<bool> write_watching(connection& on, request_writer& writer)
{
    auto finished = co_await (http::async_write(on.stream, writer, use_task) ||
                              on.stream.socket().async_wait(tcp::socket::wait_read, use_task));
    if (finished.index() == 1) {
        co_return false;
    }
    co_return !std::get<0>(std::get<0>(finished));
}

/// The idle time told by `Keep-Alive: timeout=SECONDS`.
std::optional<milliseconds> told_idle_time(const response& answer)
{
    const std::string_view text = answer[http::field::keep_alive];
    constexpr std::string_view key = "timeout=";
    const auto found = text.find(key);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* begin = text.data() + found + key.size();
    const auto parsed = std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return milliseconds(seconds * 1000);
}

struct read_result {
    exchange_end end = exchange_end::lost;
    response answer;
    bool begun = false;
    bool keep_alive = false;
};

/// Reads one answer, which may be an interim one.
task<read_result> read_any_answer(connection& on, const request& sent, const exchange_options& options)
{
    read_result out;
    response_parser parser;
    parser.body_limit(options.max_body_bytes);
    parser.skip(sent.method() == http::verb::head);
    const auto [failed, read] = co_await http::async_read(on.stream, on.buffer, parser, use_task);
    out.begun = parser.got_some();
    if (failed) {
        out.end = end_of(failed);
        co_return out;
    }
    out.end = exchange_end::answered;
    out.keep_alive = parser.keep_alive();
    out.answer = parser.release();
    co_return out;
}

bool is_interim(const read_result& read)
{
    return read.end == exchange_end::answered &&
           to_status_class(read.answer.result()) == http::status_class::informational;
}

task<read_result> read_answer(connection& on, const request& sent, const exchange_options& options)
{
    for (;;) {
        read_result read = co_await read_any_answer(on, sent, options);
        if (!is_interim(read)) {
            co_return read;
        }
    }
}

pomeloloft::error_code code_of(exchange_end end)
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

error connect_error(const tcp::endpoint& address, const error_code& failed)
{
    return {code_of(end_of(failed)), address.address().to_string(), failed.message()};
}

error exchange_error(const tcp::endpoint& address, exchange_end end)
{
    return {code_of(end), address.address().to_string(), std::string(name_of(exchange_end_names, end))};
}

bool is_for(const response& answer, const request& sent, const std::string& id_header)
{
    return id_header.empty() || answer[id_header] == sent[id_header];
}

} // namespace

connection::~connection()
{
    if (this->in_exchange) {
        // Fails only on a socket that is closed already.
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
        const bool fresh = now - last->idle_since < max_idle && now + expiry_margin < last->expires_at;
        if (fresh && is_idle_and_open(last->stream)) {
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
    const auto [failed] = co_await opened->stream.async_connect(address, use_task);
    if (failed) {
        co_return connect_error(address, failed);
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

task<result<response>> client_pool::call(tcp::endpoint address, request sent, time_point deadline)
{
    auto connected = co_await this->acquire(address, deadline);
    if (!connected) {
        co_return connected.error();
    }
    exchange_options exchange_limits;
    exchange_limits.deadline = deadline;
    exchange_result ended = co_await exchange(*connected.value(), sent, exchange_limits);
    if (ended.end != exchange_end::answered) {
        this->discard(address);
        co_return exchange_error(address, ended.end);
    }
    if (ended.reusable) {
        this->release(address, std::move(connected.value()));
    }
    co_return std::move(ended.answer);
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
                   now + expiry_margin >= held->expires_at;
        });
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

namespace {

/// What has become of the writing of a request.
struct write_result {
    /// The whole request was written.
    bool whole = false;
    bool timed_out = false;
    bool body_withheld = false;
    /// The answer of a remote that does not want the body.
    std::optional<read_result> refusal;
};

/// Writes the header, and the body once the remote has agreed to take it.
task<write_result> write_on_agreement(connection& on, const request& sent, const exchange_options& options,
                                      request_writer& writer)
{
    write_result out;
    out.body_withheld = true;
    on.stream.expires_at(std::min(options.deadline, options.continue_deadline));
    const auto [failed, count] = co_await http::async_write_header(on.stream, writer, use_task);
    if (failed) {
        out.timed_out = failed == beast::error::timeout;
        co_return out;
    }
    read_result first = co_await read_any_answer(on, sent, options);
    if (!is_interim(first)) {
        out.timed_out = first.end == exchange_end::timed_out;
        // The remote knows that no body follows a refusal, so the next request may.
        out.whole = true;
        out.refusal = std::move(first);
        co_return out;
    }
    out.body_withheld = false;
    on.stream.expires_at(options.deadline);
    out.whole = co_await write_watching(on, writer);
    co_return out;
}

task<write_result> write_request(connection& on, const request& sent, const exchange_options& options)
{
    request_writer writer(sent);
    write_result out;
    if (sent.body().size() > max_unwatched_body_bytes) {
        if (options.wait_for_continue) {
            out = co_await write_on_agreement(on, sent, options, writer);
            co_return out;
        }
        out.whole = co_await write_watching(on, writer);
        co_return out;
    }
    const auto [failed, count] = co_await http::async_write(on.stream, writer, use_task);
    out.whole = !failed;
    out.timed_out = failed == beast::error::timeout;
    co_return out;
}

} // namespace

task<exchange_result> exchange(connection& on, const request& sent, exchange_options options)
{
    exchange_result out;
    on.in_exchange = true;
    on.stream.expires_at(options.deadline);
    write_result written = co_await write_request(on, sent, options);
    out.body_withheld = written.body_withheld;
    if (written.timed_out) {
        out.end = exchange_end::timed_out;
        co_return out;
    }
    // A remote may answer and close before it has read the request: whatever was answered is still read.
    for (int skipped = 0; skipped <= max_skipped_answers; ++skipped) {
        read_result read;
        if (written.refusal) {
            read = std::move(*written.refusal);
            written.refusal.reset();
        } else {
            read = co_await read_answer(on, sent, options);
        }
        out.end = read.end;
        out.response_started = out.response_started || read.begun;
        if (read.end != exchange_end::answered) {
            co_return out;
        }
        if (!is_for(read.answer, sent, options.id_header)) {
            out.end = exchange_end::malformed;
            continue;
        }
        out.answer = std::move(read.answer);
        out.reusable = written.whole && skipped == 0 && read.keep_alive && on.buffer.size() == 0;
        on.in_exchange = !out.reusable;
        if (const auto told = told_idle_time(out.answer)) {
            on.expires_at = steady_clock::now() + *told;
        }
        co_return out;
    }
    co_return out;
}

} // namespace pomeloloft::net
