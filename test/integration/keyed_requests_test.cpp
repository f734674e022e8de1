#define BOOST_TEST_MODULE keyed_requests
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <random>
#include <thread>

#include "request_fleet.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using stand_ins::link_fault;

namespace {

/// Maximum time for recovery from a fault; the requirement is "a few seconds".
constexpr milliseconds recovery_limit{3000};

} // namespace

BOOST_AUTO_TEST_CASE(a_key_used_at_two_proxies_concurrently_runs_once)
{
    request_fleet s;
    for (int round = 0; round < 10; ++round) {
        const std::string id = "twice-" + std::to_string(round);
        const std::string key = get_key(s.other().at.callers);
        BOOST_REQUIRE(!key.empty());
        std::vector<std::thread> threads;
        std::vector<client_response> responses(4);
        for (std::size_t i = 0; i < responses.size(); ++i) {
            threads.emplace_back([&, i] {
                responses[i] = call(i % 2 == 0 ? s.entry().at.callers : s.other().at.callers,
                                    repair_request(id, key, 30));
            });
        }
        for (std::thread& t : threads) {
            t.join();
        }
        BOOST_TEST(s.runs(id) == 1U);
        for (const client_response& response : responses) {
            BOOST_TEST(response.outcome() == "ran");
            BOOST_TEST(response.body == responses[0].body);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_resend_after_the_issuer_was_killed_is_never_run_again)
{
    request_fleet s;
    const std::string key = get_key(s.other().at.callers);
    BOOST_REQUIRE(!key.empty());
    auto first = std::async(std::launch::async,
                            [&] { return call(s.entry().at.callers, repair_request("mid-run", key, 1500)); });
    const bool started = wait_until(recovery_limit, [&] { return s.runs("mid-run") == 1; });
    s.other().process->kill();
    const client_response first_answer = first.get();
    BOOST_REQUIRE_MESSAGE(started, "never ran: " << first_answer.outcome() << ", "
                                                 << first_answer.header("X-Pomeloloft-Reason") << ", "
                                                 << first_answer.body);
    for (int resend = 0; resend < 5; ++resend) {
        const client_response response = call(s.entry().at.callers, repair_request("mid-run", key));
        BOOST_TEST(response.outcome() == "unknown");
    }
    s.other().start();
    BOOST_REQUIRE(s.f.wait_until_ready(startup_timeout));
    const client_response after_restart = call(s.other().at.callers, repair_request("mid-run", key));
    BOOST_TEST(after_restart.outcome() != "ran");
    BOOST_TEST(s.runs("mid-run") == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_with_an_expired_key_never_runs)
{
    constexpr milliseconds lifetime{1500};
    request_fleet s(1, {}, {"--key-lifetime-ms", std::to_string(lifetime.count())});
    const std::string used = get_key(s.other().at.callers);
    const std::string unused = get_key(s.other().at.callers);
    const time_point expired = steady_clock::now() + lifetime;
    BOOST_TEST(call(s.entry().at.callers, repair_request("used", used)).outcome() == "ran");
    std::this_thread::sleep_until(expired + milliseconds{100});
    for (int resend = 0; resend < 3; ++resend) {
        BOOST_TEST(call(s.entry().at.callers, repair_request("used", used)).outcome() == "unknown");
        BOOST_TEST(call(s.other().at.callers, repair_request("unused", unused)).outcome() == "unknown");
    }
    BOOST_TEST(s.runs("used") == 1U);
    BOOST_TEST(s.runs("unused") == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_runs_at_most_once_when_its_issuer_is_suspended_past_the_deadline)
{
    request_fleet s;
    for (int round = 0; round < 3; ++round) {
        const std::string id = "frozen-" + std::to_string(round);
        const std::string key = get_key(s.other().at.callers);
        s.other().process->signal(SIGSTOP);
        client_request request = repair_request(id, key);
        request.headers.emplace_back("X-Pomeloloft-Deadline-Ms", "800");
        const client_response waited = call(s.entry().at.callers, request);
        BOOST_TEST(waited.outcome() == "unknown");
        std::this_thread::sleep_for(milliseconds{700});
        s.other().process->signal(SIGCONT);
        client_response resent;
        BOOST_TEST(wait_until(recovery_limit, [&] {
            resent = call(s.entry().at.callers, repair_request(id, key));
            return resent.outcome() == "ran";
        }));
        BOOST_TEST(s.runs(id) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(outcomes_are_correct_under_simultaneous_log_link_and_target_failures)
{
    request_fleet s;
    std::mt19937_64 random(test_seed());
    s.f.log->set_faults({true, milliseconds{0}, 0});
    std::vector<std::pair<std::string, std::string>> reported;
    for (int round = 0; round < 12; ++round) {
        const std::string id = "triple-" + std::to_string(round);
        const std::string key = get_key(s.entry().at.callers);
        node& cut = *s.f.nodes[random() % s.targets];
        cut.peer_faults->set_fault(link_fault::cut);
        if (round == 4) {
            s.f.nodes[0]->target->stop();
        }
        if (round == 8) {
            s.f.nodes[1]->process->kill();
        }
        client_request request = repair_request(id, key, 5);
        request.headers.emplace_back("X-Pomeloloft-Deadline-Ms", "900");
        client_response last;
        for (int resend = 0; resend < 3; ++resend) {
            last = call((resend % 2 == 0 ? s.other() : s.entry()).at.callers, request);
        }
        cut.peer_faults->set_fault(link_fault::none);
        reported.emplace_back(id, last.outcome());
    }
    s.f.log->set_faults({});
    int ran = 0;
    for (const auto& [id, outcome] : reported) {
        BOOST_TEST_INFO(id << " told " << outcome);
        check_outcome(outcome, s.runs(id));
        ran += outcome == "ran" ? 1 : 0;
    }
    BOOST_TEST(ran >= 4);
}

BOOST_AUTO_TEST_CASE(keys_work_during_a_log_outage)
{
    request_fleet s;
    s.f.log->set_faults({true, milliseconds{0}, 0});
    const std::string key = get_key(s.entry().at.callers);
    BOOST_TEST(call(s.other().at.callers, repair_request("outage", key)).outcome() == "ran");
    BOOST_TEST(call(s.entry().at.callers, repair_request("outage", key)).header("X-Pomeloloft-Replayed") ==
               "true");
    BOOST_TEST(s.runs("outage") == 1U);
}
