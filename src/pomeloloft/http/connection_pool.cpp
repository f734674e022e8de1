#include "pomeloloft/http/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "pomeloloft/http/response_scan.hpp"

namespace pomeloloft {
namespace {

Poco::Timespan to_timespan(milliseconds time)
{
    return Poco::Timespan(std::max<long long>(time.count(), 1) * Poco::Timespan::MILLISECONDS);
}

/// Bytes that the head of a response, with the interim responses before it, may have.
constexpr std::size_t max_head_bytes = 64U << 10U;

/// A socket that records when the remote has closed its side, and stops a response without end. POCO treats
/// the end of the stream as the end of a chunked body even when the last chunk is missing; the flag
/// distinguishes the two cases.
class eof_tracking_socket : public Poco::Net::StreamSocketImpl {
public:
    eof_tracking_socket(std::shared_ptr<bool> eof_flag, std::shared_ptr<receive_limits> response_limits)
        : eof_seen(std::move(eof_flag)), limits(std::move(response_limits))
    {}

    int receiveBytes(void* buffer, int length, int flags) override
    {
        if (steady_clock::now() >= this->limits->deadline) {
            throw Poco::TimeoutException("the response is not complete at its deadline");
        }
        const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (this->limits->reading_head) {
            const auto received = static_cast<std::size_t>(std::max(count, 0));
            if (received > this->limits->head_bytes_left) {
                throw Poco::DataFormatException("the head of the response is too long");
            }
            if (count == 0) {
                // POCO takes the end of the stream for the end of the head.
                throw Poco::DataFormatException("the head of the response is incomplete");
            }
            this->limits->head_bytes_left -= received;
        }
        if (count > 0) {
            const auto checked =
                this->limits->check.add({static_cast<const char*>(buffer), static_cast<std::size_t>(count)});
            if (!checked) {
                throw Poco::DataFormatException(to_string(checked.error()));
            }
        }
        *this->eof_seen = *this->eof_seen || count == 0;
        return count;
    }

private:
    std::shared_ptr<bool> eof_seen;
    std::shared_ptr<receive_limits> limits;
};

} // namespace

client_connection::client_connection(const std::string& address)
    : Poco::Net::HTTPClientSession(Poco::Net::SocketAddress(address))
{
    // The pool decides which connections are reused, so the session must not expire its connection and
    // reconnect by itself.
    constexpr int keep_alive_seconds = 86'400;
    this->setKeepAlive(true);
    this->setKeepAliveTimeout(Poco::Timespan(keep_alive_seconds, 0));
}

result<void> client_connection::open(time_point deadline)
{
    const milliseconds left = remaining(deadline, steady_clock::now());
    try {
        const Poco::Net::SocketAddress address(this->getHost(), this->getPort());
        Poco::Net::StreamSocket opened(new eof_tracking_socket(this->eof_seen, this->limits));
        opened.connect(address, to_timespan(left));
        opened.setNoDelay(true);
        this->attachSocket(opened);
        return success();
    } catch (const Poco::Exception& e) {
        return error{error_code::unavailable, this->getHost(), e.displayText()};
    }
}

void client_connection::set_io_timeout(milliseconds timeout)
{
    // The session's own timeout applies only to sockets that the session connects itself, so it is set on the
    // socket directly.
    this->socket().setReceiveTimeout(to_timespan(timeout));
    this->socket().setSendTimeout(to_timespan(timeout));
}

std::istream& client_connection::receive_head(Poco::Net::HTTPResponse& response, time_point deadline)
{
    this->limits->deadline = deadline;
    this->limits->head_bytes_left = max_head_bytes;
    this->limits->check.begin();
    this->limits->reading_head = true;
    std::istream* body = &this->receiveResponse(response);
    while (is_interim_status(response.getStatus())) {
        // POCO itself skips `100 Continue` only.
        body = &this->receiveResponse(response);
    }
    this->limits->reading_head = false;
    return *body;
}

bool client_connection::is_reusable()
{
    try {
        // Bytes behind a response may have been received together with it.
        return this->connected() && this->buffered() == 0 &&
               !this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::optional<std::string> read_short_body(std::istream& body, std::size_t max_bytes)
{
    std::string out(max_bytes + 1, '\0');
    body.read(out.data(), static_cast<std::streamsize>(out.size()));
    const auto received = static_cast<std::size_t>(body.gcount());
    if (received > max_bytes) {
        return std::nullopt;
    }
    out.resize(received);
    return out;
}

std::unique_ptr<client_connection> connection_pool::take_idle(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    auto& list = this->idle_by_address[address];
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        const bool not_expired = steady_clock::now() - connection->idle_since < this->options.max_idle;
        if (not_expired && connection->is_reusable()) {
            return connection;
        }
        ++this->discarded_count;
    }
    return nullptr;
}

result<pooled_connection> connection_pool::acquire(const std::string& address, time_point deadline)
{
    if (auto idle = this->take_idle(address)) {
        return pooled_connection{std::move(idle), true};
    }
    return this->connect(address, deadline);
}

result<pooled_connection> connection_pool::connect(const std::string& address, time_point deadline) const
{
    auto connection = std::make_unique<client_connection>(address);
    const time_point limit = std::min(deadline, steady_clock::now() + this->options.connect_timeout);
    BOOST_OUTCOME_TRYV(connection->open(limit));
    return pooled_connection{std::move(connection), false};
}

void connection_pool::release(const std::string& address, std::unique_ptr<client_connection> connection)
{
    if (connection->remote_closed() || !connection->is_reusable()) {
        return;
    }
    connection->idle_since = steady_clock::now();
    const std::lock_guard lock(this->mutex);
    auto& list = this->idle_by_address[address];
    if (list.size() < this->options.max_idle_per_address) {
        list.push_back(std::move(connection));
    }
}

void connection_pool::discard(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->idle_by_address.find(address);
    if (found != this->idle_by_address.end()) {
        this->discarded_count += found->second.size();
        this->idle_by_address.erase(found);
    }
}

void connection_pool::sweep()
{
    const time_point cutoff = steady_clock::now() - this->options.max_idle;
    const std::lock_guard lock(this->mutex);
    for (auto& [unused, list] : this->idle_by_address) {
        std::erase_if(list, [cutoff](const auto& connection) {
            return connection->idle_since < cutoff || !connection->is_reusable();
        });
    }
    std::erase_if(this->idle_by_address, [](const auto& item) { return item.second.empty(); });
}

std::size_t connection_pool::idle() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto& [unused, list] : this->idle_by_address) {
        count += list.size();
    }
    return count;
}

std::uint64_t connection_pool::discarded() const
{
    const std::lock_guard lock(this->mutex);
    return this->discarded_count;
}

} // namespace pomeloloft
