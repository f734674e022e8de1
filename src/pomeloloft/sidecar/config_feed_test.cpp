#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

struct member_row {
    const char* node;
    const char* data_centre;
    std::uint32_t link_mbps;
    bool reaches_store;
};

struct readers_row : testing::named_row {
    std::vector<member_row> members;
    /// Expected readers of data centre `a`, in any order.
    std::vector<std::string> readers;
};

const readers_row readers_rows[] = {
    {"nodes of the data centre",
     {{"a1", "a", 1000, true}, {"a2", "a", 1000, true}, {"b1", "b", 1000, true}},
     {"a1", "a2"}},
    {"wide links first",
     {{"a1", "a", 5, true}, {"a2", "a", 100, true}, {"a3", "a", 100, true}, {"b1", "b", 100, true}},
     {"a2", "a3"}},
    {"wide links in another data centre before narrow local ones",
     {{"a1", "a", 5, true}, {"a2", "a", 100, false}, {"b1", "b", 100, true}, {"b2", "b", 100, true}},
     {"b1", "b2"}},
    {"one local node and one in another data centre",
     {{"a1", "a", 5, true}, {"a2", "a", 100, true}, {"b1", "b", 100, true}},
     {"a2", "b1"}},
    {"narrow links if there are no others", {{"a1", "a", 5, true}, {"b1", "b", 5, true}}, {"a1", "b1"}},
    {"none if no node reaches the store", {{"a1", "a", 100, false}, {"b1", "b", 100, false}}, {}},
};

struct fetch_row : testing::named_row {
    const char* announcing_node;
    /// Nodes asked if `a1` and `a2` are the readers.
    std::vector<std::string> order;
};

const fetch_row fetch_rows[] = {
    {"the first reader", "a1", {"a1", "a2"}},
    {"the second reader", "a2", {"a2", "a1"}},
    {"another node", "a7", {"a1", "a2", "a7"}},
};

struct push_row : testing::named_row {
    push_facts facts;
    push_content content;
};

const push_row push_rows[] = {
    {"the lead has a new version", {true, true, true}, push_content::delta},
    {"another reader has a new version", {true, true, false}, push_content::version},
    {"the lead confirms its version", {false, true, true}, push_content::version},
    {"another reader confirms its version", {false, true, false}, push_content::version},
    {"no reader", {true, false, false}, push_content::nothing},
};

member_table table_of(const std::vector<member_row>& rows)
{
    member_table out;
    for (const member_row& row : rows) {
        member m;
        m.node = row.node;
        m.data_centre = row.data_centre;
        m.link_mbps = row.link_mbps;
        m.reaches_store = row.reaches_store;
        merge(out, m, 0, steady_clock::now());
    }
    return out;
}

/// A store without the records of sidecars.
class config_store_base : public shared_store {
public:
    void skip_to_newest() override { this->read = 0; }
    net::task<bool> ping(time_point deadline) override { return this->is_reachable(deadline); }
    net::task<result<void>> put(std::vector<store_record>, time_point) override { co_return success(); }
    net::task<result<std::vector<store_record>>> read_all(time_point) override
    {
        co_return std::vector<store_record>{};
    }

protected:
    /// The version returned last; 0 for none.
    std::uint64_t read = 0;
};

/// A store whose configuration reads fail and whose reachability checks succeed from a given one on.
class recovering_store : public config_store_base {
public:
    net::task<result<std::optional<std::string>>> next_config(milliseconds) override
    {
        ++this->reads;
        co_return error{error_code::unavailable, "store", "down"};
    }
    net::task<bool> is_reachable(time_point) override
    {
        ++this->checks;
        co_return this->checks >= this->first_success;
    }

    int reads = 0;
    int checks = 0;
    int first_success = std::numeric_limits<int>::max();
};

/// A store that is silent from time to time: calls that begin or wait meanwhile are not answered later
/// either.
class silent_store : public config_store_base {
public:
    /// @param newest_version the version that the operator published last.
    explicit silent_store(const std::uint64_t& newest_version) : newest(newest_version) {}

    net::task<result<std::optional<std::string>>> next_config(milliseconds max_wait) override
    {
        const std::uint64_t silences_before = this->silences;
        const time_point answered_by = steady_clock::now() + max_wait;
        const bool lost = co_await this->wait(
            silences_before, [&] { return this->newest > this->read || steady_clock::now() >= answered_by; },
            answered_by + max_read_time);
        if (lost) {
            co_return error{error_code::timeout, "store", "silent"};
        }
        if (this->newest == this->read) {
            co_return std::optional<std::string>{};
        }
        this->read = this->newest;
        co_return std::optional<std::string>{std::to_string(this->newest)};
    }
    net::task<bool> is_reachable(time_point deadline) override
    {
        const bool lost = co_await this->wait(
            this->silences, [] { return true; }, deadline);
        co_return !lost;
    }

    void set_silent(bool is_silent)
    {
        this->silent = is_silent;
        this->silences += is_silent ? 1 : 0;
    }

private:
    /// Longest time that the platform's store takes for a read, beyond that for which it may wait.
    static constexpr milliseconds max_read_time{4000};
    static constexpr milliseconds poll_interval{10};

    /// @return whether the call stayed unanswered until its deadline.
    template <typename Condition>
    net::task<bool> wait(std::uint64_t silences_before, Condition is_answered, time_point deadline)
    {
        co_await net::sleep_for(poll_interval);
        bool lost = this->silent;
        while (lost || !is_answered()) {
            if (steady_clock::now() >= deadline) {
                co_return true;
            }
            co_await net::sleep_for(poll_interval);
            lost = lost || this->silences != silences_before;
        }
        co_return false;
    }

    const std::uint64_t& newest;
    std::uint64_t silences = 0;
    bool silent = false;
};

result<std::shared_ptr<const routing::route_table>> decode_version(const std::string& text)
{
    routing::route_table out;
    out.version = std::stoull(text);
    return std::make_shared<const routing::route_table>(std::move(out));
}

/// A node of data centre `a`, with a connection of its own to the store.
struct feed_node {
    feed_node(net::event_loop& loop, const std::string& name, const std::uint64_t& newest_version)
        : shared{settings_of(name)}, store(newest_version), pool(loop, {}),
          feed(loop, shared, store, decode_version, pool)
    {
        this->shared.joined = true;
    }

    static settings settings_of(const std::string& name)
    {
        settings out;
        out.node = name;
        out.data_centre = "a";
        return out;
    }

    sidecar_state shared;
    silent_store store;
    net::client_pool pool;
    config_feed feed;
    std::shared_ptr<net::server> listener;
};

/// A node that is the only one of its data centre.
struct lone_node {
    explicit lone_node(net::event_loop& loop) : node(loop, "a1", this->newest)
    {
        this->node.shared.members = table_of({{"a1", "a", 100, true}});
    }

    std::uint64_t newest = 1;
    feed_node node;
};

/// Nodes of one data centre that send each other configurations and know at once which of them reach the
/// store.
class feed_fleet {
public:
    feed_fleet(net::event_loop& loop, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            auto added = std::make_unique<feed_node>(loop, "a" + std::to_string(i + 1), this->newest);
            feed_node& node = *added;
            auto listener = net::server::start(loop, "127.0.0.1:0", "peer",
                                               [&node](net::request& received) -> net::task<net::reply> {
                                                   co_return node.feed.handle(received);
                                               });
            BOOST_REQUIRE(listener);
            node.listener = listener.value();
            node.feed.on_store_reachability = [this] { this->share_members(); };
            this->nodes.push_back(std::move(added));
        }
        this->share_members();
        for (const auto& node : this->nodes) {
            net::spawn(loop, node->feed.follow_store(), "follow");
            net::spawn(loop, node->feed.announce_version(), "announce");
        }
    }

    /// Indexes of the nodes that read the store.
    [[nodiscard]] std::vector<std::size_t> readers() const
    {
        const auto names = config_readers(this->nodes.front()->shared.members, "a");
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (std::find(names.begin(), names.end(), this->nodes[i]->shared.local_settings.node) !=
                names.end()) {
                out.push_back(i);
            }
        }
        return out;
    }

    std::uint64_t newest = 1;
    std::vector<std::unique_ptr<feed_node>> nodes;

private:
    void share_members()
    {
        ++this->sequence;
        for (const auto& known : this->nodes) {
            member m;
            m.node = known->shared.local_settings.node;
            m.data_centre = "a";
            m.link_mbps = 100;
            m.sequence = this->sequence;
            m.peer_address = "127.0.0.1:" + std::to_string(known->listener->port());
            m.reaches_store = known->feed.reaches_store();
            for (const auto& node : this->nodes) {
                merge(node->shared.members, m, 0, steady_clock::now());
            }
        }
    }

    std::uint64_t sequence = 0;
};

/// An outage of the store, after which the operator publishes a version.
net::task<void> publish_after_outage(lone_node& tested, milliseconds start, milliseconds outage,
                                     milliseconds& delay)
{
    constexpr milliseconds publish_delay{50};
    constexpr milliseconds poll{10};
    co_await net::sleep_for(start);
    tested.node.store.set_silent(true);
    co_await net::sleep_for(outage);
    tested.node.store.set_silent(false);
    const time_point ended = steady_clock::now();
    co_await net::sleep_for(publish_delay);
    tested.newest = 2;
    while (config_version(tested.node.shared) < 2) {
        co_await net::sleep_for(poll);
    }
    delay = std::chrono::duration_cast<milliseconds>(steady_clock::now() - ended);
}

net::task<void> announce_often(config_feed& feed)
{
    for (;;) {
        net::request announcement{net::http::verb::post, peer_header::config_path, 11};
        announcement.set(peer_header::node, "a2");
        announcement.set(peer_header::config, "1");
        (void)feed.handle(announcement);
        co_await net::sleep_for(milliseconds{100});
    }
}

std::shared_ptr<const routing::route_table> first_version()
{
    routing::route_table out;
    out.version = 1;
    return std::make_shared<const routing::route_table>(std::move(out));
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_feeds)

BOOST_DATA_TEST_CASE(readers_are_chosen_by_link_bandwidth, boost::unit_test::data::make(readers_rows), row)
{
    auto chosen = config_readers(table_of(row.members), "a");
    std::sort(chosen.begin(), chosen.end());
    BOOST_TEST(chosen == row.readers, boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(one_reader_sends_the_delta_and_all_announce_the_version,
                     boost::unit_test::data::make(push_rows), row)
{
    BOOST_TEST((decide_push(row.facts) == row.content));
}

// Guards against a version that is late because the first reader, which has frozen, is asked before the one
// that announces it.
BOOST_DATA_TEST_CASE(an_announced_version_is_fetched_from_the_reader_that_announces_it,
                     boost::unit_test::data::make(fetch_rows), row)
{
    BOOST_TEST(fetch_order({"a1", "a2"}, row.announcing_node) == row.order, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_unreachable_store_is_checked_until_it_recovers)
{
    net::event_loop loop;
    settings local_settings;
    local_settings.node = "a1";
    local_settings.data_centre = "a";
    sidecar_state shared{local_settings};
    shared.members = table_of({{"a1", "a", 5, true}, {"a2", "a", 100, true}, {"a3", "a", 100, true}});
    shared.joined = true;
    recovering_store store;
    net::client_pool pool(loop, {});
    config_feed feed(
        loop, shared, store, [](const std::string&) { return first_version(); }, pool);
    net::spawn(loop, feed.follow_store(), "follow");
    loop.run_for(milliseconds{300});
    BOOST_TEST(!feed.reaches_store());
    // From now on another node announces itself as reader, and the second check succeeds.
    adopt_config(shared, first_version());
    net::spawn(loop, announce_often(feed), "confirm");
    loop.run_for(milliseconds{500});
    const int reads_before = store.reads;
    const int checks_before = store.checks;
    store.first_success = checks_before + 2;
    loop.run_for(milliseconds{4000});
    BOOST_TEST(store.checks == checks_before + 2);
    BOOST_TEST(feed.reaches_store());
    BOOST_TEST(store.reads <= reads_before + 1);
}

// Guards against calls that began during an outage of the store and delayed the first read after it.
BOOST_AUTO_TEST_CASE(a_version_published_after_an_outage_is_read_within_the_stable_window)
{
    constexpr milliseconds stable_window{3000};
    constexpr milliseconds outage{8000};
    constexpr milliseconds start_step{250};
    constexpr std::size_t nodes = 20;
    net::event_loop loop;
    std::vector<std::unique_ptr<lone_node>> fleet;
    std::vector<milliseconds> delays(nodes, stable_window * 2);
    for (std::size_t i = 0; i < nodes; ++i) {
        fleet.push_back(std::make_unique<lone_node>(loop));
        net::spawn(loop, fleet[i]->node.feed.follow_store(), "follow");
        net::spawn(loop, publish_after_outage(*fleet[i], start_step * (i + 1), outage, delays[i]), "publish");
    }
    const time_point last_check = steady_clock::now() + start_step * nodes + outage + 2 * stable_window;
    const auto is_late = [&](milliseconds delay) { return delay > stable_window; };
    while (std::any_of(delays.begin(), delays.end(), is_late) && steady_clock::now() < last_check) {
        loop.run_for(milliseconds{100});
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        BOOST_TEST_CONTEXT("outage " << i)
        {
            BOOST_TEST(delays[i].count() <= stable_window.count());
        }
    }
}

// Guards against readers that were cut off from the store and, until they noticed, kept the other nodes from
// reading it.
BOOST_AUTO_TEST_CASE(a_version_is_in_force_in_time_while_both_readers_are_cut_off)
{
    constexpr milliseconds config_apply{2000};
    constexpr milliseconds change_to_cut{500};
    constexpr milliseconds cut_to_change{50};
    net::event_loop loop;
    feed_fleet fleet(loop, 4);
    loop.run_for(milliseconds{1500});
    // The change ends the long polls of both readers, so that new ones begin shortly before the cut.
    fleet.newest = 2;
    loop.run_for(change_to_cut);
    const std::vector<std::size_t> cut = fleet.readers();
    BOOST_REQUIRE(cut.size() == readers_per_data_centre);
    for (const std::size_t i : cut) {
        fleet.nodes[i]->store.set_silent(true);
    }
    loop.run_for(cut_to_change);
    fleet.newest = 3;
    loop.run_for(config_apply);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        if (std::find(cut.begin(), cut.end(), i) == cut.end()) {
            BOOST_TEST(config_version(fleet.nodes[i]->shared) == 3U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_version_the_requester_holds_is_not_sent_again)
{
    net::event_loop loop;
    settings local_settings;
    local_settings.node = "a1";
    sidecar_state shared{local_settings};
    adopt_config(shared, first_version());
    recovering_store store;
    net::client_pool pool(loop, {});
    config_feed feed(
        loop, shared, store, [](const std::string&) { return first_version(); }, pool);
    for (const auto& [held, status] : {std::pair{"0", net::http::status::ok},
                                       {"1", net::http::status::not_found},
                                       {"2", net::http::status::not_found}}) {
        net::request fetch{net::http::verb::get, peer_header::config_path, 11};
        fetch.set(peer_header::config, held);
        BOOST_TEST((feed.handle(fetch).response.result() == status));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
