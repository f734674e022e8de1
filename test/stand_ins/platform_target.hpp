#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pomeloloft/net/client.hpp"

namespace pomeloloft {

/// What a target does with requests.
enum class target_mode : std::uint8_t {
    answers,
    /// Answers 500.
    responds_500,
    /// Says that it did not run the request.
    sheds_load,
    /// Runs the request and resets the connection.
    closes_without_response,
    /// Runs the request and never answers.
    never_responds,
    /// Ends the body before its announced length.
    truncates_body,
    /// Leaves the signature out.
    unsigned_response,
    /// Sends another request's answer first, then the right one.
    stale_response_first,
    /// Sends a second answer after the right one.
    extra_response,
    /// Sends a body without a length and closes.
    close_delimited_body,
    /// Answers after the head, before the body is in.
    early_response,
    /// Sends what is not an answer.
    invalid_http,
};

/// A target on loopback that answers byte by byte as told, and counts what it runs.
class platform_target {
public:
    explicit platform_target(net::event_loop& where, std::string instance_id);

    /// `host:port`.
    [[nodiscard]] std::string address() const;

    /// Runs of a request.
    [[nodiscard]] int run_count(const std::string& request_id) const;

    /// Runs of all requests.
    [[nodiscard]] int runs() const;

    target_mode mode = target_mode::answers;
    std::string instance;
    milliseconds service_time{0};
    bool healthy = true;
    /// Requests with this path break the connection whatever the mode; empty for none.
    std::string poison;
    /// Most requests that ran at one time.
    int peak_running = 0;
    /// Heads of the requests, as received.
    std::vector<std::string> request_heads;

private:
    static net::task<void> accept(platform_target* self);
    static net::task<void> serve(platform_target* self, net::tcp_stream stream);
    net::task<bool> serve_one(net::tcp_stream& stream, std::string& buffer);

    net::event_loop& loop;
    net::tcp_acceptor acceptor;
    std::map<std::string, int> run_counts;
    int running = 0;
};

} // namespace pomeloloft
