#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/traffic/concurrency_limit.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

/// Simulated target with an undisclosed number of slots. Beyond them, it sheds requests or queues them, which
/// lengthens the response time.
struct target_row : testing::named_row {
    std::uint32_t hidden_slots;
    std::uint32_t ceiling;
    bool sheds;
    /// Requests that arrive at the same time.
    std::uint32_t offered;
    std::uint32_t min_limit;
    std::uint32_t max_limit;
};

const target_row target_rows[] = {
    {"a target that sheds requests gets as many as it accepts", 6, 40, true, 40, 4, 7},
    {"a target that queues requests gets a short queue", 6, 40, false, 40, 4, 14},
    {"the ceiling is not exceeded", 100, 10, true, 40, 10, 10},
    {"the limit of an idle target does not grow", 6, 40, true, 2, 1, 4},
    {"at least one slot is always left", 1, 4, true, 40, 1, 2},
};

constexpr std::chrono::microseconds service_time{20'000};

limit_sample serve_one(const target_row& row, std::uint32_t running, std::uint32_t position)
{
    limit_sample sample;
    sample.running = running;
    sample.response_time = service_time;
    if (running > row.hidden_slots) {
        sample.shed = row.sheds && position >= row.hidden_slots;
        sample.response_time = service_time * running / row.hidden_slots;
    }
    return sample;
}

} // namespace

BOOST_AUTO_TEST_SUITE(concurrency_limits)

BOOST_DATA_TEST_CASE(the_limit_converges_to_the_slots_of_the_target,
                     boost::unit_test::data::make(target_rows))
{
    time_point now = steady_clock::now();
    limit_state state = make_initial_limit(sample.ceiling, now);
    constexpr int rounds = 1000;
    for (int round = 0; round < rounds; ++round) {
        const std::uint32_t running = std::min(effective_slots(state), sample.offered);
        now += std::chrono::duration_cast<steady_clock::duration>(service_time);
        for (std::uint32_t i = 0; i < running; ++i) {
            update_limit(state, serve_one(sample, running, i), now);
        }
        BOOST_REQUIRE(effective_slots(state) >= 1U);
        BOOST_REQUIRE(effective_slots(state) <= sample.ceiling);
    }
    BOOST_TEST(state.limit >= sample.min_limit);
    BOOST_TEST(state.limit < sample.max_limit + 1);
}

BOOST_AUTO_TEST_CASE(a_target_that_stays_slower_keeps_its_slots)
{
    time_point now = steady_clock::now();
    limit_state state = make_initial_limit(10, now);
    const auto serve = [&](std::chrono::microseconds time, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            now += std::chrono::duration_cast<steady_clock::duration>(time);
            for (std::uint32_t i = 0; i < effective_slots(state); ++i) {
                update_limit(state, {time, false, effective_slots(state)}, now);
            }
        }
    };
    serve(service_time, 500);
    BOOST_TEST(state.limit == 10);
    serve(service_time * 5, 2000);
    BOOST_TEST(state.limit == 10);
}

BOOST_AUTO_TEST_CASE(a_new_ceiling_resets_the_limit)
{
    concurrency_limit limit;
    const time_point now = steady_clock::now();
    BOOST_TEST(limit.set_ceiling(40, now) == 1U);
    time_point later = now;
    for (int i = 0; i < 200; ++i) {
        later += milliseconds{50};
        (void)limit.add_sample({service_time, false, 40}, later);
    }
    const std::uint32_t grown = limit.set_ceiling(40, later);
    BOOST_TEST(grown > 1U);
    BOOST_TEST(limit.set_ceiling(8, later) == 1U);
    limit.reset();
    BOOST_TEST(limit.set_ceiling(8, later) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
