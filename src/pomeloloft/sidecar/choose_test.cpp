#include <array>
#include <span>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/admission.hpp"
#include "pomeloloft/sidecar/choose.hpp"
#include "pomeloloft/sidecar/retry_policy.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

using std::chrono::microseconds;

/// Two endpoints and the one expected to be chosen.
struct choice_row : testing::named_row {
    bool first_is_own_target;
    bool first_same_data_centre;
    bool second_same_data_centre;
    endpoint_load first;
    endpoint_load second;
    std::size_t body_bytes;
    const char* chosen;
};

endpoint_load load_of(std::uint32_t reported_load, std::uint32_t service_us, bool in_backoff = false)
{
    endpoint_load out;
    out.reported_load = reported_load;
    out.slots = 9;
    out.service_us = service_us;
    out.reported_at = time_point{} + std::chrono::hours(1);
    if (in_backoff) {
        out.backoff_until = out.reported_at + std::chrono::hours(1);
    }
    return out;
}

/// An idle target at a distance.
endpoint_load load_behind(std::uint32_t network_us)
{
    endpoint_load out = load_of(0, 60'000);
    out.network_us = network_us;
    return out;
}

/// A target that fails fast, and therefore looks idle.
endpoint_load failing_load(std::uint32_t failed_percent)
{
    endpoint_load out = load_of(0, 2'000);
    out.failed_percent = failed_percent;
    return out;
}

/// A target that rejects requests fast.
endpoint_load rejecting_load(std::uint32_t rejected_percent)
{
    endpoint_load out = load_of(0, 2'000);
    out.rejected_percent = rejected_percent;
    return out;
}

const choice_row choice_rows[] = {
    {"an endpoint that rejects half of its requests before one with a long queue", false, true, true,
     rejecting_load(50), load_of(30, 60'000), 0, "first"},
    {"not an endpoint that rejects nearly all requests", false, true, true, rejecting_load(95),
     load_of(30, 60'000), 0, "second"},
    {"not an endpoint that fails nearly all requests fast", false, true, true, failing_load(95),
     load_of(30, 90'000), 0, "second"},
    {"not an endpoint that fails half of its requests", false, true, true, failing_load(50),
     load_of(9, 90'000), 0, "second"},
    {"not the own target when it fails", true, true, true, failing_load(95), load_of(9, 90'000), 0, "second"},
    {"an endpoint with the usual few failures", false, true, true, failing_load(4), load_of(9, 90'000), 0,
     "first"},
    {"not a new endpoint with a long queue, as it is hardly faster than others", false, true, true,
     load_of(30, 0), load_of(9, 200'000), 0, "second"},
    {"the better of two failing endpoints", false, true, true, failing_load(95), failing_load(60), 0,
     "second"},
    {"the faster target", false, true, true, load_of(3, 90'000), load_of(3, 40'000), 0, "second"},
    {"a free endpoint before a full one", false, true, true, load_of(20, 60'000), load_of(0, 60'000), 0,
     "second"},
    {"the own target among equals", true, true, true, load_of(0, 20'000), load_of(0, 30'000), 0, "first"},
    {"the nearer endpoint among equals", false, true, false, load_behind(2'000), load_behind(40'000), 0,
     "first"},
    {"an endpoint in another data centre that is measured to be as near", false, true, false,
     load_behind(40'000), load_behind(2'000), 0, "second"},
    {"a free endpoint in another data centre before a queue that takes longer than the way", false, true,
     false, load_of(12, 60'000), load_behind(10'000), 0, "second"},
    {"the own target for a large body on a narrow link", true, true, true, load_of(9, 60'000),
     load_of(0, 60'000), 60'000, "first"},
    {"not an endpoint in backoff", false, true, true, load_of(0, 10'000, true), load_of(9, 90'000), 0,
     "second"},
};

struct failing_choice_row : testing::named_row {
    std::uint32_t failed_percent;
    milliseconds time_left;
    const char* chosen;
};

const failing_choice_row failing_choice_rows[] = {
    {"a caller that could not wait for the queue", 50, milliseconds{400}, "failing"},
    {"a caller that can wait for the queue", 50, milliseconds{2000}, "queue"},
    {"few failures for a caller with little time", 10, milliseconds{400}, "failing"},
    {"certain failure for a caller with little time", 100, milliseconds{450}, "queue"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_choice)

BOOST_AUTO_TEST_CASE(the_accepted_wait_follows_from_the_load_of_the_other_endpoints)
{
    endpoint_load busy = load_of(18, 90'000);
    endpoint_load busier = load_of(27, 90'000);
    endpoint_load idle = load_of(0, 90'000);
    const candidate first{"first", false, true, &busy};
    const candidate second{"second", false, true, &busier};
    const candidate third{"third", false, true, &idle};
    const auto choice = [&busy](std::span<const candidate> candidates) {
        choice_options options;
        options.jitter = 0;
        return choose({candidates, {}, 0, 1, busy.reported_at}, options);
    };
    const std::array<candidate, 3> all{first, second, third};
    const std::span<const candidate> list(all);
    const chosen_endpoint alone = choice(list.first(1));
    BOOST_TEST(!alone.max_wait.has_value());
    // Ten requests end before one that finds 18 at nine slots, 19 before one that finds 27.
    const chosen_endpoint both = choice(list.first(2));
    BOOST_TEST(both.endpoint->node == "first");
    BOOST_TEST((both.wait == milliseconds{100}));
    BOOST_TEST((both.max_wait >= milliseconds{190} && both.max_wait <= milliseconds{195}));
    const chosen_endpoint with_idle = choice(list);
    BOOST_TEST(with_idle.endpoint->node == "third");
    BOOST_TEST((with_idle.wait == milliseconds{0}));
}

BOOST_DATA_TEST_CASE(failures_are_weighed_against_the_time_that_the_caller_would_lose,
                     boost::unit_test::data::make(failing_choice_rows))
{
    endpoint_load failing = failing_load(sample.failed_percent);
    // Takes 320 ms until a slot is free and 90 ms for the run.
    endpoint_load queue = load_of(40, 90'000);
    const std::array<candidate, 2> both{candidate{"failing", false, true, &failing},
                                        candidate{"queue", false, true, &queue}};
    choice_options options;
    options.jitter = 0;
    const time_point now = queue.reported_at;
    const chosen_endpoint chosen = choose({both, {}, 0, 1, now, now + sample.time_left}, options);
    BOOST_TEST(chosen.endpoint->node == sample.chosen);
}

BOOST_AUTO_TEST_CASE(network_times_are_smoothed_and_assumed_of_endpoints_that_were_not_measured)
{
    endpoint_load measured = load_of(0, 60'000);
    for (int i = 0; i < 30; ++i) {
        record_network_time(measured, microseconds{20'000});
    }
    endpoint_load not_measured = load_of(0, 60'000);
    endpoint_load near = load_behind(10'000);
    const std::array<candidate, 3> all{candidate{"measured", false, false, &measured},
                                       candidate{"not measured", false, false, &not_measured},
                                       candidate{"near", false, true, &near}};
    choice_options options;
    options.jitter = 0;
    const chosen_endpoint chosen = choose({all, {}, 0, 1, measured.reported_at}, options);
    BOOST_TEST(measured.network_us == 20'000U);
    BOOST_TEST(chosen.endpoint->node == "near");
    // The one that was not measured is assumed to be 10 ms farther, and a refusal takes the way of 10 ms.
    BOOST_TEST((chosen.max_wait == milliseconds{20}));
}

// Guards against requests that were passed on until they were refused, because the accepted wait was rounded
// below the wait that the endpoint had reported.
BOOST_DATA_TEST_CASE(the_chosen_endpoint_accepts_the_request_if_its_load_is_as_reported,
                     boost::unit_test::data::make({700, 1'500, 60'000}), service_us)
{
    constexpr std::uint32_t slots = 9;
    for (std::uint32_t waiting = 0; waiting < 40; ++waiting) {
        endpoint_load first = load_of(slots + waiting, static_cast<std::uint32_t>(service_us));
        endpoint_load second = load_of(slots + waiting + 1, static_cast<std::uint32_t>(service_us));
        const std::array<candidate, 2> both{candidate{"first", true, true, &first},
                                            candidate{"second", true, true, &second}};
        const time_point now = first.reported_at;
        const chosen_endpoint chosen = choose({both, {}, 0, waiting, now}, {});
        const std::uint32_t queued = chosen.endpoint->load->reported_load - slots;
        const gate_snapshot gate{slots, slots, queued, microseconds{service_us}, microseconds{service_us}};
        const time_point deadline = now + milliseconds(5000);
        const slot_request request{0, deadline, max_queue_wait(chosen, now, deadline)};
        BOOST_TEST((admit_request(gate, request, now) == admission_verdict::wait));
    }
}

BOOST_AUTO_TEST_CASE(an_endpoint_without_a_report_is_assumed_to_have_the_mean_load)
{
    const choice_options options;
    endpoint_load full = load_of(27, 90'000);
    endpoint_load other_full = full;
    endpoint_load unheard = load_of(0, 90'000);
    unheard.reported_at = full.reported_at - options.load_decay_time;
    const std::array<candidate, 3> all{candidate{"full", false, true, &full},
                                       candidate{"other", false, true, &other_full},
                                       candidate{"unheard", false, true, &unheard}};
    // Two of three are known to have three requests a slot: 11 of 18 requests must end.
    const chosen_endpoint current = choose({all, {}, 0, 1, full.reported_at}, options);
    BOOST_TEST(current.endpoint->node == "unheard");
    BOOST_TEST((current.wait == milliseconds{100}));
    // When no report is recent, nothing is known to be busy.
    const choice_request later{all, {}, 0, 1, full.reported_at + options.load_decay_time};
    BOOST_TEST((choose(later, options).wait == milliseconds{0}));
}

// Guards against senders that kept to the busy endpoints which they knew.
BOOST_AUTO_TEST_CASE(a_sender_that_knows_only_a_busy_endpoint_asks_another)
{
    endpoint_load busy = load_of(20, 45'000);
    endpoint_load never_heard;
    const std::array<candidate, 3> all{candidate{"busy", false, true, &busy},
                                       candidate{"second", false, true, &never_heard},
                                       candidate{"third", false, true, &never_heard}};
    constexpr std::uint64_t draws = 50;
    for (std::uint64_t draw = 0; draw < draws; ++draw) {
        const chosen_endpoint chosen = choose({all, {}, 0, draw, busy.reported_at}, {});
        BOOST_TEST(chosen.endpoint->node != "busy");
        BOOST_TEST((chosen.wait == milliseconds{0}));
    }
}

BOOST_AUTO_TEST_CASE(estimates_of_the_past_do_not_keep_an_endpoint_from_being_chosen)
{
    const choice_options options;
    endpoint_load usual = load_of(0, 60'000);
    usual.network_us = 3'000;
    endpoint_load once_slow = load_of(0, 400'000);
    once_slow.network_us = 300'000;
    const time_point now = usual.reported_at;
    once_slow.reported_at = now - options.failure_decay_time;
    const std::array<candidate, 2> both{candidate{"usual", false, true, &usual},
                                        candidate{"once slow", false, true, &once_slow}};
    std::size_t chosen_again = 0;
    constexpr std::uint64_t draws = 100;
    for (std::uint64_t draw = 0; draw < draws; ++draw) {
        chosen_again += choose({both, {}, 0, draw, now}, options).endpoint->node == "once slow" ? 1 : 0;
    }
    BOOST_TEST(chosen_again > 0U);
}

BOOST_DATA_TEST_CASE(the_endpoint_with_the_lowest_expected_response_time_is_chosen,
                     boost::unit_test::data::make(choice_rows))
{
    endpoint_load first = sample.first;
    endpoint_load second = sample.second;
    const std::array<candidate, 2> both{
        candidate{"first", sample.first_is_own_target, sample.first_same_data_centre, &first},
        candidate{"second", false, sample.second_same_data_centre, &second}};
    constexpr std::uint64_t draws = 50;
    const time_point now = first.reported_at;
    const time_point deadline = now + milliseconds(1000);
    choice_options options;
    options.transfer_ms_per_kb = 1.6;
    for (std::uint64_t draw = 0; draw < draws; ++draw) {
        const choice_request request{both, {}, sample.body_bytes, draw, now, deadline};
        BOOST_TEST(choose(request, options).endpoint->node == sample.chosen);
    }
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_was_tried_is_not_chosen_again)
{
    endpoint_load load;
    const std::array<candidate, 1> one{candidate{"first", false, true, &load}};
    const std::array<std::string, 1> tried{"first"};
    BOOST_TEST(choose({one, tried, 0, 1, steady_clock::now()}, {}).endpoint == nullptr);
}

BOOST_AUTO_TEST_CASE(backoff_after_failures_grows_up_to_a_limit)
{
    const choice_options options;
    const time_point now = steady_clock::now();
    endpoint_load load;
    record_endpoint_failure(load, now, options);
    BOOST_TEST((load.backoff_until - now == options.initial_backoff));
    for (int i = 0; i < 20; ++i) {
        record_endpoint_failure(load, now, options);
    }
    BOOST_TEST((load.backoff_until - now == options.max_backoff));
    record_endpoint_success(load);
    BOOST_TEST((load.backoff_until <= now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
