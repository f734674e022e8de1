#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "pomeloloft/traffic/admission.hpp"
#include "pomeloloft/traffic/attempt_registry.hpp"
#include "pomeloloft/traffic/choose.hpp"
#include "pomeloloft/traffic/idempotency.hpp"
#include "pomeloloft/traffic/retry.hpp"

namespace {

using namespace pomeloloft;

service_view make_service(std::size_t local, std::size_t remote)
{
    service_view out;
    out.limits.slots = 10;
    out.limits.slow_start_ms = 1000;
    for (std::size_t i = 0; i < local + remote; ++i) {
        endpoint e;
        e.node = "e" + std::to_string(i);
        e.load = std::make_shared<endpoint_load>();
        (i < local ? out.local : out.remote).push_back(std::move(e));
    }
    return out;
}

constexpr int draw_count = 4000;

std::map<std::string, int> draw_choices(const service_view& target, time_point now)
{
    std::map<std::string, int> chosen;
    std::uint64_t random = 88172645463325252ULL;
    for (int i = 0; i < draw_count; ++i) {
        random ^= random << 13U;
        random ^= random >> 7U;
        random ^= random << 17U;
        if (const endpoint* e = choose_endpoint({&target, {}, random, now}, {})) {
            ++chosen[e->node];
        }
    }
    return chosen;
}

bool is_local(const service_view& target, const endpoint& e)
{
    return std::any_of(target.local.begin(), target.local.end(),
                       [&e](const endpoint& other) { return other.node == e.node; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(retry_budget_limits_retries_to_a_tenth_of_the_calls)
{
    retry_budget budget;
    constexpr int calls = 10'000;
    constexpr int reserve = 10;
    int attempts = 0;
    for (int i = 0; i < calls; ++i) {
        budget.deposit();
        ++attempts;
        for (std::uint32_t attempt = 1; attempt < max_attempts && budget.withdraw(); ++attempt) {
            ++attempts;
        }
    }
    BOOST_TEST(attempts <= calls + calls / 10 + reserve);
    BOOST_TEST(attempts > calls + calls / 11);
}

namespace {

constexpr int chain_length = 29;

/// Simulates a chain of services that each call the next one; the last one is down.
/// @return the number of attempts on the last service.
int call_chain(std::vector<retry_budget>& budgets, int level, bool retried_above)
{
    if (level == chain_length) {
        return 1;
    }
    retry_inputs inputs;
    inputs.last = run_state::not_run;
    inputs.replayable = true;
    inputs.retried_above = retried_above;
    inputs.deadline = no_deadline;
    budgets[static_cast<std::size_t>(level)].deposit();
    int attempts = 0;
    for (inputs.attempts_made = 1;; ++inputs.attempts_made) {
        attempts += call_chain(budgets, level + 1, true);
        const bool is_retried =
            may_retry(inputs, steady_clock::now()) && budgets[static_cast<std::size_t>(level)].withdraw();
        if (!is_retried) {
            return attempts;
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_chain_is_retried_at_one_level_only)
{
    std::vector<retry_budget> budgets(chain_length);
    constexpr int calls = 2000;
    constexpr int reserve = 10;
    int attempts = 0;
    for (int i = 0; i < calls; ++i) {
        attempts += call_chain(budgets, 0, false);
    }
    BOOST_TEST(attempts > calls);
    BOOST_TEST(attempts <= calls + calls / 10 + reserve);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_reported_as_not_run)
{
    attempt_history history;
    count_attempt(history, run_state::unknown, false);
    count_attempt(history, run_state::not_run, false);
    BOOST_TEST((reported_run_state(history, run_state::not_run) == run_state::unknown));
    BOOST_TEST((reported_run_state(history, run_state::ran) == run_state::ran));
    BOOST_TEST((reported_run_state(attempt_history{}, run_state::not_run) == run_state::not_run));
}

BOOST_AUTO_TEST_CASE(unreachable_endpoints_do_not_count_as_attempts)
{
    attempt_history history;
    for (std::uint32_t i = 1; i < max_unreachable_endpoints; ++i) {
        count_attempt(history, run_state::not_run, true);
        BOOST_TEST(is_below_unreachable_limit(history));
    }
    BOOST_TEST(history.sent == 0U);
    count_attempt(history, run_state::not_run, true);
    BOOST_TEST(!is_below_unreachable_limit(history));
}

BOOST_AUTO_TEST_CASE(retry_backoff_leaves_time_for_the_retry)
{
    for (std::uint64_t random = 0; random < 1000; ++random) {
        BOOST_TEST(retry_backoff(1, milliseconds{1000}, random) <= milliseconds{10});
        BOOST_TEST(retry_backoff(2, milliseconds{1000}, random) <= milliseconds{20});
        BOOST_TEST(retry_backoff(100, milliseconds{10'000}, random) <= milliseconds{160});
        BOOST_TEST(retry_backoff(2, milliseconds{10}, random) <= milliseconds{10});
    }
    BOOST_TEST(retry_backoff(1, milliseconds{0}, 7) == milliseconds{0});
    std::set<milliseconds> drawn_backoffs;
    for (std::uint64_t random = 0; random < 1000; ++random) {
        drawn_backoffs.insert(retry_backoff(2, milliseconds{1000}, random));
    }
    BOOST_TEST(drawn_backoffs.size() == 21U);
}

BOOST_AUTO_TEST_CASE(a_request_is_held_back_only_as_long_as_it_still_gets_its_response)
{
    const time_point now = steady_clock::now();
    const std::chrono::microseconds response_time{60'000};
    BOOST_TEST((spare_time(now + milliseconds{80}, now, response_time) == milliseconds{20}));
    BOOST_TEST((spare_time(now + milliseconds{60}, now, response_time) == milliseconds{0}));
    BOOST_TEST((spare_time(now + milliseconds{80}, now, {}) == milliseconds{80}));
    for (std::uint64_t random = 0; random < 1000; ++random) {
        // 80 ms are left, of which an eighth, 10 ms, is more than the run leaves.
        const milliseconds spare = spare_time(now + milliseconds{80}, now, std::chrono::microseconds{75'000});
        BOOST_TEST(retry_backoff(2, spare, random) <= milliseconds{5});
    }
}

BOOST_AUTO_TEST_CASE(local_endpoints_with_less_load_are_preferred)
{
    const service_view target = make_service(4, 4);
    target.local[0].load->reported_load = 9;
    const auto chosen = draw_choices(target, steady_clock::now());
    BOOST_TEST(chosen.size() == 3U);
    BOOST_TEST(!chosen.contains("e0"));
    BOOST_TEST(!chosen.contains("e4"));
}

BOOST_AUTO_TEST_CASE(a_request_that_failed_in_another_data_centre_stays_local)
{
    // The local endpoints have only just started, so the remote ones have a better score.
    service_view target = make_service(4, 4);
    const time_point now = steady_clock::now();
    target.limits.slow_start_ms = 10'000;
    for (endpoint& e : target.local) {
        e.serving_since = now;
        e.load->reported_load = 9;
    }
    constexpr std::uint64_t random = 88172645463325252ULL;
    const endpoint* first = choose_endpoint({&target, {}, random, now}, {});
    BOOST_REQUIRE(first != nullptr);
    BOOST_REQUIRE(!is_local(target, *first));
    const std::vector<std::string> tried{first->node};
    for (std::uint64_t draw = 1; draw <= 100; ++draw) {
        BOOST_TEST(is_local(target, *choose_endpoint({&target, tried, draw * random, now}, {})));
    }
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_gets_under_one_percent_and_is_measured_again)
{
    const service_view target = make_service(4, 0);
    const time_point now = steady_clock::now();
    constexpr std::uint32_t typical_response_us = 20'000;
    for (const endpoint& e : target.local) {
        apply_report(*e.load, {1, typical_response_us}, now);
    }
    apply_report(*target.local[2].load, {1, typical_response_us * 10}, now);
    const auto chosen = draw_choices(target, now);
    BOOST_TEST(chosen.contains("e2"));
    BOOST_TEST(chosen.at("e2") < draw_count / 100);
    // Outdated response times are ignored.
    const auto later = draw_choices(target, now + endpoint_choice_options{}.response_time_max_age);
    BOOST_TEST(later.at("e2") > draw_count / 8);
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_is_used_when_the_others_are_overloaded)
{
    const service_view target = make_service(3, 0);
    const time_point now = steady_clock::now();
    for (const endpoint& e : target.local) {
        apply_report(*e.load, {40, 20'000}, now);
    }
    apply_report(*target.local[0].load, {0, 200'000}, now);
    BOOST_TEST(draw_choices(target, now).at("e0") > draw_count / 2);
}

BOOST_AUTO_TEST_CASE(an_endpoint_without_response_time_is_compared_by_load)
{
    const service_view target = make_service(2, 0);
    const time_point now = steady_clock::now();
    apply_report(*target.local[0].load, {1, 200'000}, now);
    apply_report(*target.local[1].load, {2, 0}, now);
    BOOST_TEST(!draw_choices(target, now).contains("e1"));
}

BOOST_AUTO_TEST_CASE(requests_spill_over_from_an_overloaded_data_centre)
{
    const service_view target = make_service(3, 3);
    for (const endpoint& e : target.local) {
        e.load->reported_load = 12;
    }
    const auto chosen = draw_choices(target, steady_clock::now());
    for (const auto& [node, unused] : chosen) {
        BOOST_TEST(node >= "e3");
    }
}

BOOST_AUTO_TEST_CASE(requests_do_not_spill_over_to_a_lost_data_centre)
{
    const service_view target = make_service(2, 2);
    const time_point now = steady_clock::now();
    for (const endpoint& e : target.local) {
        e.load->reported_load = 30;
    }
    for (const endpoint& e : target.remote) {
        record_failure(*e.load, endpoint_failure::unreachable, now, {});
    }
    const auto chosen = draw_choices(target, now);
    BOOST_TEST(chosen.contains("e0"));
    BOOST_TEST(!chosen.contains("e2"));
    BOOST_TEST(!chosen.contains("e3"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_in_slow_start_gets_fewer_requests)
{
    service_view target = make_service(3, 0);
    const time_point now = steady_clock::now();
    target.local[1].serving_since = now;
    for (const endpoint& e : target.local) {
        e.load->reported_load = 2;
    }
    const auto chosen = draw_choices(target, now);
    BOOST_TEST(!chosen.contains("e1"));
    BOOST_TEST(draw_choices(target, now + milliseconds{2000}).contains("e1"));
}

BOOST_AUTO_TEST_CASE(failing_endpoints_are_ejected_but_never_all_of_them)
{
    const service_view target = make_service(4, 0);
    const time_point now = steady_clock::now();
    const endpoint_choice_options options;
    for (std::size_t failing = 0; failing < target.local.size(); ++failing) {
        for (std::uint32_t i = 0; i < options.failures_to_eject; ++i) {
            record_failure(*target.local[failing].load, endpoint_failure::no_response, now, options);
        }
        const auto chosen = draw_choices(target, now);
        const std::size_t left = target.local.size() - failing - 1;
        // If more than half of them fail, the cause is not the endpoints themselves, and all are used again.
        BOOST_TEST(chosen.size() == (left >= 2 ? left : 4U));
    }
    BOOST_TEST(draw_choices(target, now + options.ejection_time).size() == 4U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_is_ejected_at_once)
{
    const service_view target = make_service(4, 0);
    const time_point now = steady_clock::now();
    record_failure(*target.local[2].load, endpoint_failure::unreachable, now, {});
    BOOST_TEST(!draw_choices(target, now).contains("e2"));
}

BOOST_AUTO_TEST_CASE(running_requests_never_exceed_the_slots)
{
    admission_controller controller;
    controller.set_limits(3, 40);
    std::atomic<int> running{0};
    std::atomic<int> max_running{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 24; ++i) {
        threads.emplace_back([&, i] {
            const admission_request request{static_cast<priority>(i % 3),
                                            steady_clock::now() + milliseconds{5000}};
            if (controller.acquire_slot(request) != acquire_result::granted) {
                return;
            }
            const int now_running = ++running;
            int seen = max_running;
            while (now_running > seen && !max_running.compare_exchange_weak(seen, now_running)) {
            }
            std::this_thread::sleep_for(milliseconds{5});
            --running;
            controller.release_slot(milliseconds{5});
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    BOOST_TEST(max_running <= 3);
    BOOST_TEST(controller.view().running == 0U);
    BOOST_TEST(controller.wait_idle(steady_clock::now()));
}

BOOST_AUTO_TEST_CASE(an_attempt_is_either_started_or_fenced)
{
    for (int round = 0; round < 200; ++round) {
        attempt_registry registry;
        std::atomic<bool> begun{false};
        attempt_state seen = attempt_state::waiting;
        std::thread running_thread([&] { begun = registry.record_arrival("a") && registry.begin("a"); });
        std::thread fencing_thread([&] { seen = registry.fence("a", true); });
        running_thread.join();
        fencing_thread.join();
        BOOST_TEST(begun == (seen == attempt_state::started));
    }
}

BOOST_AUTO_TEST_CASE(a_key_runs_its_request_once)
{
    key_registry keys("n1", 7);
    const auto key = parse_key(keys.issue().value()).value();
    const auto short_deadline = [] { return steady_clock::now() + milliseconds{20}; };
    BOOST_TEST((keys.claim(key, short_deadline()).state == claim_state::run));
    BOOST_TEST((keys.claim(key, short_deadline()).state == claim_state::in_progress));
    keys.finish_run(key.serial, run_state::not_run, nullptr);
    BOOST_TEST((keys.claim(key, short_deadline()).state == claim_state::run));
    keys.finish_run(key.serial, run_state::ran, std::make_shared<stored_response>());
    BOOST_TEST((keys.claim(key, short_deadline()).state == claim_state::replay));
    const auto second = parse_key(keys.issue().value()).value();
    (void)keys.claim(second, short_deadline());
    keys.finish_run(second.serial, run_state::unknown, nullptr);
    BOOST_TEST((keys.claim(second, short_deadline()).state == claim_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_key_is_valid_only_at_its_issuer_and_until_it_expires)
{
    key_registry keys("n1", 7, {milliseconds{30}, 2, 100});
    auto key = parse_key(keys.issue().value()).value();
    const time_point short_deadline = steady_clock::now() + milliseconds{10};
    key_registry restarted("n1", 8);
    BOOST_TEST((restarted.claim(key, short_deadline).state == claim_state::invalid));
    idempotency_key forged = key;
    ++forged.serial;
    BOOST_TEST((keys.claim(forged, short_deadline).state == claim_state::invalid));
    std::this_thread::sleep_for(milliseconds{40});
    BOOST_TEST((keys.claim(key, short_deadline).state == claim_state::expired));
}

BOOST_DATA_TEST_CASE(malformed_keys_are_rejected,
                     boost::unit_test::data::make({"", "~~~~", "a~1~2~3", "a~1~2~3~x", "~1~2~3~4",
                                                   "a~1~2~3~4 "}),
                     text)
{
    BOOST_TEST(!parse_key(text).has_value());
}

BOOST_AUTO_TEST_CASE(stored_responses_are_bounded)
{
    key_registry keys("n1", 7, {milliseconds{60'000}, 1000, 1000});
    std::vector<idempotency_key> keys_in_order;
    for (int i = 0; i < 10; ++i) {
        keys_in_order.push_back(parse_key(keys.issue().value()).value());
        (void)keys.claim(keys_in_order.back(), steady_clock::now());
        auto response = std::make_shared<stored_response>();
        response->body.assign(300, 'x');
        keys.finish_run(keys_in_order.back().serial, run_state::ran, response);
    }
    BOOST_TEST(keys.claim(keys_in_order.front(), steady_clock::now()).response->body_dropped);
    BOOST_TEST(!keys.claim(keys_in_order.back(), steady_clock::now()).response->body_dropped);
}

BOOST_AUTO_TEST_SUITE_END()
