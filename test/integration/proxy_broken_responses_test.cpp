#define BOOST_TEST_MODULE proxy_broken_responses
#include <array>
#include <atomic>
#include <csignal>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "broken_responses.hpp"
#include "fleet.hpp"
#include "process_usage.hpp"

namespace pomeloloft::testing {
namespace {

const std::string good_response = ok_line + length + "\r\nbody";

/// Interim responses that precede the final one.
const response_row interim_rows[] = {
    {"100 Continue", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"103 Early Hints", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
};

/// A complete response and further bytes.
const response_row surplus_rows[] = {
    {"a second response", ok_line + length + "\r\nbody" + ok_line + length + "\r\nmore"},
    {"a second response behind chunks", chunked + "4\r\nbody\r\n0\r\n\r\n" + ok_line + length + "\r\nmore"},
    {"a response without a body", ok_line + length + "\r\nbody" + "HTTP/1.1 204 None\r\n\r\n"},
    {"bytes that are no response", ok_line + length + "\r\nbodymore"},
};

/// A target of `pomeloloft proxy` that answers each request with given bytes and leaves connections open.
class raw_target {
public:
    /// @param repeated_bytes sent after the others until the proxy closes the connection; empty for none.
    explicit raw_target(std::string sent_bytes, const std::string& repeated_bytes = {})
        : bytes(std::move(sent_bytes)), listener(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        constexpr std::size_t block_bytes = 64U << 10U;
        while (!repeated_bytes.empty() && this->block.size() < block_bytes) {
            this->block += repeated_bytes;
        }
        this->accepting = std::thread([this] { this->accept_until_stopped(); });
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    ~raw_target()
    {
        this->stopping = true;
        this->accepting.join();
        for (std::thread& connection : this->connections) {
            connection.join();
        }
    }

    /// Sends other bytes from the next request on.
    void respond_with(std::string sent_bytes)
    {
        const std::lock_guard lock(this->mutex);
        this->bytes = std::move(sent_bytes);
    }

    /// Announces the target to its proxy.
    /// @return whether the proxy has accepted it.
    [[nodiscard]] bool announce(const std::string& local_address, const std::string& service) const
    {
        const std::string body = R"({"service": ")" + service + R"(", "ttl_ms": 60000, "address": ")" +
                                 this->listener.address().toString() + "\"}";
        return call(local_address, {"PUT", "/v1/target", {}, body}).status == 200;
    }

    /// If set, each connection is reset after the bytes; called before they are sent and after the reset.
    std::function<void()> before_reset;
    std::function<void()> after_reset;

    /// Time between the first bytes and the repeated ones.
    std::chrono::milliseconds pause{0};

    /// Number of connections on which a request was received.
    [[nodiscard]] int requested() const { return this->requested_count; }

    /// Number of those that have ended.
    [[nodiscard]] int ended() const { return this->ended_count; }

private:
    void accept_until_stopped()
    {
        const Poco::Timespan poll_interval(0, 20'000);
        while (!this->stopping) {
            if (this->listener.poll(poll_interval, Poco::Net::Socket::SELECT_READ)) {
                this->connections.emplace_back(
                    [this, stream = this->listener.acceptConnection()]() mutable { this->serve(stream); });
            }
        }
    }

    void serve(Poco::Net::StreamSocket& stream)
    {
        bool requested = false;
        try {
            constexpr int timeout_seconds = 5;
            stream.setReceiveTimeout(Poco::Timespan(timeout_seconds, 0));
            stream.setSendTimeout(Poco::Timespan(timeout_seconds, 0));
            std::array<char, 4096> received{};
            // Until the proxy closes the connection.
            while (stream.receiveBytes(received.data(), static_cast<int>(received.size())) > 0) {
                this->requested_count += requested ? 0 : 1;
                requested = true;
                const std::string response = this->response();
                if (this->before_reset) {
                    this->send_and_reset(stream, response);
                    break;
                }
                stream.sendBytes(response.data(), static_cast<int>(response.size()));
                std::this_thread::sleep_for(this->pause);
                while (!this->block.empty() && !this->stopping) {
                    stream.sendBytes(this->block.data(), static_cast<int>(this->block.size()));
                }
            }
        } catch (const Poco::Exception&) {
            // The proxy has reset the connection, or it does not read.
        }
        this->ended_count += requested ? 1 : 0;
    }

    void send_and_reset(Poco::Net::StreamSocket& stream, const std::string& response) const
    {
        this->before_reset();
        stream.sendBytes(response.data(), static_cast<int>(response.size()));
        stream.setLinger(true, 0);
        stream.close();
        this->after_reset();
    }

    std::string response()
    {
        const std::lock_guard lock(this->mutex);
        return this->bytes;
    }

    std::mutex mutex;
    std::string bytes;
    std::string block;
    Poco::Net::ServerSocket listener;
    std::atomic<bool> stopping{false};
    std::atomic<int> requested_count{0};
    std::atomic<int> ended_count{0};
    std::vector<std::thread> connections;
    std::thread accepting;
};

/// A `pomeloloft proxy` beside a target that sends given bytes.
struct proxy_with_target {
    explicit proxy_with_target(std::string bytes, const std::string& repeated = {},
                               const std::string& service = "register")
        : target(std::move(bytes), repeated)
    {
        BOOST_REQUIRE(this->f.bring_up(this->entry, example_path("savinja/pattern-shop.yaml")));
        BOOST_REQUIRE(this->target.announce(this->entry.at.local, service));
        BOOST_REQUIRE(this->f.wait_for_endpoints(this->entry, 1, startup_timeout));
    }

    [[nodiscard]] client_response read() const
    {
        const milliseconds timeout{8000};
        return call(this->entry.at.callers, {"GET", "/records/1", {}, "", timeout});
    }

    /// Whether reads are answered once the target responds well again.
    [[nodiscard]] bool is_served_again()
    {
        this->target.respond_with(good_response);
        return wait_until(milliseconds{5000}, [this] { return this->read().status == 200; });
    }

    fleet f;
    node& entry = this->f.add({"entry", "celje-1", "", {}, {}, false});
    raw_target target;
};

/// Sends a read and receives what comes back, until the connection ends or the caller leaves.
void receive_and_discard(const std::string& address, std::chrono::milliseconds patience)
{
    const time_point leaves_at = steady_clock::now() + patience;
    try {
        Poco::Net::StreamSocket stream{Poco::Net::SocketAddress(address)};
        const std::string request = "GET /records/1 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n";
        stream.sendBytes(request.data(), static_cast<int>(request.size()));
        stream.setReceiveTimeout(Poco::Timespan(patience.count() * Poco::Timespan::MILLISECONDS));
        std::array<char, 64U << 10U> received{};
        while (steady_clock::now() < leaves_at &&
               stream.receiveBytes(received.data(), static_cast<int>(received.size())) > 0) {
        }
    } catch (const Poco::Exception&) {
        // The proxy has reset the connection, or sends nothing.
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_broken_response_is_a_failure_of_the_target)
{
    proxy_with_target s(good_response);
    for (const response_row& row : broken_rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            s.target.respond_with(row.bytes);
            const client_response read = s.read();
            BOOST_TEST(read.status == 502);
            BOOST_TEST(read.outcome() == "unknown");
            BOOST_TEST(s.is_served_again());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_body_with_invalid_chunks_is_not_passed_on_as_complete)
{
    proxy_with_target s(good_response);
    for (const response_row& row : broken_body_rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            s.target.respond_with(row.bytes);
            const client_response read = s.read();
            BOOST_TEST(!(read.status == 200 && read.complete), "complete body: " << read.body);
            BOOST_TEST(s.is_served_again());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_response_that_a_reset_cuts_off_during_an_upload_is_no_answer)
{
    proxy_with_target s(good_response, {}, "geometry");
    constexpr int rounds = 5;
    const std::chrono::milliseconds stop_time{5};
    // The proxy sees the response and the reset at the same time.
    s.target.before_reset = [&] {
        s.entry.process->signal(SIGSTOP);
        std::this_thread::sleep_for(stop_time);
    };
    s.target.after_reset = [&] {
        std::this_thread::sleep_for(stop_time);
        s.entry.process->signal(SIGCONT);
    };
    for (const response_row& row : cut_rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            s.target.respond_with(row.bytes);
            for (int round = 0; round < rounds; ++round) {
                const client_response sent =
                    call(s.entry.at.callers,
                         {"PUT", "/scans/1", {}, std::string(upload_bytes, 'x'), milliseconds{8000}});
                BOOST_TEST(sent.status == 502);
            }
        }
    }
    BOOST_TEST(s.target.requested() == static_cast<int>(std::size(cut_rows)) * rounds);
}

BOOST_AUTO_TEST_CASE(bytes_behind_a_response_answer_no_request)
{
    for (const response_row& row : surplus_rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            proxy_with_target s(row.bytes);
            for (int i = 0; i < 3; ++i) {
                const client_response read = s.read();
                BOOST_TEST(read.status == 200);
                BOOST_TEST(read.body == "body");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_connection_ends_when_bytes_arrive_behind_its_last_response)
{
    // Above the 2 s that a request may take on this route, and below the 10 s of an idle connection.
    constexpr milliseconds limit{4000};
    proxy_with_target s(good_response, "more");
    s.target.pause = std::chrono::milliseconds{200};
    BOOST_TEST(s.read().status == 200);
    BOOST_TEST(wait_until(limit, [&s] { return s.target.ended() == 1; }));
    BOOST_TEST(s.read().status == 200);
}

BOOST_AUTO_TEST_CASE(the_final_response_follows_interim_ones)
{
    proxy_with_target s(good_response);
    for (const response_row& row : interim_rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            s.target.respond_with(row.bytes + good_response);
            const client_response read = s.read();
            BOOST_TEST(read.status == 200);
            BOOST_TEST(read.body == "body");
            BOOST_TEST(read.complete);
        }
    }
}

BOOST_DATA_TEST_CASE(a_response_without_end_leaves_a_proxy_running_within_its_memory,
                     boost::unit_test::data::make(endless_rows), row)
{
    constexpr int caller_count = 8;
    /// Memory that a node may use for control.
    constexpr double max_memory_mb = 256;
    proxy_with_target s(row.bytes, row.repeated);
    // The deadline of the route, 2 s, and as much again.
    const time_point ended_by = steady_clock::now() + milliseconds{4000};
    std::vector<std::thread> callers;
    for (int i = 0; i < caller_count; ++i) {
        // Half of the callers leave before the deadline of the route, 2 s.
        const std::chrono::milliseconds patience{i % 2 == 0 ? 500 : 10'000};
        callers.emplace_back([&s, patience] { receive_and_discard(s.entry.at.callers, patience); });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    BOOST_TEST(s.target.requested() > 0);
    // All callers have been served or have left, so no further request reaches the target.
    const bool all_ended = wait_until(remaining(ended_by, steady_clock::now()),
                                      [&] { return s.target.ended() == s.target.requested(); });
    BOOST_TEST(all_ended);
    BOOST_TEST(s.entry.process->running());
    BOOST_TEST(read_footprint(s.entry.process->id()).peak_resident_mb < max_memory_mb);
    BOOST_TEST(s.entry.ready());
}

} // namespace pomeloloft::testing
