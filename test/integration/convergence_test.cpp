#define BOOST_TEST_MODULE convergence
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;
using stand_ins::link_fault;

namespace {

/// Watches every proxy's version from outside and notes any that goes back while its process lives.
class version_watch {
public:
    explicit version_watch(const fleet& watched) : f(watched), thread([this] { this->run(); }) {}
    version_watch(const version_watch&) = delete;
    version_watch& operator=(const version_watch&) = delete;
    ~version_watch() { this->stop(); }

    std::size_t stop()
    {
        this->done = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->steps_back;
    }

private:
    void run()
    {
        std::map<std::string, std::int64_t> newest;
        while (!this->done) {
            for (const auto& n : this->f.nodes) {
                const std::int64_t version = n->version();
                // A proxy that does not serve yet may still be catching up: versions count from its readiness
                // on.
                if (version < 0 || !n->ready()) {
                    continue;
                }
                this->steps_back += version < newest[n->options.name] ? 1 : 0;
                newest[n->options.name] = version;
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    const fleet& f;
    std::atomic<bool> done{false};
    std::atomic<std::size_t> steps_back{0};
    std::thread thread;
};

/// Proxies without targets over some data centres, declarations in force, faults before each.
struct proxy_fleet {
    explicit proxy_fleet(std::size_t count, std::size_t data_centres = 2,
                         const stand_ins::log_options& log = {}, const std::vector<std::string>& flags = {})
        : f(log)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->f.add({"p" + std::to_string(i),
                         "celje-" + std::to_string(i % data_centres + 1),
                         "",
                         {},
                         flags,
                         true});
        }
        BOOST_REQUIRE(this->f.bring_up(this->first(), example_path("savinja/pattern-shop.yaml")));
        this->version = 1;
    }

    [[nodiscard]] node& first() const { return *this->f.nodes.front(); }

    /// Submits the next version through a proxy.
    /// @return whether it was accepted.
    bool change(const node& through)
    {
        const std::string operations =
            json::array({{{"op", "add"},
                          {"path", "/services/extra-" + std::to_string(this->version)},
                          {"value", {{"slots", this->version}}}}})
                .dump();
        const client_response answer = this->f.submit(through, "change-" + std::to_string(this->version),
                                                      static_cast<std::uint64_t>(this->version), operations);
        if (answer.status == 200) {
            ++this->version;
        }
        return answer.status == 200;
    }

    [[nodiscard]] std::vector<node*> readers() const
    {
        std::vector<node*> found;
        for (const auto& n : this->f.nodes) {
            if (n->process->running() && metric(n->at.local, "pomeloloft_reader") == 1) {
                found.push_back(n.get());
            }
        }
        return found;
    }

    fleet f;
    std::int64_t version = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_change_reaches_every_proxy_within_the_limit)
{
    proxy_fleet s(13, 4);
    const version_watch watch(s.f);
    for (int i = 0; i < 10; ++i) {
        const node& through = *s.f.nodes[static_cast<std::size_t>(i) % s.f.nodes.size()];
        BOOST_TEST(s.change(through));
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    }
}

BOOST_AUTO_TEST_CASE(killing_all_readers_at_once_does_not_delay_a_change)
{
    proxy_fleet s(10, 1);
    version_watch watch(s.f);
    BOOST_REQUIRE(wait_until(startup_timeout, [&] { return s.readers().size() == 2; }));
    const auto readers = s.readers();
    for (node* reader : readers) {
        reader->process->kill();
    }
    const node* alive = nullptr;
    for (const auto& n : s.f.nodes) {
        alive = n->process->running() ? n.get() : alive;
    }
    BOOST_TEST(s.change(*alive));
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    BOOST_TEST(watch.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_accepted_just_before_a_log_outage_reaches_every_proxy)
{
    proxy_fleet s(9, 3);
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(s.change(s.first()));
        s.f.log->set_faults({true, milliseconds{0}, 0});
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
        BOOST_TEST(!s.change(s.first()));
        s.f.log->set_faults({});
        const std::int64_t held = s.version;
        BOOST_TEST(wait_until(startup_timeout, [&] { return s.change(s.first()); }));
        BOOST_TEST(s.version == held + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_slow_log_delays_only_acceptance)
{
    proxy_fleet s(6, 2);
    const version_watch watch(s.f);
    s.f.log->set_faults({false, milliseconds{700}, 0});
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(*s.f.nodes[static_cast<std::size_t>(i)]));
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    }
}

BOOST_AUTO_TEST_CASE(a_change_reaches_every_proxy_while_most_of_them_restart)
{
    proxy_fleet s(20, 2);
    version_watch watch(s.f);
    std::mt19937_64 random(test_seed());
    std::vector<node*> victims;
    for (const auto& n : s.f.nodes) {
        victims.push_back(n.get());
    }
    std::shuffle(victims.begin(), victims.end(), random);
    victims.resize(12);
    for (node* victim : victims) {
        victim->process->kill();
    }
    for (node* victim : victims) {
        victim->start();
    }
    const node* alive = nullptr;
    for (const auto& n : s.f.nodes) {
        alive = std::find(victims.begin(), victims.end(), n.get()) == victims.end() ? n.get() : alive;
    }
    BOOST_TEST(s.change(*alive));
    BOOST_TEST(s.f.wait_until_ready(startup_timeout));
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    BOOST_TEST(watch.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(a_proxy_restarted_during_a_log_outage_waits_for_two_peers)
{
    proxy_fleet s(4, 1);
    node& witness = *s.f.nodes[1];
    node& restarted = *s.f.nodes[0];
    s.f.log->set_faults({true, milliseconds{0}, 0});
    restarted.process->kill();
    restarted.options.extra_flags = {"--peers", witness.at.control};
    for (std::size_t i = 2; i < s.f.nodes.size(); ++i) {
        s.f.nodes[i]->process->signal(SIGSTOP);
    }
    restarted.start();
    std::this_thread::sleep_for(convergence_limit);
    BOOST_TEST(!restarted.ready());
    const client_response refused = call(restarted.at.callers, {"GET", "/records/1"});
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.outcome() == "not-run");
    for (std::size_t i = 2; i < s.f.nodes.size(); ++i) {
        s.f.nodes[i]->process->signal(SIGCONT);
    }
    BOOST_TEST(wait_until(startup_timeout, [&] { return restarted.ready(); }));
    BOOST_TEST(restarted.version() == 1);
}

BOOST_AUTO_TEST_CASE(a_partitioned_data_centre_catches_up)
{
    proxy_fleet s(8, 2);
    version_watch watch(s.f);
    for (const auto& n : s.f.nodes) {
        if (n->options.data_centre == "celje-2") {
            n->control_faults->set_fault(link_fault::cut);
            n->log_faults->set_fault(link_fault::cut);
        }
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(s.first()));
    }
    const std::int64_t before = s.f.nodes[1]->version();
    BOOST_TEST(before >= 1);
    for (const auto& n : s.f.nodes) {
        n->control_faults->set_fault(link_fault::none);
        n->log_faults->set_fault(link_fault::none);
    }
    // The longest backoff before a cut-off reader asks again comes on top of the target.
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit + milliseconds{2000}));
    BOOST_TEST(watch.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(a_reader_without_log_access_is_updated_by_its_peers)
{
    proxy_fleet s(6, 2);
    for (const auto& n : s.f.nodes) {
        if (n->options.data_centre == "celje-2") {
            n->log_faults->set_fault(link_fault::cut);
        }
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(s.first()));
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    }
}

BOOST_AUTO_TEST_CASE(suspended_processes_catch_up_and_versions_never_decrease)
{
    proxy_fleet s(8, 2);
    version_watch watch(s.f);
    std::mt19937_64 random(test_seed());
    for (int round = 0; round < 2; ++round) {
        node& frozen = *s.f.nodes[1 + random() % (s.f.nodes.size() - 1)];
        frozen.process->signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds{3500});
        BOOST_TEST(s.change(s.first()));
        frozen.process->signal(SIGCONT);
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit + milliseconds{2000}));
    }
    BOOST_TEST(watch.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(configuration_survives_the_retention_time_of_the_log)
{
    stand_ins::log_options brief;
    brief.retention = milliseconds{6000};
    proxy_fleet s(3, 1, brief, {"--log-retention-ms", "6000"});
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(s.first()));
    }
    // Past the retention of the newest change, with all but none of the processes that saw it.
    std::this_thread::sleep_for(brief.retention + milliseconds{3000});
    BOOST_TEST(s.f.log->records("pomeloloft-config").size() <= 4U);
    for (const auto& n : s.f.nodes) {
        n->process->kill();
    }
    for (const auto& n : s.f.nodes) {
        n->start();
    }
    BOOST_TEST(s.f.wait_until_ready(startup_timeout));
    BOOST_TEST(s.f.wait_for_version(4, convergence_limit));
    BOOST_TEST(s.change(s.first()));
    BOOST_TEST(s.f.wait_for_version(5, convergence_limit));
}

BOOST_AUTO_TEST_CASE(concurrent_operators_get_distinct_versions_while_proxies_restart)
{
    proxy_fleet s(8, 2);
    version_watch watch(s.f);
    std::atomic<bool> done{false};
    std::mutex mutex;
    std::map<std::uint64_t, int> winners;
    std::vector<std::thread> operators;
    for (int o = 0; o < 6; ++o) {
        operators.emplace_back([&, o] {
            std::mt19937_64 random(test_seed() + static_cast<std::uint64_t>(o));
            for (int i = 0; !done; ++i) {
                const node& through = *s.f.nodes[random() % 3];
                const std::int64_t base = through.version();
                const std::string name = "o" + std::to_string(o) + "-" + std::to_string(i);
                const std::string operations =
                    json::array({{{"op", "add"}, {"path", "/services/" + name}, {"value", json::object()}}})
                        .dump();
                const client_response answer =
                    s.f.submit(through, name, static_cast<std::uint64_t>(base), operations);
                if (answer.status == 200) {
                    const std::lock_guard lock(mutex);
                    ++winners[json::parse(answer.body).at("version").get<std::uint64_t>()];
                }
            }
        });
    }
    for (int round = 0; round < 4; ++round) {
        node& victim = *s.f.nodes[3 + static_cast<std::size_t>(round)];
        victim.process->kill();
        std::this_thread::sleep_for(milliseconds{300});
        victim.start();
    }
    done = true;
    for (std::thread& t : operators) {
        t.join();
    }
    BOOST_TEST(!winners.empty());
    for (const auto& [version, count] : winners) {
        BOOST_TEST_INFO("version " << version);
        BOOST_TEST(count == 1);
    }
    const auto newest = static_cast<std::int64_t>(winners.rbegin()->first);
    BOOST_TEST(s.f.wait_until_ready(startup_timeout));
    BOOST_TEST(s.f.wait_for_version(newest, convergence_limit));
    BOOST_TEST(watch.stop() == 0U);
}
