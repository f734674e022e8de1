#include <algorithm>
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

/// A store whose configuration reads fail and whose second reachability check succeeds.
class recovering_store : public shared_store {
public:
    net::task<result<std::optional<std::string>>> next_config() override
    {
        ++this->reads;
        co_return error{error_code::unavailable, "store", "down"};
    }
    void skip_to_newest() override {}
    net::task<bool> is_reachable(time_point) override
    {
        ++this->checks;
        co_return this->checks >= 2;
    }
    net::task<result<void>> put(std::vector<store_record>, time_point) override { co_return success(); }
    net::task<result<std::vector<store_record>>> read_all(time_point) override
    {
        co_return std::vector<store_record>{};
    }

    int reads = 0;
    int checks = 0;
};

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
    // From now on another node announces itself as reader.
    adopt_config(shared, first_version());
    net::spawn(loop, announce_often(feed), "confirm");
    loop.run_for(milliseconds{500});
    const int reads_before = store.reads;
    loop.run_for(milliseconds{4000});
    BOOST_TEST(store.checks == 2);
    BOOST_TEST(feed.reaches_store());
    BOOST_TEST(store.reads <= reads_before + 1);
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
