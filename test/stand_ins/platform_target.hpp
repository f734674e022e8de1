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
    fails,
    /// Says that it did not run the request.
    sheds,
    /// Runs the request and resets the connection.
    breaks_off,
    /// Runs the request and never answers.
    stays_silent,
    /// Ends the body before its announced length.
    cuts_body,
    /// Leaves the signature out.
    unsigned_answer,
    /// Sends another request's answer first, then the right one.
    stale_answer_first,
    /// Sends a second answer after the right one.
    extra_answer,
    /// Sends a body without a length and closes.
    unframed,
    /// Answers after the head, before the body is in.
    early_answer,
    /// Sends what is not an answer.
    garbage,
};

/// A target on loopback that answers byte by byte as told, and counts what it runs.
class platform_target {
public:
    explicit platform_target(net::event_loop& where, std::string instance_id);

    /// `host:port`.
    [[nodiscard]] std::string address() const;

    /// Runs of a request.
    [[nodiscard]] int runs_of(const std::string& request_id) const;

    /// Runs of all requests.
    [[nodiscard]] int runs() const;

    target_mode mode = target_mode::answers;
    std::string instance;
    milliseconds work{0};
    bool healthy = true;
    /// Requests with this path break the connection whatever the mode; empty for none.
    std::string poison;
    /// Most requests that ran at one time.
    int most_running = 0;
    /// Heads of the requests, as received.
    std::vector<std::string> heads;

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
