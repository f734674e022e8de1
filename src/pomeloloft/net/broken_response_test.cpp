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
        // Without a step of the event loop in between, so that the sender sees both at the same time.
        stream.socket().send(asio::buffer(this->bytes));
        if (this->resets) {
            if (this->reset_delay.count() > 0) {
                co_await sleep_for(this->reset_delay);
            }
            stream.socket().set_option(asio::socket_base::linger(true, 0));
            stream.close();
        }
        co_await sleep_for(2 * exchange_timeout);
    }

    std::string bytes;
    /// Resets the connection after the bytes.
    bool resets = false;
    /// Time between the bytes and the reset.
    milliseconds reset_delay{0};
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

request make_request(http::verb method, std::size_t body_bytes)
{
    request out{method, "/", 11};
    out.set("X-Request-Id", "1");
    out.body().assign(body_bytes, 'b');
    out.prepare_payload();
    return out;
}

exchange_result call(raw_remote& to, const request& sent)
{
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

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

const head_row field_rows[] = {
    {"blank within a name", ok_line + id_line + "X Name: value\r\n" + length_line},
    {"blank at the end of a name", ok_line + id_line + "X-Name : value\r\n" + length_line},
    {"blank at the start of a name", ok_line + id_line + " X-Name: value\r\n" + length_line},
    {"tab at the start of a name", ok_line + id_line + "\tX-Name: value\r\n" + length_line},
    {"blank at the start of the first name", ok_line + " X-Name: value\r\n" + id_line + length_line},
    {"blank before the length", ok_line + id_line + " Content-Length: 4\r\n"},
    {"blank after the length", ok_line + id_line + "Content-Length : 4\r\n"},
    {"control byte in a name", ok_line + id_line + "X-\x01Name: value\r\n" + length_line},
    {"DEL in a name", ok_line + id_line + "X-Name\x7f: value\r\n" + length_line},
    {"NUL in a name", ok_line + id_line + std::string("X\0Name: value\r\n", 15) + length_line},
    {"carriage return in a name", ok_line + id_line + "X\rName: value\r\n" + length_line},
    {"empty name", ok_line + id_line + ": value\r\n" + length_line},
    {"no colon", ok_line + id_line + "X-Name value\r\n" + length_line},
    {"control byte in a value", ok_line + id_line + "X-Name: va\x01lue\r\n" + length_line},
    {"NUL in a value", ok_line + id_line + std::string("X-Name: va\0lue\r\n", 16) + length_line},
    {"carriage return in a value", ok_line + id_line + "X-Name: va\rlue\r\n" + length_line},
};

const head_row framing_rows[] = {
    {"two transfer codings", ok_line + id_line + "Transfer-Encoding: gzip, chunked\r\n"},
    {"another transfer coding", ok_line + id_line + "Transfer-Encoding: gzip\r\n"},
    {"two fields with a transfer coding",
     ok_line + id_line + "Transfer-Encoding: chunked\r\ntransfer-encoding: gzip\r\n"},
    {"no transfer coding", ok_line + id_line + "Transfer-Encoding:\r\n"},
    {"a length before a transfer coding", ok_line + id_line + length_line + "Transfer-Encoding: chunked\r\n"},
    {"a length behind a transfer coding", ok_line + id_line + "Transfer-Encoding: chunked\r\n" + length_line},
    {"two lengths", ok_line + id_line + length_line + "content-length: 5\r\n"},
    {"two lengths in one field", ok_line + id_line + "Content-Length: 4, 5\r\n"},
    {"a sign before the length", ok_line + id_line + "Content-Length: +4\r\n"},
    {"a negative length", ok_line + id_line + "Content-Length: -4\r\n"},
    {"an empty length", ok_line + id_line + "Content-Length: \r\n"},
    {"letters in the length", ok_line + id_line + "Content-Length: 4x\r\n"},
    {"a length beyond 64 bits", ok_line + id_line + "Content-Length: 18446744073709551620\r\n"},
};

/// A request whose response reaches the sender together with a reset of the connection.
struct reset_row : testing::named_row {
    std::size_t body_bytes;
    std::string response;
    exchange_end end;
};

const reset_row reset_rows[] = {
    {"no length", 8U << 20U, ok_line + id_line + "\r\npart", exchange_end::lost},
    {"no length, HTTP/1.0", 8U << 20U, "HTTP/1.0 200 OK\r\n" + id_line + "\r\npart", exchange_end::lost},
    {"no length, no body yet", 8U << 20U, ok_line + id_line + "\r\n", exchange_end::lost},
    {"no length, 500", 8U << 20U, "HTTP/1.1 500 Failed\r\n" + id_line + "\r\npart", exchange_end::lost},
    {"incomplete by its length", 8U << 20U, ok_line + id_line + "Content-Length: 10\r\n\r\npart",
     exchange_end::lost},
    {"incomplete by its chunks", 8U << 20U,
     ok_line + id_line + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", exchange_end::lost},
    {"complete by its length", 8U << 20U, ok_line + id_line + length_line + "\r\npart",
     exchange_end::answered},
    {"no length, request without a body", 0, ok_line + id_line + "\r\npart", exchange_end::lost},
};

void check_that_head_is_refused(const std::string& head)
{
    raw_remote to(head + "\r\nbody");
    const time_point started = steady_clock::now();
    const exchange_result ended = call(to, make_request(http::verb::get, 0));
    BOOST_TEST(name_of(exchange_end_names, ended.end) == "malformed");
    BOOST_TEST(!ended.reusable);
    BOOST_TEST((steady_clock::now() - started < max_exchange_time));
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_responses)

BOOST_DATA_TEST_CASE(a_head_with_an_invalid_status_is_no_response, boost::unit_test::data::make(status_rows),
                     row)
{
    check_that_head_is_refused(row.head);
}

BOOST_DATA_TEST_CASE(a_head_with_an_invalid_field_line_is_no_response,
                     boost::unit_test::data::make(field_rows), row)
{
    check_that_head_is_refused(row.head);
}

BOOST_DATA_TEST_CASE(a_head_that_does_not_tell_the_end_of_its_body_is_no_response,
                     boost::unit_test::data::make(framing_rows), row)
{
    check_that_head_is_refused(row.head);
}

// Guards against a reset that only the write of the request reports, and whose connection then seems to end
// normally.
BOOST_DATA_TEST_CASE(a_response_that_a_reset_cuts_off_is_incomplete,
                     boost::unit_test::data::make(reset_rows) * boost::unit_test::data::make({0, 1, 20}), row,
                     delay_ms)
{
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        raw_remote to(row.response);
        to.resets = true;
        to.reset_delay = milliseconds(delay_ms);
        const exchange_result ended = call(to, make_request(http::verb::post, row.body_bytes));
        BOOST_TEST(name_of(exchange_end_names, ended.end) == name_of(exchange_end_names, row.end));
        BOOST_TEST(!ended.reusable);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
