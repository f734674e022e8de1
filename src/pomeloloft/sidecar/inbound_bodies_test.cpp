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

/// Bodies of one size offered at once to a VM; how many may be sent at once.
struct offer_row : testing::named_row {
    std::uint32_t mbps;
    std::size_t bytes;
    std::size_t offered;
    std::size_t in_transfer;
};

const offer_row offer_rows[] = {
    {"a narrow link takes two scans", 5, 60'000, 10, 2},
    {"a narrow link takes two of any size", 5, 360'000, 3, 2},
    {"small bodies go together", 5, 10'000, 10, 5},
    {"a wide link takes a burst", 1000, 60'000, 100, 100},
};

/// Offers a body and notes what became of it.
net::task<void> offer(inbound_bodies& bodies, std::size_t bytes, milliseconds patience,
                      std::vector<std::shared_ptr<const void>>& admitted, std::uint32_t& ended)
{
    auto hold = co_await bodies.admit(bytes, steady_clock::now() + patience);
    if (hold) {
        admitted.push_back(std::move(hold));
    }
    ++ended;
}

struct offers {
    explicit offers(std::uint32_t mbps) : bodies(loop, mbps) {}

    void add(std::size_t bytes, milliseconds patience)
    {
        net::spawn(this->loop, offer(this->bodies, bytes, patience, this->admitted, this->ended), "offer");
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

BOOST_DATA_TEST_CASE(bodies_under_way_fit_the_link, boost::unit_test::data::make(offer_rows), row)
{
    constexpr milliseconds patience{60'000};
    offers o(row.mbps);
    for (std::size_t i = 0; i < row.offered; ++i) {
        o.add(row.bytes, patience);
    }
    BOOST_TEST(o.admitted.size() == row.in_transfer);
    BOOST_TEST(o.bodies.count() == row.offered);
    BOOST_TEST((o.bodies.expected_wait() > milliseconds{0}) == (row.offered > row.in_transfer));
    // Each that has arrived lets the next one come, until all have.
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

BOOST_AUTO_TEST_CASE(a_body_whose_turn_does_not_come_is_given_up)
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
