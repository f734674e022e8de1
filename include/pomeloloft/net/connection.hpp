#pragma once

#include <list>
#include <memory>
#include <optional>

#include <boost/asio/cancellation_signal.hpp>

#include "pomeloloft/net/server.hpp"
#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {

/// A client's connection to a listener. Requests that were sent before the earlier ones were answered are
/// handled at the same time if the listener's `may_overlap` allows it; responses are written in the order of
/// the requests.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<server> owner, tcp_stream accepted);

    /// Handles the requests of the connection until it closes.
    static task<void> serve(std::shared_ptr<connection> self);

private:
    /// A request whose response has not been written.
    struct pending_request;

    task<bool> serve_next();
    task<bool> serve_first_unread();
    task<bool> serve_sent_ahead();
    /// Writes the response to the earliest request in progress.
    /// @return whether the connection can carry further requests.
    task<bool> respond(pending_request& answered, reply& returned);

    /// Starts the requests in the buffer that may be handled beside those in progress, once the current step
    /// of the caller has ended.
    void schedule_read_ahead();
    void read_ahead();
    void start_beside(request received, bool keep_alive);
    [[nodiscard]] bool closes_before_next() const;

    static task<void> handle(std::shared_ptr<connection> self, std::shared_ptr<pending_request> pending);
    task<void> wait_for_response(const pending_request& pending);

    /// Cancels the requests in progress and closes the connection.
    void close();

    std::shared_ptr<server> listener;
    tcp_stream stream;
    client_lease lease;
    beast::flat_buffer buffer;
    client_watch client;
    /// Requests in progress that were started beside earlier ones, in their order.
    std::list<std::shared_ptr<pending_request>> sent_ahead;
    /// Expires when a request of `sent_ahead` has been handled.
    timer handled;
    std::uint32_t in_progress = 0;
    /// Those of `sent_ahead` that have been handled.
    std::uint32_t ready = 0;
    std::size_t held_bytes = 0;
    /// Whether each request in progress may be handled beside others.
    bool all_may_overlap = false;
    /// Whether the last request in progress leaves the connection open.
    bool last_keeps_alive = true;
    bool limit_reached = false;
    bool read_ahead_scheduled = false;
    /// The last response is being written, or the connection has ended.
    bool closing = false;
};

} // namespace pomeloloft::net
