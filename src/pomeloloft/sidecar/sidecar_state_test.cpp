#include <string>

#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr int fleet_size = 13;
constexpr int fleet_reserve = 62;

void add_members(sidecar_state& state, int count)
{
    for (int i = 0; i < count; ++i) {
        member m;
        m.node = "n" + std::to_string(i);
        m.incarnation = 1;
        merge(state.members, m, 0, steady_clock::now());
    }
}

int withdraw_all(sidecar_state& state)
{
    int out = 0;
    while (out < 10 * fleet_reserve && retry_budget_of(state, "register").withdraw()) {
        ++out;
    }
    return out;
}

void deposit(sidecar_state& state, int requests)
{
    for (int i = 0; i < requests; ++i) {
        retry_budget_of(state, "register").deposit();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budgets_of_the_fleet)

BOOST_AUTO_TEST_CASE(a_restart_does_not_renew_the_budget)
{
    sidecar_state state{settings{}};
    state.local_settings.retry_reserve = fleet_reserve;
    state.joined = true;
    add_members(state, fleet_size);
    BOOST_TEST(withdraw_all(state) == 0);
    deposit(state, 20);
    BOOST_TEST(withdraw_all(state) == 2);
    deposit(state, 10'000);
    BOOST_TEST(withdraw_all(state) == fleet_reserve / fleet_size);
}

BOOST_AUTO_TEST_CASE(a_process_that_knows_only_itself_does_not_hold_the_budget_of_the_fleet)
{
    sidecar_state state{settings{}};
    state.local_settings.retry_reserve = fleet_reserve;
    add_members(state, 1);
    deposit(state, 10'000);
    BOOST_TEST(withdraw_all(state) <= 1);
    state.joined = true;
    add_members(state, fleet_size);
    deposit(state, 10'000);
    BOOST_TEST(withdraw_all(state) == fleet_reserve / fleet_size);
}

BOOST_AUTO_TEST_CASE(the_share_of_a_process_shrinks_when_the_fleet_grows)
{
    sidecar_state state{settings{}};
    state.local_settings.retry_reserve = fleet_reserve;
    state.joined = true;
    add_members(state, 2);
    deposit(state, 10'000);
    add_members(state, fleet_size);
    BOOST_TEST(withdraw_all(state) <= fleet_reserve / fleet_size);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
