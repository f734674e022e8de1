#define BOOST_TEST_MODULE hedging_processes
#include <boost/test/unit_test.hpp>

#include "sidecar_fleet.hpp"

// Second attempts of slow requests, with real processes: the target beside the callers does not respond, the
// others do.

namespace pomeloloft::testing {
namespace {

/// Requests by which a process learns the response times of a service and fills its retry budget.
constexpr int learning_requests = 220;

caller_request write_request(const std::string& id)
{
    caller_request out;
    out.method = "POST";
    out.path = "/write/1";
    out.id = id;
    out.body = "order";
    return out;
}

/// Requests that make up in the retry budget for a second attempt, which costs three repeats of ten requests
/// each.
constexpr int refill_requests = 30;

/// Number of second attempts that the process beside the callers has begun.
std::string begun_second_attempts(sidecar_fleet& fleet)
{
    const std::string name = "pomeloloft_hedges_total{state=\"begun\"} ";
    const std::string metrics = fleet.metrics(0);
    const auto found = metrics.find(name);
    return found == std::string::npos ? "" : metrics.substr(found, metrics.find('\n', found) - found);
}

/// Sends reads until the process knows the response times and its retry budget is full. The slowest of these
/// reads get second attempts, after which the budget must be filled again.
void teach(sidecar_fleet& fleet)
{
    std::string begun;
    int since_last = 0;
    for (int i = 0; i < learning_requests || since_last < refill_requests; ++i) {
        BOOST_REQUIRE(fleet.call(0, read_request("learn-" + std::to_string(i))).status == 200);
        const std::string now_begun = begun_second_attempts(fleet);
        since_last = now_begun == begun ? since_last + 1 : 0;
        begun = now_begun;
    }
}

int total_runs(const sidecar_fleet& fleet, const std::string& id)
{
    int out = 0;
    for (const sidecar_node& node : fleet.nodes) {
        out += node.target->run_count(id);
    }
    return out;
}

/// Outcome of a request while one of the targets withholds its responses.
struct slow_target_result {
    int answered = 0;
    int run_twice = 0;
};

slow_target_result call_with_slow_target(sidecar_fleet& fleet, bool reads)
{
    constexpr int requests = 24;
    // An idle fleet serves a request beside its caller.
    fleet.nodes[0].target->mode = target_mode::never_responds;
    slow_target_result out;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "slow-" + std::to_string(i);
        const caller_response got = fleet.call(0, reads ? read_request(id) : write_request(id));
        out.answered += got.status == 200 ? 1 : 0;
        out.run_twice += total_runs(fleet, id) > 1 ? 1 : 0;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedging_processes)

BOOST_AUTO_TEST_CASE(a_read_at_a_target_that_does_not_respond_is_answered_by_another)
{
    sidecar_fleet fleet(3, "POMELOLOFT_HEDGE_PERCENT=10\n");
    teach(fleet);
    const slow_target_result got = call_with_slow_target(fleet, true);
    BOOST_TEST(got.run_twice > 0, fleet.metrics(0));
    // The cancelled attempt frees its slot and its target.
    BOOST_TEST(fleet.run_until([&] { return fleet.nodes[0].target->running() == 0; }, milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(a_write_is_never_sent_twice)
{
    sidecar_fleet fleet(3, "POMELOLOFT_HEDGE_PERCENT=10\n");
    teach(fleet);
    BOOST_TEST(call_with_slow_target(fleet, false).run_twice == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_twice_without_the_setting)
{
    sidecar_fleet fleet(3);
    teach(fleet);
    BOOST_TEST(call_with_slow_target(fleet, true).run_twice == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
