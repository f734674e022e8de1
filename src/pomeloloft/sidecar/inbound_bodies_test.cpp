#include <memory>
#include <optional>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/inbound_bodies.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Bodies of one size that are offered to a VM at once, and how many are admitted at once.
struct offer_row : testing::named_row {
    std::uint32_t mbps;
    std::size_t bytes;
    std::size_t offered;
    std::size_t in_transfer;
};

const offer_row offer_rows[] = {
    {"a narrow link admits two bodies of 60 KB", 5, 60'000, 10, 2},
    {"a narrow link admits two bodies of any size", 5, 360'000, 3, 2},
    {"small bodies are admitted together", 5, 10'000, 10, 5},
    {"a wide link admits a burst", 1000, 60'000, 100, 100},
};

/// Offers a body and records whether it was admitted.
net::task<void> offer(inbound_bodies& bodies, std::size_t bytes, milliseconds timeout,
                      std::vector<std::shared_ptr<const void>>& admitted, std::uint32_t& ended)
{
    auto reservation = co_await bodies.admit(bytes, steady_clock::now() + timeout);
    if (reservation) {
        admitted.push_back(std::move(reservation));
    }
    ++ended;
}

struct offers {
    explicit offers(std::uint32_t mbps) : bodies(loop, mbps) {}

    void add(std::size_t bytes, milliseconds timeout)
    {
        net::spawn(this->loop, offer(this->bodies, bytes, timeout, this->admitted, this->ended), "offer");
        this->loop.poll();
        this->loop.restart();
    }

    net::event_loop loop;
    inbound_bodies bodies;
    std::vector<std::shared_ptr<const void>> admitted;
    std::uint32_t ended = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(inbound_bodies_queue)

BOOST_DATA_TEST_CASE(admitted_bodies_fit_the_link, boost::unit_test::data::make(offer_rows), row)
{
    constexpr milliseconds timeout{60'000};
    offers o(row.mbps);
    for (std::size_t i = 0; i < row.offered; ++i) {
        o.add(row.bytes, timeout);
    }
    BOOST_TEST(o.admitted.size() == row.in_transfer);
    BOOST_TEST(o.bodies.count() == row.offered);
    BOOST_TEST((o.bodies.expected_wait() > milliseconds{0}) == (row.offered > row.in_transfer));
    // Each completed transfer admits the next body, until all have been transferred.
    std::size_t arrived = 0;
    while (!o.admitted.empty()) {
        o.admitted.erase(o.admitted.begin());
        ++arrived;
        o.loop.poll();
        o.loop.restart();
        BOOST_TEST(o.admitted.size() <= row.in_transfer);
    }
    BOOST_TEST(arrived == row.offered);
    BOOST_TEST(o.bodies.count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_body_that_is_not_admitted_in_time_is_refused)
{
    offers o(5);
    o.add(60'000, milliseconds{1000});
    o.add(60'000, milliseconds{1000});
    o.add(60'000, milliseconds{20});
    BOOST_TEST(o.ended == 2U);
    o.loop.run_for(milliseconds{500});
    BOOST_TEST(o.ended == 3U);
    BOOST_TEST(o.admitted.size() == 2U);
    BOOST_TEST(o.bodies.count() == 2U);
    o.admitted.clear();
    BOOST_TEST(o.bodies.expected_wait().count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
