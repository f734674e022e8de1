#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/http/server.hpp"

namespace pomeloloft::stand_ins {

/// What a target stand-in serves and announces.
struct target_options {
    std::string address = "127.0.0.1:0";
    std::string service;
    /// Local listener of the proxy beside it; empty announces nothing.
    std::string proxy_local_address;
    /// Requests it sheds beyond, with 503.
    std::uint32_t slots = 10;
    milliseconds service_time{0};
    /// Extra work per request that shrinks to nothing over the cold time after the start.
    milliseconds cold_start_delay{0};
    milliseconds cold_start_duration{0};
    milliseconds announce_ttl{1500};
};

/// A stand-in for a target: answers with its name and a hash of the body, and counts runs by request id.
///
/// Request headers: `X-Request-Id` counted; `X-Work-Ms` extra time; `X-Answer-Bytes` size of the answer;
/// `X-Crash` ends the process; `X-Cut` cuts the answer half way; `X-Chunked` answers in chunks.
/// `GET /stand-in/runs?id=N`, `/stand-in/counters`, `/load` and `/healthz`, which always claim to be idle and
/// well.
class target_server {
public:
    /// Starts to listen and to announce.
    static result<std::unique_ptr<target_server>> start(const target_options& options);
    ~target_server();

    /// Withdraws from the proxy beside, which answers once all requests are over; goes on listening.
    void withdraw();

    /// Withdraws, then stops.
    void withdraw_and_stop();

    /// Stops at once.
    void stop();

    /// The port in use.
    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

    /// Runs of a request id.
    [[nodiscard]] std::uint64_t runs(const std::string& id);

private:
    explicit target_server(const target_options& limits);

    void handle(http_request& request, http_response& response);
    void run(http_request& request, http_response& response);
    void announce_until_stopped();
    bool work_or_cancelled(http_request& request, milliseconds time);
    void send_answer(http_request& request, http_response& response, std::uint64_t body_hash,
                     std::size_t body_size);
    [[nodiscard]] milliseconds cold_penalty() const;

    target_options options;
    time_point started_at;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> runs_by_id;
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> peak_running{0};
    std::atomic<std::uint64_t> total{0};
    std::atomic<std::uint64_t> shed{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<bool> stopping{false};
    std::unique_ptr<http_server> server;
    std::thread announcer;
};

} // namespace pomeloloft::stand_ins
