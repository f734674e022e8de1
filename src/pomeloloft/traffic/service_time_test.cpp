#include <boost/test/unit_test.hpp>

#include "pomeloloft/traffic/service_time.hpp"

namespace pomeloloft {

using std::chrono::microseconds;

BOOST_AUTO_TEST_SUITE(service_times)

BOOST_AUTO_TEST_CASE(nothing_is_known_without_a_run)
{
    const service_time_estimate estimate;
    BOOST_TEST(estimate.mean().count() == 0);
    BOOST_TEST(estimate.upper_bound().count() == 0);
}

BOOST_AUTO_TEST_CASE(the_bound_approaches_the_mean_if_runs_do_not_vary)
{
    service_time_estimate estimate;
    estimate.add(microseconds{100'000});
    BOOST_TEST(estimate.upper_bound().count() == 300'000);
    for (int i = 0; i < 50; ++i) {
        estimate.add(microseconds{100'000});
    }
    BOOST_TEST(estimate.mean().count() == 100'000);
    BOOST_TEST(estimate.upper_bound().count() < 105'000);
}

BOOST_AUTO_TEST_CASE(few_runs_exceed_the_bound_if_runs_vary)
{
    service_time_estimate estimate;
    int exceeded = 0;
    for (int i = 0; i < 1000; ++i) {
        const microseconds run{i % 10 == 9 ? 200'000 : 50'000 + i % 10 * 5'000};
        exceeded += i > 20 && run > estimate.upper_bound() ? 1 : 0;
        estimate.add(run);
    }
    BOOST_TEST(exceeded <= 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
