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

/// What a target stand-in serves, and how it announces itself to its proxy.
struct target_options {
    std::string address = "127.0.0.1:0";
    std::string service;
    /// Local listener of the target's proxy, as `host:port`; empty disables announcements.
    std::string proxy_local_address;
    /// Concurrent requests it accepts; further ones are rejected with 503.
    std::uint32_t slots = 10;
    /// Time a request takes to execute.
    milliseconds service_time{0};
    /// Additional time per request right after the start. Decreases linearly to 0 over `cold_start_duration`.
    milliseconds cold_start_delay{0};
    milliseconds cold_start_duration{0};
    /// Lease that each announcement requests.
    milliseconds announce_ttl{1500};
};

/// HTTP stand-in for a target: responds with its service, its port and a hash of the request body, and counts
/// executions by request id.
///
/// Request headers: `X-Request-Id` identifies the request; `X-Work-Ms` adds execution time; `X-Answer-Bytes`
/// sets the minimum size of the response body; `X-Crash` ends the process; `X-Cut` aborts the connection
/// after half of the response body; `X-Chunked` selects the chunked transfer encoding.
///
/// Paths: `GET /stand-in/runs?id=N` and `/stand-in/counters`; `/load` and `/healthz` always report an idle,
/// healthy target.
class target_server {
public:
    /// Starts listening and announcing; fails when the address cannot be bound.
    static result<std::unique_ptr<target_server>> start(const target_options& options);
    ~target_server();

    /// Withdraws from the local proxy and waits until the proxy has drained its requests, for at most 60 s.
    /// The server goes on listening.
    void withdraw();

    /// Withdraws, then stops the server with up to 30 s for requests in flight.
    void withdraw_and_stop();

    /// Stops without withdrawing and without waiting for requests in flight.
    void stop();

    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

    /// Number of times the request with this id was executed.
    [[nodiscard]] std::uint64_t runs(const std::string& id);

private:
    explicit target_server(const target_options& server_options);

    void handle(http_request& request, http_response& response);
    void execute(http_request& request, http_response& response);
    void announce_until_stopped();
    bool wait_unless_cancelled(http_request& request, milliseconds time);
    void send_answer(http_request& request, http_response& response, std::uint64_t body_hash,
                     std::size_t body_size);
    [[nodiscard]] milliseconds cold_start_penalty() const;

    target_options options;
    time_point started_at;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> runs_by_id;
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> peak_running{0};
    std::atomic<std::uint64_t> executed{0};
    std::atomic<std::uint64_t> shed_count{0};
    std::atomic<std::uint64_t> cancelled_count{0};
    std::atomic<bool> stopping{false};
    std::unique_ptr<http_server> server;
    std::thread announce_thread;
};

} // namespace pomeloloft::stand_ins
