#pragma once

#include <functional>

#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::net {

/// Tells whether the client of the requests that are being handled is still connected. Belongs to the
/// connection and is valid while they are handled.
class client_watch {
public:
    /// @param received buffer for what the client sends behind the request; further requests are read from
    /// it.
    client_watch(tcp_stream& client, beast::flat_buffer& received) : stream(client), buffer(received) {}
    client_watch(const client_watch&) = delete;
    client_watch& operator=(const client_watch&) = delete;

    /// Whether the client has closed or reset its connection, by all that has arrived so far. Does not
    /// suspend, so that it can be asked right before a request is passed on.
    [[nodiscard]] bool has_closed();

    /// Returns when the client has closed or reset its connection.
    [[nodiscard]] task<void> wait_for_close();

    /// Called when bytes behind the request have been received into the buffer; may be empty.
    std::function<void()> on_received;

private:
    [[nodiscard]] bool is_buffer_full() const;

    tcp_stream& stream;
    beast::flat_buffer& buffer;
    bool closed = false;
};

} // namespace pomeloloft::net
