#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/traffic/concurrency_limit.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

/// A target with a number of slots it does not tell; beyond them it sheds, or queues and so takes longer.
struct target_row : testing::named_row {
    std::uint32_t hidden_slots;
    std::uint32_t ceiling;
    bool sheds;
    /// Requests that come at one time.
    std::uint32_t offered;
    std::uint32_t least_limit;
    std::uint32_t most_limit;
};

const target_row target_rows[] = {
    {"a target that sheds is given what it takes", 6, 40, true, 40, 4, 7},
    {"a target that queues is not kept waiting for long", 6, 40, false, 40, 4, 14},
    {"the ceiling holds", 100, 10, true, 40, 10, 10},
    {"an idle target's limit does not grow", 6, 40, true, 2, 1, 4},
    {"one slot is always left", 1, 4, true, 40, 1, 2},
};

constexpr std::chrono::microseconds work{20'000};

limit_sample serve_one(const target_row& row, std::uint32_t running, std::uint32_t position)
{
    limit_sample sample;
    sample.running = running;
    sample.answer_time = work;
    if (running > row.hidden_slots) {
        sample.shed = row.sheds && position >= row.hidden_slots;
        sample.answer_time = work * running / row.hidden_slots;
    }
    return sample;
}

} // namespace

BOOST_AUTO_TEST_SUITE(concurrency_limits)

BOOST_DATA_TEST_CASE(a_limit_finds_the_targets_own, boost::unit_test::data::make(target_rows))
{
    time_point now = steady_clock::now();
    limit_state state = begin_limit(sample.ceiling, now);
    constexpr int rounds = 1000;
    for (int round = 0; round < rounds; ++round) {
        const std::uint32_t running = std::min(slots_of(state), sample.offered);
        now += std::chrono::duration_cast<steady_clock::duration>(work);
        for (std::uint32_t i = 0; i < running; ++i) {
            update_limit(state, serve_one(sample, running, i), now);
        }
        BOOST_REQUIRE(slots_of(state) >= 1U);
        BOOST_REQUIRE(slots_of(state) <= sample.ceiling);
    }
    BOOST_TEST(state.limit >= sample.least_limit);
    BOOST_TEST(state.limit < sample.most_limit + 1);
}

BOOST_AUTO_TEST_CASE(a_target_that_became_slower_for_good_keeps_its_slots)
{
    time_point now = steady_clock::now();
    limit_state state = begin_limit(10, now);
    const auto serve = [&](std::chrono::microseconds time, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            now += std::chrono::duration_cast<steady_clock::duration>(time);
            for (std::uint32_t i = 0; i < slots_of(state); ++i) {
                update_limit(state, {time, false, slots_of(state)}, now);
            }
        }
    };
    serve(work, 500);
    BOOST_TEST(state.limit == 10);
    serve(work * 5, 2000);
    BOOST_TEST(state.limit == 10);
}

BOOST_AUTO_TEST_CASE(a_new_ceiling_begins_anew)
{
    concurrency_limit limit;
    const time_point now = steady_clock::now();
    BOOST_TEST(limit.set_ceiling(40, now) == 1U);
    time_point later = now;
    for (int i = 0; i < 200; ++i) {
        later += milliseconds{50};
        (void)limit.add_sample({work, false, 40}, later);
    }
    const std::uint32_t grown = limit.set_ceiling(40, later);
    BOOST_TEST(grown > 1U);
    BOOST_TEST(limit.set_ceiling(8, later) == 1U);
    limit.reset();
    BOOST_TEST(limit.set_ceiling(8, later) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
