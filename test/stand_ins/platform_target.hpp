#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pomeloloft/net/client.hpp"

namespace pomeloloft {

/// How the target handles requests.
enum class target_mode : std::uint8_t {
    /// Answers 200 with a valid signature.
    answers,
    /// Answers 500.
    responds_500,
    /// Answers 503 and declares that the request was not executed.
    sheds_load,
    /// Executes the request, then closes the connection without a response.
    closes_without_response,
    /// Executes the request and withholds the response for 60 s.
    never_responds,
    /// Closes the connection before the body reaches its Content-Length.
    truncates_body,
    /// Omits the signature header.
    unsigned_response,
    /// Sends a response with another request's id before the correct one.
    stale_response_first,
    /// Sends a second response after the correct one.
    extra_response,
    /// Sends a body without Content-Length that ends when the connection closes.
    close_delimited_body,
    /// Responds after the request head, without waiting for the body.
    early_response,
    /// Sends bytes that are not an HTTP response.
    invalid_http,
    /// Sends a response head whose headers do not end until the connection closes.
    endless_head,
    /// Sends interim responses until the connection closes.
    endless_interim_responses,
    /// Sends a chunked body that does not end until the connection closes.
    endless_body,
    /// Sends trailers that do not end until the connection closes.
    endless_trailers,
    /// Sends a complete response and then further bytes until the connection closes.
    endless_bytes_after_response,
    /// Rejects the first arrival of each request, and sends that refusal once more when the next request
    /// arrives on the connection, before its response.
    repeats_refusal,
    /// Sends the first `head_bytes` bytes of a response and closes the connection.
    truncates_head,
    /// Sends `raw_response`.
    sends_raw_response,
    /// Sends `raw_response` before it has read the body, and resets the connection at once.
    resets_after_raw_response,
};

/// Stand-in for a target of the platform on a loopback port. Writes raw HTTP bytes, which may be invalid, and
/// counts the requests it executes.
class platform_target {
public:
    explicit platform_target(net::event_loop& io_loop, std::string instance_id);

    /// `host:port` of the listener.
    [[nodiscard]] std::string address() const;

    /// Number of times the request was executed.
    [[nodiscard]] int run_count(const std::string& request_id) const;

    /// Number of executions of all requests.
    [[nodiscard]] int runs() const;

    /// Number of requests being executed.
    [[nodiscard]] int running() const { return this->running_count; }

    /// When a request arrived for the last time; nothing if it did not.
    [[nodiscard]] std::optional<time_point> arrived_at(const std::string& request_id) const;

    /// Ends the target: closes its listener and all its connections for `downtime`.
    void crash();

    /// Ids of the requests received with a path.
    [[nodiscard]] std::vector<std::string> request_ids(const std::string& path) const;

    /// Number of request heads received with a path.
    [[nodiscard]] int arrivals(const std::string& path) const;

    target_mode mode = target_mode::answers;
    /// Instance id, reported by the health check and in response bodies.
    std::string instance;
    /// Time a request takes to execute.
    milliseconds service_time{0};
    /// Least size of the body of `target_mode::answers`.
    std::size_t answer_bytes = 0;
    /// Whether the health check answers 200 rather than 503.
    bool healthy = true;
    /// Requests with this path get `closes_without_response` whatever the mode; empty disables this.
    std::string poison;
    /// Requests with this path end the target: its listener and all its connections are closed for
    /// `downtime`. Empty disables this.
    std::string crash_path;
    /// Only requests of this caller's service end the target; empty for those of any caller.
    std::string crash_caller;
    milliseconds downtime{1500};
    /// Number of times the target has ended.
    int crashes = 0;
    /// Response that `truncates_head` sends the beginning of, without the request id header.
    std::string truncated_response;
    std::size_t head_bytes = 0;
    /// Bytes in which `{id}` stands for the id of the request.
    std::string raw_response;
    /// Bytes that `sends_raw_response` sends after it until the connection closes; empty for none.
    std::string raw_repeated;
    /// Called before and after `resets_after_raw_response` sends its bytes and the reset.
    std::function<void()> before_reset;
    std::function<void()> after_reset;
    /// Highest number of requests executed concurrently.
    int peak_running = 0;
    /// Request heads (request line and headers) as received.
    std::vector<std::string> request_heads;

private:
    static net::task<void> accept_connections(platform_target* self);
    static net::task<void> serve_connection(platform_target* self, net::tcp_stream stream);
    static net::task<void> restart_after_downtime(platform_target* self);
    net::task<bool> serve_request(net::tcp_stream& stream, std::string& buffer, std::string& refusal);
    void send_and_reset(net::tcp_stream& stream, const std::string& bytes) const;

    net::event_loop& loop;
    net::tcp_acceptor acceptor;
    net::tcp::endpoint listen_address;
    std::set<net::tcp_stream*> connections;
    std::set<std::string> refused_ids;
    std::map<std::string, time_point> arrivals_by_request_id;
    std::map<std::string, int> runs_by_request_id;
    int running_count = 0;
};

} // namespace pomeloloft
