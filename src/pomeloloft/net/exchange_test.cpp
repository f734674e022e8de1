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

/// What a remote does with the offer of a body.
enum class offer_reaction : std::uint8_t { takes, refuses, silent };

struct offer_row : testing::named_row {
    offer_reaction reaction;
    exchange_end end;
    http::status status;
    /// Bodies that reached the remote's handler.
    int served;
    bool reusable;
    bool withheld;
};

const offer_row offer_rows[] = {
    {"a body that is taken", offer_reaction::takes, exchange_end::answered, http::status::ok, 1, true, false},
    {"a body that is refused", offer_reaction::refuses, exchange_end::answered, http::status::conflict, 0,
     true, true},
    {"a remote that is silent", offer_reaction::silent, exchange_end::timed_out, http::status::ok, 0, false,
     true},
};

constexpr std::size_t body_bytes = 200'000;
constexpr milliseconds silence{60'000};

/// A listener that is offered bodies.
struct remote {
    explicit remote(offer_reaction reaction)
    {
        auto opened = server::start(this->loop, "127.0.0.1:0", "test",
                                    [this](request& received) { return this->answer(received); });
        BOOST_REQUIRE(opened);
        this->listener = opened.value();
        this->listener->on_expect_continue = [this, reaction](request&, std::uint64_t bytes) {
            return this->judge(reaction, bytes);
        };
    }

    task<reply> answer(request& received)
    {
        ++this->served;
        this->received_bytes = received.body().size();
        reply out{make_response(http::status::ok, "taken")};
        co_return out;
    }

    task<expect_continue_decision> judge(offer_reaction reaction, std::uint64_t bytes)
    {
        this->offered_bytes = bytes;
        expect_continue_decision out;
        if (reaction == offer_reaction::silent) {
            co_await sleep_for(silence);
        }
        if (reaction == offer_reaction::refuses) {
            out.refusal = make_response(http::status::conflict);
        } else {
            out.body_reservation = this->hold;
        }
        co_return out;
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return {asio::ip::make_address("127.0.0.1"), this->listener->port()};
    }

    event_loop loop;
    std::shared_ptr<server> listener;
    std::shared_ptr<int> hold = std::make_shared<int>(0);
    int served = 0;
    std::size_t received_bytes = 0;
    std::uint64_t offered_bytes = 0;
};

task<void> send_offer(remote& to, client_pool& pool, exchange_result& out)
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

BOOST_DATA_TEST_CASE(a_body_is_sent_once_it_is_agreed_on, boost::unit_test::data::make(offer_rows), row)
{
    remote to(row.reaction);
    client_pool pool(to.loop, {});
    exchange_result ended;
    spawn(to.loop, send_offer(to, pool, ended), "send-offer");
    to.loop.run_for(milliseconds{5000});
    BOOST_TEST(name_of(exchange_end_names, ended.end) == name_of(exchange_end_names, row.end));
    BOOST_TEST(to.offered_bytes == body_bytes);
    BOOST_TEST(to.served == row.served);
    BOOST_TEST(to.received_bytes == (row.served > 0 ? body_bytes : 0));
    BOOST_TEST(ended.reusable == row.reusable);
    BOOST_TEST(ended.body_withheld == row.withheld);
    if (row.end == exchange_end::answered) {
        BOOST_TEST(ended.answer.result_int() == static_cast<unsigned>(row.status));
    }
    // Nothing is held for a body that was refused or has arrived.
    BOOST_TEST(to.hold.use_count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
