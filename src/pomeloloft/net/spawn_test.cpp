#include "pomeloloft/net/spawn.hpp"

#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {
namespace {

/// Fails on its first runs, and then completes.
task<void> fail_at_first(int& runs, int failures)
{
    ++runs;
    co_await sleep_for(milliseconds{1});
    if (runs <= failures) {
        throw std::runtime_error("not yet");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(tasks)

// Guards against a task that others depend on and that ended for good by an exception.
BOOST_AUTO_TEST_CASE(a_task_that_fails_is_started_again_until_it_completes)
{
    event_loop loop;
    int kept_runs = 0;
    int spawned_runs = 0;
    keep_running(
        loop, [&kept_runs] { return fail_at_first(kept_runs, 2); }, "kept");
    spawn(loop, fail_at_first(spawned_runs, 2), "spawned");
    loop.run_for(milliseconds{3000});
    BOOST_TEST(kept_runs == 3);
    BOOST_TEST(spawned_runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::net
