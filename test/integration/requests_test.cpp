#define BOOST_TEST_MODULE requests
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "fleet.hpp"
#include "pomeloloft/base/hash.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;
using stand_ins::link_fault;

namespace {

/// Maximum time for recovery from a fault; the requirement is "a few seconds".
constexpr milliseconds recovery_limit{3000};

/// Targets of one service (three by default) and two proxies without targets, `entry` and `other`, in one
/// data centre, each node behind fault proxies.
struct request_fleet {
    explicit request_fleet(std::size_t targets = 3, const stand_ins::target_options& setup = {},
                           const std::vector<std::string>& flags = {})
    {
        for (std::size_t i = 0; i < targets; ++i) {
            this->f.add({"t" + std::to_string(i), "celje-1", "register", setup, flags, true});
        }
        this->f.add({"entry", "celje-1", "", {}, flags, true});
        this->f.add({"other", "celje-1", "", {}, flags, true});
        BOOST_REQUIRE(this->f.bring_up(this->entry(), example_path("savinja/pattern-shop.yaml")));
        this->targets = targets;
        for (const auto& n : this->f.nodes) {
            BOOST_REQUIRE(this->f.wait_for_endpoints(*n, targets, startup_timeout));
        }
    }

    [[nodiscard]] node& entry() { return *this->f.nodes[this->f.nodes.size() - 2]; }
    [[nodiscard]] node& other() { return *this->f.nodes.back(); }

    [[nodiscard]] std::uint64_t runs(const std::string& id) const
    {
        std::uint64_t total = 0;
        for (const auto& n : this->f.nodes) {
            total += n->target ? n->target->runs(id) : 0;
        }
        return total;
    }

    fleet f;
    std::size_t targets = 0;
};

client_request repair_request(const std::string& id, const std::string& key, int work_ms = 0)
{
    return {"POST",
            "/repairs",
            {{"X-Request-Id", id}, {"Idempotency-Key", key}, {"X-Work-Ms", std::to_string(work_ms)}},
            "{\"repair\": \"" + id + "\"}",
            milliseconds{8000}};
}

client_request read_request(const std::string& id, int work_ms = 0, int answer_bytes = 0)
{
    return {"GET",
            "/records/" + id,
            {{"X-Request-Id", id},
             {"X-Work-Ms", std::to_string(work_ms)},
             {"X-Answer-Bytes", std::to_string(answer_bytes)}},
            "",
            milliseconds{8000}};
}

/// Checks the outcome reported to the caller against the number of runs that the targets counted.
void check_outcome(const std::string& outcome, std::uint64_t runs)
{
    if (outcome == "not-run") {
        BOOST_TEST(runs == 0U);
    }
    if (outcome == "ran") {
        BOOST_TEST(runs == 1U);
    }
    BOOST_TEST(runs <= 1U);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_caller_gets_the_complete_response_to_its_own_request)
{
    request_fleet s;
    constexpr int callers = 16;
    constexpr int requests = 120;
    std::atomic<int> mismatched{0};
    std::atomic<int> complete{0};
    std::vector<std::thread> threads;
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            std::mt19937_64 random(test_seed() + static_cast<std::uint64_t>(c));
            for (int i = 0; i < requests; ++i) {
                const std::string id = std::to_string(c) + "-" + std::to_string(i);
                client_request request =
                    read_request(id, static_cast<int>(random() % 4), static_cast<int>(random() % 40'000));
                const bool cut = random() % 10 == 0;
                if (cut) {
                    request.headers.emplace_back("X-Cut", "1");
                }
                if (random() % 2 == 0) {
                    request.headers.emplace_back("X-Chunked", "1");
                }
                const client_response response = call(s.entry().at.callers, request);
                const bool matches = response.header("X-Request-Id") == id &&
                                     response.header("X-Body-Hash") == to_hex(hash_bytes(response.body));
                if (response.status == 200 && response.complete) {
                    mismatched += !matches || cut ? 1 : 0;
                    ++complete;
                }
            }
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    BOOST_TEST(mismatched == 0);
    BOOST_TEST(complete >= callers * requests * 8 / 10);
}

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

BOOST_AUTO_TEST_CASE(requests_of_disconnected_callers_are_cancelled_and_free_their_slots)
{
    request_fleet s(1);
    constexpr int callers = 10;
    std::vector<std::thread> threads;
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            client_request request = read_request("gone-" + std::to_string(c), 20'000);
            request.timeout = milliseconds{500};
            (void)call(s.entry().at.callers, request);
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    const std::string counters_at = "127.0.0.1:" + std::to_string(s.f.nodes[0]->target->port());
    BOOST_TEST(wait_until(recovery_limit, [&] {
        const json counters = json::parse(call(counters_at, {"GET", "/stand-in/counters"}).body);
        return counters.at("cancelled") == callers && counters.at("running") == 0;
    }));
    // The disconnected callers had occupied all ten slots.
    BOOST_TEST(call(s.entry().at.callers, read_request("after")).status == 200);
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

BOOST_AUTO_TEST_CASE(outcomes_are_correct_while_connections_fail)
{
    request_fleet s;
    std::mt19937_64 random(test_seed());
    std::atomic<bool> done{false};
    std::thread fault_injector([&] {
        while (!done) {
            node& victim = *s.f.nodes[random() % s.targets];
            const auto kind = random() % 3;
            if (kind == 0) {
                victim.peer_faults->reset_connections();
            } else {
                victim.peer_faults->set_fault(kind == 1 ? link_fault::cut : link_fault::silent_downstream);
                std::this_thread::sleep_for(milliseconds(random() % 60));
                victim.peer_faults->set_fault(link_fault::none);
            }
            std::this_thread::sleep_for(milliseconds(random() % 40));
        }
    });
    constexpr int callers = 8;
    constexpr int requests = 40;
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<std::pair<std::string, std::string>> reported;
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            for (int i = 0; i < requests; ++i) {
                const std::string id = "b" + std::to_string(c) + "-" + std::to_string(i);
                const std::string key = get_key(s.entry().at.callers);
                client_request request = repair_request(id, key, 5);
                request.headers.emplace_back("X-Pomeloloft-Deadline-Ms", "700");
                const client_response response = call(s.entry().at.callers, request);
                const std::lock_guard lock(mutex);
                reported.emplace_back(id, response.outcome());
            }
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    done = true;
    fault_injector.join();
    int ran = 0;
    for (const auto& [id, outcome] : reported) {
        check_outcome(outcome, s.runs(id));
        ran += outcome == "ran" ? 1 : 0;
    }
    BOOST_TEST(ran > callers * requests / 2);
}

BOOST_AUTO_TEST_CASE(requests_reported_as_not_run_under_overload_did_not_run)
{
    stand_ins::target_options slow;
    slow.service_time = milliseconds{50};
    request_fleet s(1, slow);
    constexpr int callers = 120;
    std::vector<std::thread> threads;
    std::vector<client_response> responses(callers);
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            const std::string key = get_key(s.entry().at.callers);
            responses[c] = call(s.entry().at.callers, repair_request("load-" + std::to_string(c), key));
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    int refused = 0;
    for (int c = 0; c < callers; ++c) {
        check_outcome(responses[c].outcome(), s.runs("load-" + std::to_string(c)));
        refused += responses[c].outcome() == "not-run" ? 1 : 0;
    }
    BOOST_TEST(refused > 0);
    const json counters = json::parse(
        call("127.0.0.1:" + std::to_string(s.f.nodes[0]->target->port()), {"GET", "/stand-in/counters"})
            .body);
    BOOST_TEST(counters.at("most_running") <= 10);
    BOOST_TEST(counters.at("shed") == 0);
}

BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_new_requests_and_finishes_those_in_flight)
{
    request_fleet s;
    std::atomic<bool> done{false};
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
    for (int c = 0; c < 6; ++c) {
        threads.emplace_back([&, c] {
            for (int i = 0; !done; ++i) {
                const client_response response =
                    call(s.entry().at.callers,
                         read_request("leave-" + std::to_string(c) + "-" + std::to_string(i), 40));
                failed += response.status == 200 && response.complete ? 0 : 1;
            }
        });
    }
    std::this_thread::sleep_for(milliseconds{300});
    node& draining = *s.f.nodes[0];
    draining.target->withdraw_and_stop();
    BOOST_TEST(draining.process->terminate(recovery_limit).value_or(-1) == 0);
    std::this_thread::sleep_for(milliseconds{500});
    done = true;
    for (std::thread& t : threads) {
        t.join();
    }
    BOOST_TEST(failed == 0);
    BOOST_TEST(s.f.wait_for_endpoints(s.entry(), 2, recovery_limit));
}

BOOST_AUTO_TEST_CASE(graceful_shutdown_completes_all_requests_in_flight)
{
    request_fleet s;
    std::vector<std::thread> threads;
    std::vector<client_response> responses(12);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        threads.emplace_back([&, i] {
            if (i % 2 == 0) {
                responses[i] =
                    call(s.f.nodes[0]->at.callers, read_request("stop-" + std::to_string(i), 800, 200'000));
            } else {
                responses[i] = call(s.entry().at.callers, repair_request("stop-" + std::to_string(i),
                                                                         get_key(s.entry().at.callers), 800));
            }
        });
    }
    BOOST_REQUIRE(wait_until(recovery_limit, [&] {
        std::uint64_t runs = 0;
        for (std::size_t i = 0; i < responses.size(); ++i) {
            runs += s.runs("stop-" + std::to_string(i));
        }
        return runs == responses.size();
    }));
    const auto first = s.f.nodes[0]->process->terminate(milliseconds{5000});
    const auto entry = s.entry().process->terminate(milliseconds{5000});
    for (std::thread& t : threads) {
        t.join();
    }
    BOOST_TEST(first.value_or(-1) == 0);
    BOOST_TEST(entry.value_or(-1) == 0);
    for (const client_response& response : responses) {
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.complete);
    }
}

BOOST_AUTO_TEST_CASE(a_long_upload_completes_while_its_proxies_shut_down)
{
    fleet f;
    node& target = f.add({"t0", "celje-1", "geometry", {}, {}, false});
    node& entry = f.add({"entry", "celje-1", "", {}, {}, false});
    BOOST_REQUIRE(f.bring_up(entry, example_path("savinja/pattern-shop.yaml")));
    BOOST_REQUIRE(f.wait_for_endpoints(entry, 1, startup_timeout));
    constexpr int pieces = 40;
    const std::string piece(100'000, 's');
    client_response response;
    std::atomic<int> sent{0};
    std::thread uploader([&] {
        response = upload_slowly(entry.at.callers, "/scans/7", piece, pieces, milliseconds{40}, sent);
    });
    BOOST_REQUIRE(wait_until(recovery_limit, [&] { return sent > 5; }));
    const auto entry_end =
        std::async(std::launch::async, [&] { return entry.process->terminate(milliseconds{8000}); });
    const auto target_end = target.process->terminate(milliseconds{8000});
    uploader.join();
    BOOST_TEST(target_end.value_or(-1) == 0);
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.complete);
    BOOST_TEST(json::parse(response.body).at("body_bytes") == piece.size() * pieces);
}

BOOST_AUTO_TEST_CASE(unresponsive_connections_are_abandoned_and_outcomes_are_correct)
{
    request_fleet s(2);
    for (int i = 0; i < 20; ++i) {
        (void)call(s.entry().at.callers, read_request("warm-" + std::to_string(i)));
    }
    for (std::size_t i = 0; i < s.targets; ++i) {
        s.f.nodes[i]->peer_faults->set_fault(link_fault::silent_old);
    }
    int answered = 0;
    constexpr int requests = 10;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "silent-" + std::to_string(i);
        const std::string key = get_key(s.entry().at.callers);
        client_request request = repair_request(id, key);
        request.headers.emplace_back("X-Pomeloloft-Deadline-Ms", "1500");
        const client_response response = call(s.entry().at.callers, request);
        check_outcome(response.outcome(), s.runs(id));
        answered += response.outcome() == "ran" ? 1 : 0;
    }
    BOOST_TEST(answered == requests);
}

BOOST_AUTO_TEST_CASE(a_resumed_proxy_does_not_run_expired_requests)
{
    request_fleet s(1);
    node& paused = *s.f.nodes[0];
    paused.process->signal(SIGSTOP);
    std::vector<std::thread> threads;
    std::vector<client_response> responses(4);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        threads.emplace_back([&, i] {
            client_request request =
                repair_request("late-" + std::to_string(i), get_key(s.entry().at.callers));
            request.headers.emplace_back("X-Pomeloloft-Deadline-Ms", "1000");
            responses[i] = call(s.entry().at.callers, request);
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    std::this_thread::sleep_for(milliseconds{1500});
    paused.process->signal(SIGCONT);
    BOOST_TEST(wait_until(recovery_limit,
                          [&] { return call(s.entry().at.callers, read_request("after")).status == 200; }));
    for (std::size_t i = 0; i < responses.size(); ++i) {
        BOOST_TEST(responses[i].outcome() != "ran");
        BOOST_TEST(s.runs("late-" + std::to_string(i)) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_quarantined)
{
    fleet f;
    constexpr std::size_t targets = 5;
    for (std::size_t i = 0; i < targets; ++i) {
        f.add({"t" + std::to_string(i), "celje-1", "", {}, {}, false});
    }
    node& entry = f.add({"entry", "celje-1", "", {}, {}, false});
    BOOST_REQUIRE(f.bring_up(entry, example_path("savinja/pattern-shop.yaml")));
    std::vector<std::unique_ptr<child_process>> processes;
    for (std::size_t i = 0; i < targets; ++i) {
        processes.push_back(std::make_unique<child_process>(
            POMELOLOFT_STAND_IN,
            std::vector<std::string>{"target", "--service", "register", "--local", f.nodes[i]->at.local},
            "/dev/null"));
    }
    BOOST_REQUIRE(f.wait_for_endpoints(entry, targets, startup_timeout));
    // The requirement allows a few crashes. Two crashes quarantine a request; one more attempt may be in
    // flight by then.
    constexpr std::size_t max_crashes = 3;
    int refused = 0;
    for (int resend = 0; resend < 12; ++resend) {
        client_request poison = read_request("poison");
        poison.headers.emplace_back("X-Crash", "1");
        const node& entry_proxy = *f.nodes[static_cast<std::size_t>(resend) % f.nodes.size()];
        const client_response response = call(entry_proxy.at.callers, poison);
        refused += response.status == 422 ? 1 : 0;
        BOOST_TEST(call(entry_proxy.at.callers, read_request("fine-" + std::to_string(resend))).status ==
                   200);
    }
    std::size_t crashed = 0;
    for (const auto& process : processes) {
        crashed += process->running() ? 0 : 1;
    }
    BOOST_TEST(crashed >= 2U);
    BOOST_TEST(crashed <= max_crashes);
    BOOST_TEST(refused >= 8);
    for (const auto& process : processes) {
        if (process->running()) {
            BOOST_TEST(process->terminate(recovery_limit).value_or(-1) == 0);
        }
    }
}
