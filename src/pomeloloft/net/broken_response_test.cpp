#include <array>
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::net {
namespace {

constexpr milliseconds exchange_timeout{3000};
/// A response that is known to be broken ends the exchange well before its deadline.
constexpr milliseconds max_exchange_time{1000};

/// A remote that reads the beginning of a request and sends given bytes. The connection stays open for longer
/// than the exchange may last.
struct raw_remote {
    explicit raw_remote(std::string sent_bytes)
        : bytes(std::move(sent_bytes)),
          acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {}

    task<void> respond()
    {
        tcp_stream stream(this->loop.get_executor());
        const auto [accept_ec] = co_await this->acceptor.async_accept(stream.socket(), use_task);
        BOOST_REQUIRE(!accept_ec);
        std::array<char, 1024> received{};
        co_await stream.async_read_some(asio::buffer(received), use_task);
        stream.socket().send(asio::buffer(this->bytes));
        co_await sleep_for(2 * exchange_timeout);
    }

    std::string bytes;
    event_loop loop;
    tcp::acceptor acceptor;
};

task<void> send_request(raw_remote& to, client_pool& pool, request sent, exchange_result& out)
{
    exchange_options options;
    options.deadline = steady_clock::now() + exchange_timeout;
    options.id_header = "X-Request-Id";
    auto connected = co_await pool.connect(to.acceptor.local_endpoint(), options.deadline);
    BOOST_REQUIRE(connected);
    out = co_await exchange(*connected.value(), sent, options);
    to.loop.stop();
}

exchange_result call(raw_remote& to)
{
    request sent{http::verb::get, "/", 11};
    sent.set("X-Request-Id", "1");
    client_pool pool(to.loop, {});
    exchange_result out;
    out.end = exchange_end::cancelled;
    spawn(to.loop, to.respond(), "respond");
    spawn(to.loop, send_request(to, pool, sent, out), "send-request");
    to.loop.run_for(2 * exchange_timeout);
    return out;
}

/// A head of a response, complete but for the empty line.
struct head_row : testing::named_row {
    std::string head;
};

const std::string id_line = "X-Request-Id: 1\r\n";
const std::string length_line = "Content-Length: 4\r\n";

const head_row status_rows[] = {
    {"status 000", "HTTP/1.1 000 None\r\n" + id_line + length_line},
    {"status 000 without a length", "HTTP/1.1 000 None\r\n" + id_line},
    {"status 099", "HTTP/1.1 099 None\r\n" + id_line + length_line},
    {"status 600", "HTTP/1.1 600 None\r\n" + id_line + length_line},
    {"status 999", "HTTP/1.1 999 None\r\n" + id_line + length_line},
    {"two digits", "HTTP/1.1 20 OK\r\n" + id_line + length_line},
    {"four digits", "HTTP/1.1 2000 OK\r\n" + id_line + length_line},
    {"no digits", "HTTP/1.1 2OO OK\r\n" + id_line + length_line},
    {"another major version", "HTTP/2.0 200 OK\r\n" + id_line + length_line},
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_responses)

BOOST_DATA_TEST_CASE(a_head_with_an_invalid_status_is_no_response, boost::unit_test::data::make(status_rows),
                     row)
{
    raw_remote to(row.head + "\r\nbody");
    const time_point started = steady_clock::now();
    const exchange_result ended = call(to);
    BOOST_TEST(name_of(exchange_end_names, ended.end) == "malformed");
    BOOST_TEST(!ended.reusable);
    BOOST_TEST((steady_clock::now() - started < max_exchange_time));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
