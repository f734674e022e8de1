#include <array>
#include <limits>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/crash_check.hpp"
#include "pomeloloft/sidecar/member_record.hpp"
#include "pomeloloft/sidecar/quarantine_record.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr request_identity crashing_identity{"gallery", "GET", "shop.example", "/read/7", ""};

const std::uint64_t crashing_request = fingerprint_of(crashing_identity);
const std::uint64_t answered_request = fingerprint_of({"gallery", "GET", "shop.example", "/read/8", ""});

struct identity_row : testing::named_row {
    request_identity request;
};

/// Requests that differ from the crashing one in one part.
const identity_row identity_rows[] = {
    {"another caller", {"register", "GET", "shop.example", "/read/7", ""}},
    {"another method", {"gallery", "HEAD", "shop.example", "/read/7", ""}},
    {"another host", {"gallery", "GET", "photos.example", "/read/7", ""}},
    {"another query", {"gallery", "GET", "shop.example", "/read/7?page=2", ""}},
    {"another body", {"gallery", "GET", "shop.example", "/read/7", "x"}},
};

struct evidence_row : testing::named_row {
    loss_evidence evidence;
    target_check verdict;
};

const evidence_row evidence_rows[] = {
    {"a connection stays open", {connect_check::stayed_open, false, false}, target_check::running},
    {"connections are closed at once", {connect_check::closed, false, false}, target_check::running},
    {"a connection is refused", {connect_check::refused, false, false}, target_check::ended},
    {"refused while other exchanges go on", {connect_check::refused, false, true}, target_check::running},
    {"refused, but another request was answered",
     {connect_check::refused, true, false},
     target_check::running},
    {"no answer to a connection", {connect_check::timed_out, false, true}, target_check::ended},
    {"no answer, but another request was answered",
     {connect_check::timed_out, true, true},
     target_check::running},
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_detection)

// Guards against an answer to a harmless request that clears a similar one which crashes targets.
BOOST_DATA_TEST_CASE(only_an_answer_to_the_same_request_clears_a_suspect,
                     boost::unit_test::data::make(identity_rows), row)
{
    const time_point now = steady_clock::now();
    crash_suspects suspects;
    for (const char* crash : {"n1#5.1", "n2#6.1", "n3#7.1"}) {
        suspects.clear(fingerprint_of(row.request), now);
        suspects.add({crashing_request, crash}, now);
        suspects.clear(fingerprint_of(row.request), now);
    }
    BOOST_TEST(suspects.is_quarantined(crashing_request, now));
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_is_quarantined_until_its_observations_expire)
{
    const time_point now = steady_clock::now();
    crash_suspects suspects;
    for (const char* crash : {"n1#5.1", "n1#5.1", "n2#6.1", "n3#7.1"}) {
        BOOST_TEST(!suspects.is_quarantined(crashing_request, now));
        suspects.add({crashing_request, crash}, now);
        suspects.add({answered_request, crash}, now);
        suspects.clear(answered_request, now);
    }
    BOOST_TEST(suspects.is_quarantined(crashing_request, now));
    BOOST_TEST(!suspects.is_quarantined(answered_request, now));
    BOOST_TEST(suspects.observations_to_share(observation_selection::most_crashes, now).size() == 3U);
    // The same request comes again long after the crashes.
    BOOST_TEST(suspects.is_quarantined(crashing_request, now + milliseconds(31'000)));
    const time_point later = now + crash_observation_retention;
    BOOST_TEST(!suspects.is_quarantined(crashing_request, later));
    suspects.remove_expired(later);
    BOOST_TEST(suspects.empty());
}

BOOST_AUTO_TEST_CASE(repeated_crashes_of_one_target_count_each)
{
    const time_point now = steady_clock::now();
    crash_suspects suspects;
    target_liveness target;
    for (int crash = 0; crash < 3; ++crash) {
        const time_point at = now + milliseconds(crash * 1000);
        target.last_alive_at = at - milliseconds(100);
        const std::uint64_t number = record_target_crash(target, at);
        // Two requests are lost in the same crash.
        BOOST_TEST(record_target_crash(target, at + milliseconds(1)) == number);
        suspects.add({crashing_request, "n1#5." + std::to_string(number)}, at);
    }
    BOOST_TEST(suspects.is_quarantined(crashing_request, now + milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(an_observation_passed_on_by_peers_expires_with_the_original)
{
    const time_point now = steady_clock::now();
    crash_suspects first;
    crash_suspects second;
    first.add({crashing_request, "n1#5.1"}, now);
    const time_point almost = now + crash_observation_retention - milliseconds(1000);
    for (const auto& o : first.observations_to_share(observation_selection::most_crashes, almost)) {
        second.add(o, almost);
    }
    BOOST_TEST(second.crash_count(crashing_request, almost) == 1U);
    BOOST_TEST(second.crash_count(crashing_request, now + crash_observation_retention) == 0U);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_quarantine_is_known)
{
    const time_point now = steady_clock::now();
    crash_suspects suspects;
    BOOST_TEST((suspects.quarantine_left(crashing_request, now) == milliseconds{0}));
    const std::array<milliseconds, 4> expiries{milliseconds{9000}, milliseconds{2000}, milliseconds{7000},
                                               milliseconds{5000}};
    for (std::size_t i = 0; i < expiries.size(); ++i) {
        suspects.add({crashing_request, "n1#5." + std::to_string(i), expiries[i]}, now);
    }
    const milliseconds left = suspects.quarantine_left(crashing_request, now);
    BOOST_TEST((left == milliseconds{5000}));
    BOOST_TEST(suspects.is_quarantined(crashing_request, now + left - milliseconds{1}));
    BOOST_TEST(!suspects.is_quarantined(crashing_request, now + left));
}

BOOST_AUTO_TEST_CASE(peers_do_not_bring_back_a_cleared_request)
{
    const time_point now = steady_clock::now();
    crash_suspects suspects;
    crash_suspects peer;
    for (crash_suspects* holder : {&suspects, &peer}) {
        for (const char* crash : {"n1#5.1", "n2#6.1", "n3#7.1"}) {
            holder->add({answered_request, crash}, now);
        }
    }
    BOOST_TEST(suspects.clear(answered_request, now));
    for (const auto& o : peer.observations_to_share(observation_selection::recent, now)) {
        BOOST_TEST(!suspects.add(o, now));
    }
    for (const auto& cleared : suspects.cleared_to_share(now)) {
        BOOST_TEST(peer.clear(cleared, now));
    }
    BOOST_TEST(!peer.is_quarantined(answered_request, now));
    BOOST_TEST(!suspects.is_quarantined(answered_request, now));
}

BOOST_AUTO_TEST_CASE(a_wave_of_other_suspects_does_not_hide_a_crashing_request)
{
    const time_point now = steady_clock::now();
    const crash_suspect_options limits;
    crash_suspects suspects;
    suspects.add({crashing_request, "n1#5.1"}, now);
    for (std::uint64_t other = 1; other <= 100; ++other) {
        suspects.add({other, "n1#5.1"}, now);
    }
    const auto shares_crashing = [&](observation_selection selection) {
        for (const auto& o : suspects.observations_to_share(selection, now)) {
            if (o.fingerprint == crashing_request) {
                return true;
            }
        }
        return false;
    };
    BOOST_TEST(shares_crashing(observation_selection::recent));
    suspects.add({crashing_request, "n2#6.1"}, now);
    suspects.add({crashing_request, "n3#7.1"}, now);
    for (std::uint64_t other = 1; other <= 2 * limits.max_tracked; ++other) {
        suspects.add({1000 + other, "n4#8.1"}, now);
    }
    BOOST_TEST(suspects.size() <= limits.max_tracked);
    BOOST_TEST(suspects.is_quarantined(crashing_request, now));
    BOOST_TEST(shares_crashing(observation_selection::most_crashes));
}

BOOST_AUTO_TEST_CASE(observations_and_clearances_survive_encoding)
{
    sync_message message;
    message.node = "n1";
    message.crash_observations.push_back({crashing_request, "n1#5.1", milliseconds(1234)});
    message.cleared_suspects.push_back({answered_request, milliseconds(77)});
    const auto decoded = decode_sync(encode_sync(message));
    BOOST_REQUIRE(decoded);
    BOOST_REQUIRE(decoded.value().crash_observations.size() == 1U);
    BOOST_TEST(decoded.value().crash_observations[0].crash == "n1#5.1");
    BOOST_TEST(decoded.value().crash_observations[0].time_left.count() == 1234);
    BOOST_REQUIRE(decoded.value().cleared_suspects.size() == 1U);
    BOOST_TEST(decoded.value().cleared_suspects[0].time_left.count() == 77);
}

BOOST_AUTO_TEST_CASE(a_stored_quarantine_keeps_its_expiry_and_errors_name_the_field)
{
    constexpr std::int64_t stored_at_ms = 1'700'000'000'000;
    const std::string text =
        encode_quarantine({{crashing_request, "n1#5.1", milliseconds(5000)}}, stored_at_ms);
    const auto read = decode_quarantine(text, stored_at_ms + 2000);
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read.value().size() == 1U);
    BOOST_TEST(read.value()[0].time_left.count() == 3000);
    BOOST_TEST(decode_quarantine(text, stored_at_ms + 5000).value().empty());
    // A clock that was set back does not prolong an observation.
    BOOST_TEST(decode_quarantine(text, 0).value()[0].time_left.count() ==
               crash_observation_retention.count());
    for (const auto& [bad, field] :
         {std::pair{"[]", "crashes"},
          {R"({"crashes":[{"crash":"a"}]})", "crashes.fingerprint"},
          {R"({"crashes":[{"fingerprint":1}]})", "crashes.crash"},
          {R"({"crashes":[{"fingerprint":1,"crash":"a"}]})", "crashes.expires_at_ms"}}) {
        const auto refused = decode_quarantine(bad, 0);
        BOOST_REQUIRE(!refused);
        BOOST_TEST(to_string(refused.error()).find(field) != std::string::npos);
    }
}

// Guards against times of another writer that are beyond the range of the clock.
BOOST_AUTO_TEST_CASE(times_out_of_range_neither_clear_a_suspect_nor_count)
{
    const time_point now = steady_clock::now();
    constexpr milliseconds lowest{std::numeric_limits<std::int64_t>::min()};
    crash_suspects suspects;
    for (const char* crash : {"n1#5.1", "n2#6.1", "n3#7.1"}) {
        BOOST_TEST(!suspects.clear({crashing_request, lowest}, now));
        suspects.add({crashing_request, crash}, now);
        suspects.add({answered_request, crash, lowest}, now);
    }
    BOOST_TEST(suspects.is_quarantined(crashing_request, now));
    BOOST_TEST(suspects.crash_count(answered_request, now) == 0U);
    const auto past = decode_quarantine(
        R"({"crashes":[{"fingerprint":1,"crash":"a","expires_at_ms":-9223372036854775808}]})", 2);
    BOOST_REQUIRE(past);
    BOOST_TEST(past.value().empty());
}

BOOST_AUTO_TEST_CASE(a_quarantine_is_stored_although_an_expired_one_had_as_many_crashes)
{
    const std::vector<crash_observation> stored{{crashing_request, "n1#5.1"}, {crashing_request, "n2#6.1"}};
    BOOST_TEST(!has_new_crash({}, stored));
    BOOST_TEST(!has_new_crash({stored[1]}, stored));
    BOOST_TEST(has_new_crash({{crashing_request, "n1#5.2"}, {crashing_request, "n2#6.2"}}, stored));
    BOOST_TEST(has_new_crash({{answered_request, "n1#5.1"}}, stored));
}

BOOST_AUTO_TEST_CASE(a_stored_quarantine_is_outdated_once_a_request_of_it_was_cleared)
{
    const time_point now = steady_clock::now();
    const std::vector<crash_observation> stored{{crashing_request, "n1#5.1", milliseconds(5000)}};
    BOOST_TEST(!has_cleared_request(stored, stored, now, now));
    BOOST_TEST(has_cleared_request({}, stored, now, now + milliseconds(4999)));
    BOOST_TEST(has_cleared_request({{answered_request, "n1#5.1"}}, stored, now, now));
    BOOST_TEST(!has_cleared_request({}, stored, now, now + milliseconds(5000)));
}

BOOST_DATA_TEST_CASE(a_busy_target_is_told_from_one_that_has_ended,
                     boost::unit_test::data::make(evidence_rows), row)
{
    BOOST_TEST((judge_loss(row.evidence) == row.verdict));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
