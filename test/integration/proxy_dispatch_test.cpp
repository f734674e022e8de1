#define BOOST_TEST_MODULE proxy_dispatch
#include <array>
#include <csignal>
#include <deque>
#include <string>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::testing {
namespace {

constexpr std::size_t target_count = 3;
constexpr milliseconds settle_time{800};

/// Targets of one service and a proxy without a target, `entry`.
struct dispatch_fleet {
    dispatch_fleet()
    {
        for (std::size_t i = 0; i < target_count; ++i) {
            this->f.add({"t" + std::to_string(i), "celje-1", "register", {}, {}, false});
        }
        this->f.add({"entry", "celje-1", "", {}, {"--shutdown-grace-ms", "3000"}, false});
        BOOST_REQUIRE(this->f.bring_up(this->entry(), example_path("savinja/pattern-shop.yaml")));
        BOOST_REQUIRE(this->f.wait_for_endpoints(this->entry(), target_count, startup_timeout));
    }

    [[nodiscard]] node& entry() { return *this->f.nodes.back(); }

    [[nodiscard]] std::uint64_t runs(const std::string& id) const
    {
        std::uint64_t total = 0;
        for (const auto& n : this->f.nodes) {
            total += n->target ? n->target->runs(id) : 0;
        }
        return total;
    }

    fleet f;
};

Poco::Net::StreamSocket send_read(const std::string& address, const std::string& id, int work_ms)
{
    Poco::Net::StreamSocket out{Poco::Net::SocketAddress(address)};
    const std::string bytes = "GET /records/" + id + " HTTP/1.1\r\nHost: shop\r\nX-Request-Id: " + id +
                              "\r\nX-Work-Ms: " + std::to_string(work_ms) + "\r\n\r\n";
    out.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return out;
}

/// Whether callers leave while the entry proxy is suspended.
struct suspended_row : named_row {
    bool callers_leave;
    std::uint64_t runs;
};

const suspended_row suspended_rows[] = {
    {"callers stay", false, 1},
    {"callers leave", true, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(requests_read_after_their_callers_have_left_reach_no_target,
                     boost::unit_test::data::make(suspended_rows), row)
{
    dispatch_fleet s;
    s.entry().process->signal(SIGSTOP);
    std::deque<Poco::Net::StreamSocket> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(send_read(s.entry().at.callers, "late-" + std::to_string(i), 0));
    }
    if (row.callers_leave) {
        callers.clear();
    }
    std::this_thread::sleep_for(settle_time);
    s.entry().process->signal(SIGCONT);
    std::this_thread::sleep_for(settle_time);
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(s.runs("late-" + std::to_string(i)) == row.runs);
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_not_retried_after_its_caller_has_left)
{
    dispatch_fleet s;
    {
        const Poco::Net::StreamSocket caller = send_read(s.entry().at.callers, "once", 3000);
        BOOST_REQUIRE(wait_until(milliseconds{3000}, [&] { return s.runs("once") == 1; }));
    }
    std::this_thread::sleep_for(settle_time);
    BOOST_TEST(s.runs("once") == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_read_during_the_grace_period_is_answered_before_the_process_ends)
{
    dispatch_fleet s;
    // A kept connection, on which the next request arrives while the proxy stops.
    Poco::Net::StreamSocket busy = send_read(s.entry().at.callers, "busy", 1500);
    BOOST_REQUIRE(wait_until(milliseconds{3000}, [&] { return s.runs("busy") == 1; }));
    s.entry().process->signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{200});
    const std::string late = "GET /records/late HTTP/1.1\r\nHost: shop\r\nX-Request-Id: late\r\nX-Work-Ms: "
                             "9000\r\n\r\n";
    busy.sendBytes(late.data(), static_cast<int>(late.size()));
    std::string received;
    busy.setReceiveTimeout(Poco::Timespan(10, 0));
    std::array<char, 4096> buffer{};
    for (int count = 1; count > 0;) {
        try {
            count = busy.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        } catch (const Poco::Exception&) {
            count = 0;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::size_t first = received.find("HTTP/1.1 ");
    BOOST_TEST(first == 0U);
    // A request that was passed on is answered; one that was not may find the connection closed.
    const bool answered = received.find("HTTP/1.1 ", first + 1) != std::string::npos;
    BOOST_TEST((answered || s.runs("late") == 0));
}

} // namespace pomeloloft::testing
