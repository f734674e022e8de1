#include "pomeloloft/net/client_watch.hpp"

#include <sys/socket.h>

#include <cerrno>

#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {
namespace {

/// Bytes read at a time behind a request.
constexpr std::size_t read_block_bytes = 4U << 10U;

bool would_block(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

} // namespace

bool client_watch::is_buffer_full() const
{
    return this->buffer.size() + read_block_bytes > max_buffered_bytes;
}

bool client_watch::has_closed()
{
    const std::size_t buffered = this->buffer.size();
    while (!this->closed && !this->is_buffer_full()) {
        const auto block = this->buffer.prepare(read_block_bytes);
        const auto received =
            ::recv(this->stream.socket().native_handle(), block.data(), block.size(), MSG_DONTWAIT);
        if (received < 0 && would_block(errno)) {
            break;
        }
        if (received <= 0) {
            this->closed = true;
            break;
        }
        this->buffer.commit(static_cast<std::size_t>(received));
    }
    if (!this->closed && this->buffer.size() > buffered && this->on_received) {
        this->on_received();
    }
    return this->closed;
}

task<void> client_watch::wait_for_close()
{
    while (!this->is_buffer_full()) {
        const auto [ec] = co_await this->stream.socket().async_wait(tcp::socket::wait_read, use_task);
        if (ec || !this->stream.socket().is_open()) {
            co_return;
        }
        const bool gone = this->has_closed();
        if (gone) {
            co_return;
        }
    }
    // What the client has pipelined fills the buffer. A close behind it is detected when it is read.
    timer never(co_await asio::this_coro::executor);
    never.expires_at(no_deadline);
    co_await never.async_wait(use_task);
}

} // namespace pomeloloft::net
