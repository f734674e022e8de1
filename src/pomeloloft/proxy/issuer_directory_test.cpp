#include <future>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/proxy/issuer_directory.hpp"
#include "test/named_row.hpp"

namespace pomeloloft {
namespace {

struct lookup_row : testing::named_row {
    node_directory directory;
    issuer_state expected;
};

const idempotency_key key_of_incarnation_7{"issuer", 7, 1, 0, 0};

const lookup_row lookup_rows[] = {
    {"no entry", {}, issuer_state::unknown},
    {"live", {{"issuer", {"a:1", 7, false}}}, issuer_state::live},
    {"gone", {{"issuer", {"a:1", 7, true}}}, issuer_state::gone},
    {"higher incarnation", {{"issuer", {"a:1", 8, false}}}, issuer_state::gone},
    {"only a lower incarnation", {{"issuer", {"a:1", 6, false}}}, issuer_state::unknown},
    {"only a lower incarnation, gone", {{"issuer", {"a:1", 6, true}}}, issuer_state::unknown},
};

} // namespace

BOOST_AUTO_TEST_SUITE(issuers)

BOOST_DATA_TEST_CASE(issuer_lookup_by_key, boost::unit_test::data::make(lookup_rows))
{
    const issuer_lookup found = find_issuer(sample.directory, key_of_incarnation_7);
    BOOST_TEST((found.state == sample.expected));
    BOOST_TEST(found.peer_address == (sample.expected == issuer_state::live ? "a:1" : ""));
}

BOOST_AUTO_TEST_CASE(lookup_waits_for_an_unknown_issuer)
{
    issuer_directory directory;
    auto lookup = std::async(std::launch::async, [&directory] {
        return directory.await_issuer(key_of_incarnation_7, steady_clock::now() + milliseconds{2000});
    });
    directory.store({{"issuer", {"old:1", 6, false}}});
    directory.store({{"issuer", {"new:1", 7, false}}});
    const issuer_lookup found = lookup.get();
    BOOST_TEST((found.state == issuer_state::live));
    BOOST_TEST(found.peer_address == "new:1");
}

BOOST_AUTO_TEST_CASE(lookup_wait_ends_at_the_deadline)
{
    issuer_directory directory;
    const time_point deadline = steady_clock::now() + milliseconds{50};
    BOOST_TEST((directory.await_issuer(key_of_incarnation_7, deadline).state == issuer_state::unknown));
    BOOST_TEST((steady_clock::now() >= deadline));
}

BOOST_AUTO_TEST_CASE(unissued_keys_block_a_bounded_number_of_threads)
{
    issuer_directory directory;
    constexpr std::size_t requests = 64;
    std::vector<std::future<milliseconds>> lookups;
    for (std::size_t i = 0; i < requests; ++i) {
        lookups.push_back(std::async(std::launch::async, [&directory] {
            const time_point started_at = steady_clock::now();
            (void)directory.await_issuer(key_of_incarnation_7, started_at + milliseconds{1000});
            return remaining(steady_clock::now(), started_at);
        }));
    }
    std::size_t waited = 0;
    for (std::future<milliseconds>& lookup : lookups) {
        waited += lookup.get() >= milliseconds{1000} ? 1 : 0;
    }
    BOOST_TEST(waited <= requests / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
