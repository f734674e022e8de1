#define BOOST_TEST_MODULE requests
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "request_fleet.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;
using stand_ins::link_fault;

namespace {

/// Maximum time for recovery from a fault; the requirement is "a few seconds".
constexpr milliseconds recovery_limit{3000};

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
