#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/crash_check.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr std::uint64_t observed_request = 1;
constexpr std::size_t target_count = 4;

enum class run_end : std::uint8_t { crashed, responded, minutes_passed };

/// How a run of the observed request at a target ended.
struct run_event {
    run_end end;
    std::size_t target;
    /// Status of the response.
    int status = 0;
};

run_event crash(std::size_t target)
{
    return {run_end::crashed, target};
}

run_event response(std::size_t target, int status)
{
    return {run_end::responded, target, status};
}

/// More than a minute passes.
run_event pause()
{
    return {run_end::minutes_passed, 0};
}

/// Observations of a fleet in which every node learns each of them at once.
struct observed_fleet {
    time_point now = steady_clock::now();
    crash_suspects suspects;
    std::vector<target_liveness> targets{target_count};
    std::vector<survived_requests> survived{target_count};

    void play(const run_event& event)
    {
        this->now += milliseconds(event.end == run_end::minutes_passed ? 61'000 : 10);
        target_liveness& target = this->targets[event.target];
        switch (event.end) {
        case run_end::minutes_passed:
            return;
        case run_end::responded:
            target.last_alive_at = this->now;
            record_status(target, this->survived[event.target], this->suspects, observed_request,
                          event.status, this->now);
            return;
        case run_end::crashed:
            break;
        }
        const std::uint64_t number = record_target_crash(target, this->now);
        // The target reports its next start.
        target.last_alive_at = this->now + milliseconds(1);
        const std::string name = "n" + std::to_string(event.target) + "." + std::to_string(number);
        if (counts_against({observed_request, number}, this->survived[event.target], this->now)) {
            this->suspects.add({observed_request, name}, this->now);
        }
    }
};

struct evidence_row : testing::named_row {
    std::vector<run_event> events;
    bool quarantined;
};

const evidence_row evidence_rows[] = {
    {"two targets crash", {crash(0), crash(1)}, false},
    {"three targets crash", {crash(0), crash(1), crash(2)}, true},
    {"one target crashes three times", {crash(0), crash(0), crash(0)}, true},
    {"a target fails between crashes", {crash(0), crash(1), response(3, 500), crash(2)}, true},
    {"a target fails after the crashes", {crash(0), crash(1), crash(2), response(3, 500)}, true},
    {"a target rejects as invalid between crashes", {crash(0), crash(1), response(3, 400), crash(2)}, true},
    {"a target redirects between crashes", {crash(0), crash(1), response(3, 302), crash(2)}, true},
    {"a target succeeds between crashes", {crash(0), crash(1), response(3, 200), crash(2)}, false},
    {"a target succeeds after the crashes", {crash(0), crash(1), crash(2), response(3, 204)}, false},
    {"targets crash that have run it before",
     {response(0, 200), response(1, 200), response(2, 200), crash(0), crash(1), crash(2)},
     false},
    {"targets crash that have failed it before",
     {response(0, 500), response(1, 500), response(2, 500), crash(0), crash(1), crash(2)},
     true},
    {"targets crash that have not run it, after another has",
     {response(3, 200), crash(0), crash(1), crash(2)},
     true},
    {"targets crash again before they have run it again",
     {response(0, 200), response(1, 200), crash(0), crash(1), crash(0), crash(1), crash(0)},
     true},
    {"targets crash long after they have run it",
     {response(0, 200), response(1, 200), response(2, 200), pause(), crash(0), crash(1), crash(2)},
     true},
    {"targets that have run it since their last crash crash again",
     {response(0, 200), response(1, 200), crash(0), crash(1), response(0, 200), response(1, 200), crash(0),
      crash(1)},
     false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_evidence)

// Guards against a failure that clears a request which crashes targets.
BOOST_DATA_TEST_CASE(a_request_is_refused_by_the_evidence_for_and_against_it,
                     boost::unit_test::data::make(evidence_rows))
{
    observed_fleet fleet;
    for (const run_event& event : sample.events) {
        fleet.play(event);
    }
    BOOST_TEST(fleet.suspects.is_quarantined(observed_request, fleet.now) == sample.quarantined);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
