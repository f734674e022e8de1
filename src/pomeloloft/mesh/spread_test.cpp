#include "pomeloloft/mesh/spread.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

constexpr std::uint64_t initial_sequence = 1;

member fleet_member(std::size_t data_centre, std::size_t index)
{
    member out;
    out.data_centre = "dc-" + std::to_string(data_centre);
    out.node = out.data_centre + "-n" + std::to_string(index);
    out.incarnation = 1;
    out.sequence = initial_sequence;
    out.state = member_state::serving;
    constexpr std::uint32_t wide = 100;
    constexpr std::uint32_t narrow = 10;
    out.link_mbps = index % 4 == 0 ? narrow : wide;
    return out;
}

/// A fleet whose nodes spread entries in virtual time; messages to nodes that are down get no response.
struct simulated_fleet {
    struct simulated_node {
        member self;
        member_table members;
        unresponsive_nodes unresponsive;
        pending_spread pending;
        bool down = false;
    };

    simulated_fleet(std::size_t data_centres, std::size_t nodes_per_data_centre)
    {
        std::vector<member> all;
        for (std::size_t dc = 0; dc < data_centres; ++dc) {
            for (std::size_t i = 0; i < nodes_per_data_centre; ++i) {
                all.push_back(fleet_member(dc, i));
            }
        }
        for (const member& m : all) {
            simulated_node& added = this->nodes[m.node];
            added.self = m;
            for (const member& known : all) {
                merge(added.members, known, 0, this->now);
            }
        }
    }

    /// @return whether the receiver is up and has merged the entries.
    bool deliver(const std::string& from, const std::string& to, const std::vector<member>& entries,
                 spread_scope scope)
    {
        simulated_node& receiver = this->nodes.at(to);
        ++this->messages;
        this->sent_by[from] += 1;
        this->messages_between += this->nodes.at(from).self.data_centre == receiver.self.data_centre ? 0 : 1;
        if (receiver.down) {
            this->nodes.at(from).unresponsive.record_failure(to, this->now);
            return false;
        }
        for (const member& entry : entries) {
            if (entry.node != to && merge(receiver.members, entry, 0, this->now) &&
                scope != spread_scope::none) {
                receiver.pending.entries[entry.node] = scope;
            }
        }
        if (!receiver.pending.empty()) {
            this->relays.push_back(to);
        }
        return true;
    }

    /// Announces a change of a node and lets the relays pass it on until nothing is left.
    void change(const std::string& node)
    {
        simulated_node& origin = this->nodes.at(node);
        ++origin.self.sequence;
        merge(origin.members, origin.self, 0, this->now);
        const auto order =
            announcement_order(origin.members, origin.self, origin.unresponsive, this->now, this->options);
        std::size_t confirmed = 0;
        for (const std::string& candidate : order) {
            if (confirmed == this->options.relays_per_data_centre) {
                break;
            }
            confirmed += this->deliver(node, candidate, {origin.self}, spread_scope::fleet) ? 1 : 0;
        }
        while (!this->relays.empty()) {
            const std::string relay = this->relays.front();
            this->relays.pop_front();
            this->pass_on(relay);
        }
    }

    void pass_on(const std::string& relay)
    {
        simulated_node& sender = this->nodes.at(relay);
        const pending_spread collected = std::exchange(sender.pending, {});
        for (const spread_batch& batch : plan_spread(sender.members, sender.self, collected,
                                                     sender.unresponsive, this->now, this->options)) {
            for (const std::string& receiver : batch.receivers) {
                this->deliver(relay, receiver, batch.entries, batch.scope);
            }
            for (const std::string& candidate : batch.candidates) {
                if (this->deliver(relay, candidate, batch.entries, batch.scope)) {
                    break;
                }
            }
        }
    }

    /// Running nodes that do not hold the newest entry of `node`.
    [[nodiscard]] std::size_t outdated(const std::string& node) const
    {
        const std::uint64_t newest = this->nodes.at(node).self.sequence;
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(), [&](const auto& entry) {
                return !entry.second.down && find_member(entry.second.members, node)->sequence != newest;
            }));
    }

    std::map<std::string, simulated_node> nodes;
    std::deque<std::string> relays;
    spread_options options;
    time_point now;
    std::size_t messages = 0;
    std::size_t messages_between = 0;
    std::map<std::string, std::size_t> sent_by;
};

struct fleet_row : testing::named_row {
    std::size_t data_centres;
    std::size_t nodes_per_data_centre;
    /// Relays that are down, from the first of each data centre's order.
    std::size_t relays_down;
};

const fleet_row fleet_rows[] = {
    {"one data centre of two", 1, 2, 0},
    {"a data centre each", 4, 1, 0},
    {"30 nodes", 6, 5, 0},
    {"300 nodes", 6, 50, 0},
    {"the first relay of each data centre is down", 6, 50, 1},
    {"the first two relays of each data centre are down", 6, 50, 2},
};

} // namespace

BOOST_AUTO_TEST_SUITE(member_spread)

BOOST_DATA_TEST_CASE(a_change_reaches_every_running_node, boost::unit_test::data::make(fleet_rows), row)
{
    simulated_fleet fleet(row.data_centres, row.nodes_per_data_centre);
    for (std::size_t dc = 0; dc < row.data_centres; ++dc) {
        const auto order =
            relay_order(fleet.nodes.begin()->second.members, "dc-" + std::to_string(dc), {}, fleet.now);
        for (std::size_t i = 0; i < row.relays_down; ++i) {
            fleet.nodes.at(order[i]).down = true;
        }
    }
    for (const auto& [node, ignored] : std::map(fleet.nodes)) {
        if (!fleet.nodes.at(node).down) {
            fleet.change(node);
            BOOST_TEST(fleet.outdated(node) == 0U, node);
        }
    }
}

BOOST_AUTO_TEST_CASE(messages_between_data_centres_do_not_grow_with_their_nodes)
{
    // Two relays, each with one message to each of the five other data centres.
    constexpr std::size_t most_between = 2 * 5;
    for (const std::size_t nodes_per_data_centre : {5U, 50U}) {
        simulated_fleet fleet(6, nodes_per_data_centre);
        fleet.change("dc-0-n1");
        BOOST_TEST(fleet.messages_between <= most_between);
        // Each of two relays of a data centre may send a change to each of its nodes.
        BOOST_TEST(fleet.messages <= most_between + 2 + 6 * 2 * nodes_per_data_centre);
        const std::size_t most_by_one =
            std::max_element(fleet.sent_by.begin(), fleet.sent_by.end(), [](const auto& a, const auto& b) {
                return a.second < b.second;
            })->second;
        BOOST_TEST(most_by_one <= nodes_per_data_centre + 5);
    }
}

BOOST_AUTO_TEST_CASE(changes_in_one_batch_window_share_messages)
{
    simulated_fleet fleet(6, 50);
    const std::string relay = relay_order(fleet.nodes.begin()->second.members, "dc-0", {}, fleet.now).front();
    simulated_fleet::simulated_node& node = fleet.nodes.at(relay);
    for (std::size_t i = 0; i < 50; ++i) {
        member changed = fleet_member(0, i);
        changed.sequence = initial_sequence + 1;
        if (changed.node != relay && merge(node.members, changed, 0, fleet.now)) {
            node.pending.entries[changed.node] = spread_scope::fleet;
        }
    }
    const auto batches =
        plan_spread(node.members, node.self, node.pending, node.unresponsive, fleet.now, fleet.options);
    BOOST_REQUIRE(batches.size() == 6U);
    BOOST_TEST(batches.front().receivers.size() == 49U);
    for (const spread_batch& batch : batches) {
        BOOST_TEST(batch.entries.size() == 49U);
    }
}

BOOST_AUTO_TEST_CASE(relays_are_chosen_alike_by_all_and_narrow_links_last)
{
    const simulated_fleet fleet(2, 12);
    const auto expected = relay_order(fleet.nodes.begin()->second.members, "dc-0", {}, fleet.now);
    BOOST_TEST(expected.size() == 12U);
    for (const auto& [node, simulated] : fleet.nodes) {
        const auto order = relay_order(simulated.members, "dc-0", simulated.unresponsive, fleet.now);
        BOOST_TEST(order == expected, boost::test_tools::per_element());
    }
    const auto is_narrow = [&](const std::string& node) { return fleet.nodes.at(node).self.link_mbps < 100; };
    BOOST_TEST(std::is_partitioned(expected.begin(), expected.end(),
                                   [&](const std::string& node) { return !is_narrow(node); }));
}

BOOST_AUTO_TEST_CASE(an_unresponsive_node_is_asked_last_until_it_responds)
{
    const simulated_fleet fleet(1, 5);
    const member_table& members = fleet.nodes.begin()->second.members;
    unresponsive_nodes unresponsive;
    const std::string first = relay_order(members, "dc-0", unresponsive, fleet.now).front();
    unresponsive.record_failure(first, fleet.now);
    BOOST_TEST(relay_order(members, "dc-0", unresponsive, fleet.now).back() == first);
    const spread_options options;
    BOOST_TEST(relay_order(members, "dc-0", unresponsive, fleet.now + options.initial_backoff).front() ==
               first);
    unresponsive.record_failure(first, fleet.now);
    BOOST_TEST(unresponsive.contains(first, fleet.now + options.initial_backoff));
    unresponsive.record_contact(first);
    BOOST_TEST(!unresponsive.contains(first, fleet.now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
