#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/http/server.hpp"

namespace pomeloloft::stand_ins {

/// Listener address and limits of the log stand-in.
struct log_options {
    std::string address = "127.0.0.1:0";
    milliseconds retention{86'400'000};
    std::uint32_t appends_per_second = 400;
    std::size_t max_record_bytes = 1U << 20U;
};

/// HTTP stand-in for the log: named in-memory streams with offsets, long polling, age-based retention and
/// injected faults.
///
/// `POST /v1/streams/S/records`, `GET /v1/streams/S/records?from&max&wait_ms`, `GET /v1/streams/S`,
/// `PUT /v1/faults` with `{"outage": bool, "delay_ms": n, "lose_answers": n}`, `GET /v1/counters`.
class log_server {
public:
    /// Starts listening; fails when the address cannot be bound.
    static result<std::unique_ptr<log_server>> start(const log_options& options);

    /// Ends all pending long polls and stops listening.
    void stop();

    /// Faults to inject. A test can change them while the server runs, by `set_faults` or `PUT /v1/faults`; a
    /// field that the request omits returns to its default. The options are fixed when the server starts.
    struct fault_state {
        /// Every stream request is answered with 503.
        bool outage = false;
        /// Added before each stream request is handled.
        milliseconds delay{0};
        /// Number of next appends that are stored but whose connection is closed without a response.
        int lose_answers = 0;
    };

    /// Replaces the injected faults.
    void set_faults(const fault_state& next);

    /// Data of the records that the stream holds, oldest first.
    [[nodiscard]] std::vector<std::string> records(const std::string& stream);

    /// Appends a record directly, bypassing the rate limit, the size limit and faults.
    void append_raw(const std::string& stream, const std::string& data);

    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

private:
    struct stored_record {
        std::uint64_t offset = 0;
        std::string data;
        time_point expires_at;
    };
    struct stream {
        std::deque<stored_record> records;
        std::uint64_t oldest = 0;
        std::uint64_t next = 0;
    };
    explicit log_server(const log_options& server_options) : options(server_options) {}

    void handle(http_request& request, http_response& response);
    void append(http_request& request, http_response& response, const std::string& name);
    void read(http_request& request, http_response& response, const std::string& name);
    void send_bounds(http_response& response, const std::string& name);
    void handle_faults(http_request& request, http_response& response);
    void send_counters(http_response& response);
    void expire(stream& s, time_point now) const;
    bool exceeds_append_rate(time_point now);

    log_options options;
    std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, stream> streams;
    fault_state faults;
    time_point rate_window_start;
    std::uint32_t appends_in_window = 0;
    std::uint64_t append_count = 0;
    std::uint64_t rejected_appends = 0;
    std::uint64_t read_count = 0;
    std::uint64_t bytes_read = 0;
    bool stopping = false;
    std::unique_ptr<http_server> server;
};

} // namespace pomeloloft::stand_ins
