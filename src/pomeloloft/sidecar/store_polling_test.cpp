#include "pomeloloft/sidecar/store_polling.hpp"

#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

struct pause_row : testing::named_row {
    store_poll_state state;
    milliseconds pause;
};

const pause_row pause_rows[] = {
    {"first failure", {1, true, false}, milliseconds{100}},
    {"second failure, left to the probers", {2, true, false}, milliseconds{6000}},
    {"second failure of a prober", {2, true, true}, milliseconds{200}},
    {"many failures of a prober", {40, true, true}, milliseconds{1000}},
    {"many failures without a configuration", {40, false, false}, milliseconds{1000}},
};

member_table fleet(std::size_t data_centres, std::size_t nodes_per_data_centre)
{
    member_table out;
    for (std::size_t dc = 0; dc < data_centres; ++dc) {
        for (std::size_t i = 0; i < nodes_per_data_centre; ++i) {
            member m;
            m.data_centre = "dc-" + std::to_string(dc);
            m.node = m.data_centre + "-n" + std::to_string(i);
            m.state = member_state::serving;
            merge(out, m, 0, {});
        }
    }
    return out;
}

/// Calls to a store that is out for `outage`, by all nodes that notice it at its beginning.
std::size_t calls_in_outage(const member_table& members, milliseconds outage)
{
    std::size_t calls = 0;
    for (const auto& [node, entry] : members.entries) {
        store_poll_state state{0, true, is_store_prober(members, node)};
        for (milliseconds at{0}; at < outage; at += store_retry_pause(state)) {
            ++calls;
            ++state.failures;
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_polling)

BOOST_DATA_TEST_CASE(an_unreachable_store_is_called_at_growing_intervals,
                     boost::unit_test::data::make(pause_rows), row)
{
    BOOST_TEST(store_retry_pause(row.state).count() == row.pause.count());
}

BOOST_AUTO_TEST_CASE(an_abandoned_read_gets_more_time_the_next_time)
{
    BOOST_TEST(read_patience(0).count() == 1000);
    BOOST_TEST(read_patience(1).count() == 2000);
    BOOST_TEST(read_patience(2).count() == 4000);
    BOOST_TEST(read_patience(40).count() == 4000);
}

BOOST_AUTO_TEST_CASE(each_data_centre_has_two_probers)
{
    const member_table members = fleet(6, 44);
    std::size_t probers = 0;
    for (const auto& [node, entry] : members.entries) {
        probers += is_store_prober(members, node) ? 1 : 0;
    }
    BOOST_TEST(probers == 6 * probers_per_data_centre);
}

BOOST_AUTO_TEST_CASE(a_draining_prober_is_replaced)
{
    member_table members = fleet(1, 5);
    for (auto& [node, entry] : members.entries) {
        if (is_store_prober(members, node)) {
            entry.value.state = member_state::draining;
            break;
        }
    }
    std::size_t probers = 0;
    for (const auto& [node, entry] : members.entries) {
        const bool serving = entry.value.state == member_state::serving;
        probers += serving && is_store_prober(members, node) ? 1 : 0;
    }
    BOOST_TEST(probers == probers_per_data_centre);
}

BOOST_AUTO_TEST_CASE(an_outage_of_8_s_costs_few_calls_in_a_large_fleet)
{
    constexpr milliseconds outage{8000};
    // Everyone calling once a second.
    constexpr std::size_t plain_calls = 6 * 44 * 8;
    BOOST_TEST(calls_in_outage(fleet(6, 44), outage) < plain_calls / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
