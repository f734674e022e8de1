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

/// Polls every proxy's active version and counts decreases. Versions count while a proxy is ready.
class version_monitor {
public:
    explicit version_monitor(const fleet& watched) : f(watched), thread([this] { this->run(); }) {}
    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;
    ~version_monitor() { this->stop(); }

    std::size_t stop()
    {
        this->done = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->regressions;
    }

private:
    void run()
    {
        std::map<std::string, std::int64_t> newest;
        while (!this->done) {
            for (const auto& n : this->f.nodes) {
                const std::int64_t version = n->version();
                // A proxy that is not ready may still be catching up after a restart.
                if (version < 0 || !n->ready()) {
                    continue;
                }
                this->regressions += version < newest[n->options.name] ? 1 : 0;
                newest[n->options.name] = version;
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    const fleet& f;
    std::atomic<bool> done{false};
    std::atomic<std::size_t> regressions{0};
    std::thread thread;
};

/// Proxies without targets in several data centres, each behind fault proxies, with active declarations.
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

    /// Submits the next version to a proxy.
    /// @return whether it was accepted.
    bool change(const node& entry_proxy)
    {
        const std::string operations =
            json::array({{{"op", "add"},
                          {"path", "/services/extra-" + std::to_string(this->version)},
                          {"value", {{"slots", this->version}}}}})
                .dump();
        const client_response response =
            this->f.submit(entry_proxy, "change-" + std::to_string(this->version),
                           static_cast<std::uint64_t>(this->version), operations);
        if (response.status == 200) {
            ++this->version;
        }
        return response.status == 200;
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
    const version_monitor monitor(s.f);
    for (int i = 0; i < 10; ++i) {
        const node& entry_proxy = *s.f.nodes[static_cast<std::size_t>(i) % s.f.nodes.size()];
        BOOST_TEST(s.change(entry_proxy));
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    }
}

BOOST_AUTO_TEST_CASE(killing_all_readers_at_once_does_not_delay_a_change)
{
    proxy_fleet s(10, 1);
    version_monitor monitor(s.f);
    BOOST_REQUIRE(wait_until(startup_timeout, [&] { return s.readers().size() == 2; }));
    const auto readers = s.readers();
    for (node* reader : readers) {
        reader->process->kill();
    }
    const node* survivor = nullptr;
    for (const auto& n : s.f.nodes) {
        survivor = n->process->running() ? n.get() : survivor;
    }
    BOOST_TEST(s.change(*survivor));
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    BOOST_TEST(monitor.stop() == 0U);
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
        const std::int64_t version_before = s.version;
        BOOST_TEST(wait_until(startup_timeout, [&] { return s.change(s.first()); }));
        BOOST_TEST(s.version == version_before + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_slow_log_delays_only_acceptance)
{
    proxy_fleet s(6, 2);
    const version_monitor monitor(s.f);
    s.f.log->set_faults({false, milliseconds{700}, 0});
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(*s.f.nodes[static_cast<std::size_t>(i)]));
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    }
}

BOOST_AUTO_TEST_CASE(a_change_reaches_every_proxy_while_most_of_them_restart)
{
    proxy_fleet s(20, 2);
    version_monitor monitor(s.f);
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
    const node* survivor = nullptr;
    for (const auto& n : s.f.nodes) {
        survivor = std::find(victims.begin(), victims.end(), n.get()) == victims.end() ? n.get() : survivor;
    }
    BOOST_TEST(s.change(*survivor));
    BOOST_TEST(s.f.wait_until_ready(startup_timeout));
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit));
    BOOST_TEST(monitor.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(a_proxy_restarted_during_a_log_outage_waits_for_two_peers)
{
    proxy_fleet s(4, 1);
    node& reachable_peer = *s.f.nodes[1];
    node& restarted = *s.f.nodes[0];
    s.f.log->set_faults({true, milliseconds{0}, 0});
    restarted.process->kill();
    restarted.options.extra_flags = {"--peers", reachable_peer.at.control};
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
    version_monitor monitor(s.f);
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
    // A partitioned reader may wait for its longest backoff before it reads again, in addition to the limit.
    BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit + milliseconds{2000}));
    BOOST_TEST(monitor.stop() == 0U);
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
    version_monitor monitor(s.f);
    std::mt19937_64 random(test_seed());
    for (int round = 0; round < 2; ++round) {
        node& suspended = *s.f.nodes[1 + random() % (s.f.nodes.size() - 1)];
        suspended.process->signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds{3500});
        BOOST_TEST(s.change(s.first()));
        suspended.process->signal(SIGCONT);
        BOOST_TEST(s.f.wait_for_version(s.version, convergence_limit + milliseconds{2000}));
    }
    BOOST_TEST(monitor.stop() == 0U);
}

BOOST_AUTO_TEST_CASE(configuration_survives_the_retention_time_of_the_log)
{
    stand_ins::log_options short_retention;
    short_retention.retention = milliseconds{6000};
    proxy_fleet s(3, 1, short_retention, {"--log-retention-ms", "6000"});
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(s.change(s.first()));
    }
    // Wait past the retention time of the newest change, then restart every process that has seen it.
    std::this_thread::sleep_for(short_retention.retention + milliseconds{3000});
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
    version_monitor monitor(s.f);
    std::atomic<bool> done{false};
    std::mutex mutex;
    std::map<std::uint64_t, int> accepted_by_version;
    std::vector<std::thread> operators;
    for (int o = 0; o < 6; ++o) {
        operators.emplace_back([&, o] {
            std::mt19937_64 random(test_seed() + static_cast<std::uint64_t>(o));
            for (int i = 0; !done; ++i) {
                const node& entry_proxy = *s.f.nodes[random() % 3];
                const std::int64_t base = entry_proxy.version();
                const std::string name = "o" + std::to_string(o) + "-" + std::to_string(i);
                const std::string operations =
                    json::array({{{"op", "add"}, {"path", "/services/" + name}, {"value", json::object()}}})
                        .dump();
                const client_response response =
                    s.f.submit(entry_proxy, name, static_cast<std::uint64_t>(base), operations);
                if (response.status == 200) {
                    const std::lock_guard lock(mutex);
                    ++accepted_by_version[json::parse(response.body).at("version").get<std::uint64_t>()];
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
    BOOST_TEST(!accepted_by_version.empty());
    for (const auto& [version, count] : accepted_by_version) {
        BOOST_TEST_INFO("version " << version);
        BOOST_TEST(count == 1);
    }
    const auto newest = static_cast<std::int64_t>(accepted_by_version.rbegin()->first);
    BOOST_TEST(s.f.wait_until_ready(startup_timeout));
    BOOST_TEST(s.f.wait_for_version(newest, convergence_limit));
    BOOST_TEST(monitor.stop() == 0U);
}
