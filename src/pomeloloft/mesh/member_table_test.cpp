#include "pomeloloft/mesh/member_table.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "pomeloloft/mesh/tree.hpp"
#include "pomeloloft/mesh/view.hpp"
#include "test/named_row.hpp"

namespace {

using namespace pomeloloft;

member make_member(const std::string& node, std::uint64_t incarnation, std::uint64_t sequence,
                   member_state state)
{
    member m;
    m.node = node;
    m.incarnation = incarnation;
    m.sequence = sequence;
    m.state = state;
    m.data_centre = "dc-1";
    m.service = "s";
    return m;
}

struct merge_row : testing::named_row {
    member present;
    member incoming;
    bool is_merged;
};

const merge_row merges[] = {
    {"later sequence", make_member("a", 1, 1, member_state::serving),
     make_member("a", 1, 2, member_state::idle), true},
    {"earlier sequence", make_member("a", 1, 2, member_state::idle),
     make_member("a", 1, 1, member_state::serving), false},
    {"gone with the same sequence", make_member("a", 1, 2, member_state::serving),
     make_member("a", 1, 2, member_state::gone), true},
    {"serving with the same sequence as gone", make_member("a", 1, 2, member_state::gone),
     make_member("a", 1, 2, member_state::serving), false},
    {"refuted by a later sequence", make_member("a", 1, 2, member_state::gone),
     make_member("a", 1, 3, member_state::serving), true},
    {"later incarnation", make_member("a", 1, 9, member_state::gone),
     make_member("a", 2, 1, member_state::idle), true},
    {"entry of the previous incarnation", make_member("a", 2, 1, member_state::idle),
     make_member("a", 1, 9, member_state::serving), false},
    {"identical entry", make_member("a", 1, 1, member_state::idle),
     make_member("a", 1, 1, member_state::idle), false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(members)

BOOST_DATA_TEST_CASE(merge_accepts_only_superseding_entries, boost::unit_test::data::make(merges), row)
{
    member_table table;
    merge(table, row.present, 0, time_point{});
    BOOST_TEST(merge(table, row.incoming, 0, time_point{}) == row.is_merged);
}

BOOST_DATA_TEST_CASE(gone_supersedes_serving_with_the_same_sequence, boost::unit_test::data::xrange(20),
                     number)
{
    const std::string node = "node-" + std::to_string(number);
    BOOST_TEST(supersedes(make_member(node, 1, 1, member_state::gone),
                          make_member(node, 1, 1, member_state::serving)));
    BOOST_TEST(!supersedes(make_member(node, 1, 1, member_state::serving),
                           make_member(node, 1, 1, member_state::gone)));
}

BOOST_DATA_TEST_CASE(merge_is_commutative, boost::unit_test::data::xrange(1, 50), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<member> entries;
    for (int i = 0; i < 60; ++i) {
        entries.push_back(make_member("n" + std::to_string(random() % 8), random() % 3, random() % 4,
                                      static_cast<member_state>(random() % 4)));
    }
    member_table first;
    member_table second;
    for (const member& m : entries) {
        merge(first, m, 0, time_point{});
    }
    std::shuffle(entries.begin(), entries.end(), random);
    for (const member& m : entries) {
        merge(second, m, 0, time_point{});
    }
    BOOST_TEST(combined_digest(first) == combined_digest(second));
    BOOST_TEST(entries_differing(first, second.digest).empty());
}

BOOST_AUTO_TEST_CASE(changes_are_not_sent_back_to_their_link)
{
    member_table table;
    merge(table, make_member("a", 1, 1, member_state::idle), 7, time_point{});
    merge(table, make_member("b", 1, 1, member_state::idle), 8, time_point{});
    std::uint64_t cursor = 0;
    const auto changes_for_link = changes_after(table, cursor, 7, 10);
    BOOST_REQUIRE_EQUAL(changes_for_link.size(), 1U);
    BOOST_TEST(changes_for_link[0].node == "b");
    BOOST_TEST(changes_after(table, cursor, 7, 10).empty());
}

BOOST_DATA_TEST_CASE(parent_links_lead_to_a_reader_without_cycles,
                     boost::unit_test::data::make({1, 2, 3, 20, 500, 1025}), size)
{
    member_table table;
    for (int i = 0; i < size; ++i) {
        merge(table, make_member("n" + std::to_string(i), 1, 1, member_state::idle), 0, time_point{});
    }
    const auto ranked = ranked_members(table, "dc-1");
    constexpr std::size_t fan_out = 8;
    std::unordered_map<std::string, std::size_t> children;
    std::unordered_map<std::string, int> depth;
    for (const member& m : ranked) {
        const auto candidates = parent_candidates(ranked, m.node, fan_out);
        BOOST_TEST(is_reader(ranked, m.node) == candidates.empty());
        for (const member& c : candidates) {
            BOOST_TEST(tree_weight(c.node) < tree_weight(m.node));
        }
        if (!candidates.empty()) {
            ++children[candidates.front().node];
            depth[m.node] = depth[candidates.front().node] + 1;
            // With two readers and a fan-out of eight, 1,025 nodes fit into four levels.
            BOOST_TEST(depth[m.node] <= 4);
        }
    }
    for (const auto& [unused, count] : children) {
        BOOST_TEST(count <= fan_out);
    }
}

BOOST_DATA_TEST_CASE(views_have_valid_references_while_members_and_configurations_change,
                     boost::unit_test::data::xrange(1, 40), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    member_table table;
    load_table loads;
    for (int step = 0; step < 40; ++step) {
        auto config = std::make_shared<config_version>();
        for (int s = 0; s < 4; ++s) {
            if (random() % 2 == 0) {
                const std::string name = "s" + std::to_string(s);
                config->doc.services[name] = {};
                config->doc.routes["r" + name] = {"/" + name,         {"GET"}, name, true, false,
                                                  priority::standard, 100};
            }
        }
        member m = make_member("n" + std::to_string(random() % 10), 1, random() % 50, member_state::serving);
        m.service = "s" + std::to_string(random() % 4);
        merge(table, m, 0, time_point{});
        view_inputs inputs;
        inputs.config = config;
        inputs.members = &table;
        inputs.own_node = "n0";
        inputs.own_data_centre = "dc-1";
        const auto built = build_view(inputs, loads);
        BOOST_TEST(check_references(*built).has_value());
        BOOST_TEST(built->routes.size() == config->doc.routes.size());
    }
}

BOOST_AUTO_TEST_CASE(a_view_with_a_dangling_route_fails_the_check)
{
    auto config = std::make_shared<config_version>();
    config->doc.routes["r"] = {"/r", {"GET"}, "gone", true, false, priority::standard, 100};
    const member_table table;
    load_table loads;
    view_inputs inputs;
    inputs.config = config;
    inputs.members = &table;
    BOOST_TEST(!check_references(*build_view(inputs, loads)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
