#include <memory>
#include <optional>
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::net {
namespace {

/// How a remote reacts to a request with `Expect: 100-continue`.
enum class expect_reaction : std::uint8_t { accepts, refuses, silent };

struct expect_row : testing::named_row {
    expect_reaction reaction;
    exchange_end end;
    http::status status;
    /// Number of requests that reached the remote's handler.
    int served;
    bool reusable;
    bool withheld;
};

const expect_row expect_rows[] = {
    {"the body is accepted", expect_reaction::accepts, exchange_end::answered, http::status::ok, 1, true,
     false},
    {"the body is refused", expect_reaction::refuses, exchange_end::answered, http::status::conflict, 0, true,
     true},
    {"the remote does not respond", expect_reaction::silent, exchange_end::timed_out, http::status::ok, 0,
     false, true},
};

constexpr std::size_t body_bytes = 200'000;
constexpr milliseconds no_response_delay{60'000};

/// A listener with the given reaction to `Expect: 100-continue`.
struct remote {
    explicit remote(expect_reaction reaction)
    {
        auto opened = server::start(this->loop, "127.0.0.1:0", "test",
                                    [this](request& received) { return this->handle(received); });
        BOOST_REQUIRE(opened);
        this->listener = opened.value();
        this->listener->on_expect_continue = [this, reaction](request&, std::uint64_t bytes) {
            return this->decide(reaction, bytes);
        };
    }

    task<reply> handle(request& received)
    {
        ++this->served;
        this->received_bytes = received.body().size();
        reply out{make_response(http::status::ok, "accepted")};
        co_return out;
    }

    task<expect_continue_decision> decide(expect_reaction reaction, std::uint64_t bytes)
    {
        this->announced_bytes = bytes;
        expect_continue_decision out;
        if (reaction == expect_reaction::silent) {
            co_await sleep_for(no_response_delay);
        }
        if (reaction == expect_reaction::refuses) {
            out.refusal = make_response(http::status::conflict);
        } else {
            out.body_reservation = this->reservation;
        }
        co_return out;
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return {asio::ip::make_address("127.0.0.1"), this->listener->port()};
    }

    event_loop loop;
    std::shared_ptr<server> listener;
    std::shared_ptr<int> reservation = std::make_shared<int>(0);
    int served = 0;
    std::size_t received_bytes = 0;
    std::uint64_t announced_bytes = 0;
};

/// A listener whose handler returns a given response.
struct fixed_remote {
    explicit fixed_remote(response fixed) : returned(std::move(fixed))
    {
        auto opened =
            server::start(this->loop, "127.0.0.1:0", "test", [this](request&) { return this->handle(); });
        BOOST_REQUIRE(opened);
        this->listener = opened.value();
    }

    task<reply> handle()
    {
        reply out{this->returned};
        co_return out;
    }

    event_loop loop;
    response returned;
    std::shared_ptr<server> listener;
};

/// Sends a request and keeps its connection if it can be reused.
task<void> send_request(fixed_remote& to, client_pool& pool, exchange_result& out, std::size_t& idle)
{
    const tcp::endpoint address{asio::ip::make_address("127.0.0.1"), to.listener->port()};
    const time_point deadline = steady_clock::now() + milliseconds{1000};
    auto connected = co_await pool.connect(address, deadline);
    BOOST_REQUIRE(connected);
    request sent{http::verb::get, "/", 11};
    exchange_options options;
    options.deadline = deadline;
    out = co_await exchange(*connected.value(), sent, options);
    if (out.reusable) {
        pool.release(address, std::move(connected.value()));
    }
    idle = pool.take_idle(address, milliseconds{8000}) ? 1 : 0;
    to.loop.stop();
}

/// A call whose response is given.
/// @return how it ended, and the number of connections that are kept.
std::pair<exchange_result, std::size_t> call(const response& returned)
{
    fixed_remote to(returned);
    client_pool pool(to.loop, {});
    std::pair<exchange_result, std::size_t> out;
    spawn(to.loop, send_request(to, pool, out.first, out.second), "send-request");
    to.loop.run_for(milliseconds{3000});
    return out;
}

task<void> send_expecting_request(remote& to, client_pool& pool, exchange_result& out)
{
    const time_point deadline = steady_clock::now() + milliseconds{2000};
    auto connected = co_await pool.connect(to.address(), deadline);
    BOOST_REQUIRE(connected);
    request sent{http::verb::post, "/", 11};
    sent.body().assign(body_bytes, 'b');
    sent.prepare_payload();
    sent.set(http::field::expect, "100-continue");
    exchange_options options;
    options.deadline = deadline;
    options.wait_for_continue = true;
    options.continue_deadline = steady_clock::now() + milliseconds{300};
    out = co_await exchange(*connected.value(), sent, options);
    to.loop.stop();
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchanges)

BOOST_DATA_TEST_CASE(body_is_sent_only_after_continue, boost::unit_test::data::make(expect_rows), row)
{
    remote to(row.reaction);
    client_pool pool(to.loop, {});
    exchange_result ended;
    spawn(to.loop, send_expecting_request(to, pool, ended), "send-expecting-request");
    to.loop.run_for(milliseconds{5000});
    BOOST_TEST(name_of(exchange_end_names, ended.end) == name_of(exchange_end_names, row.end));
    BOOST_TEST(to.announced_bytes == body_bytes);
    BOOST_TEST(to.served == row.served);
    BOOST_TEST(to.received_bytes == (row.served > 0 ? body_bytes : 0));
    BOOST_TEST(ended.reusable == row.reusable);
    BOOST_TEST(ended.body_withheld == row.withheld);
    if (row.end == exchange_end::answered) {
        BOOST_TEST(ended.response.result_int() == static_cast<unsigned>(row.status));
    }
    // The reservation is released once the body has been refused or read.
    BOOST_TEST(to.reservation.use_count() == 1);
}

// Guards against a response without a length whose receiver waits for the end of a connection that stays
// open.
BOOST_AUTO_TEST_CASE(a_connection_ends_after_a_response_without_a_length)
{
    response unframed{http::status::ok, 11};
    unframed.body() = "whole";
    const auto [ended, idle] = call(unframed);
    BOOST_TEST(name_of(exchange_end_names, ended.end) == "answered");
    BOOST_TEST(ended.response.body() == "whole");
    BOOST_TEST(!ended.reusable);
}

// Guards against an idle time of a remote that is beyond the range of the clock.
BOOST_AUTO_TEST_CASE(a_connection_with_a_very_long_idle_time_is_reused)
{
    response kept = make_response(http::status::ok, "kept");
    kept.set(http::field::keep_alive, "timeout=2147483647");
    const auto [ended, idle] = call(kept);
    BOOST_TEST(ended.reusable);
    BOOST_TEST(idle == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
