#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/departure_record.hpp"
#include "pomeloloft/sidecar/target.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

target_report make_report(const char* id, std::int64_t started, std::uint64_t sequence, bool draining = false)
{
    target_report out;
    out.instance = {id, started};
    out.service = "register";
    out.slots = 9;
    out.sequence = sequence;
    out.draining = draining;
    return out;
}

/// A report received after instance `a`, started at 100, sent report 5.
struct late_row : testing::named_row {
    target_report report;
    report_effect effect;
    target_state state;
    const char* instance;
};

const late_row late_rows[] = {
    {"the next report", make_report("a", 100, 6), report_effect::refreshed, target_state::serving, "a"},
    {"a late report", make_report("a", 100, 4), report_effect::stale, target_state::serving, "a"},
    {"a repeated report", make_report("a", 100, 5), report_effect::stale, target_state::serving, "a"},
    {"a late report of a shutdown", make_report("a", 100, 4, true), report_effect::stale,
     target_state::serving, "a"},
    {"a report of an earlier instance", make_report("z", 50, 9), report_effect::stale, target_state::serving,
     "a"},
    {"a new instance", make_report("b", 200, 1), report_effect::started, target_state::serving, "b"},
    {"a new instance with the same id", make_report("a", 200, 1), report_effect::started,
     target_state::serving, "a"},
    {"a report of a shutdown", make_report("a", 100, 6, true), report_effect::leaving, target_state::leaving,
     "a"},
};

target_record serving_target()
{
    target_record out;
    apply_report(out, make_report("a", 100, 5), steady_clock::now());
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_records)

BOOST_DATA_TEST_CASE(reports_take_effect_by_instance_and_sequence, boost::unit_test::data::make(late_rows))
{
    target_record target = serving_target();
    BOOST_TEST((apply_report(target, sample.report, steady_clock::now()) == sample.effect));
    BOOST_TEST((target.state == sample.state));
    // A report of a shutdown without effect must not be acknowledged.
    BOOST_TEST(hides_shutdown(target, sample.report) ==
               (sample.report.draining && sample.effect == report_effect::stale));
    BOOST_TEST(target.instance.id == sample.instance);
}

BOOST_AUTO_TEST_CASE(a_departed_instance_does_not_return)
{
    target_record target = serving_target();
    apply_report(target, make_report("a", 100, 6, true), steady_clock::now());
    BOOST_TEST((apply_report(target, make_report("a", 100, 7), steady_clock::now()) == report_effect::stale));
    BOOST_TEST((target.state == target_state::leaving));
}

BOOST_AUTO_TEST_CASE(a_departure_before_a_restart_blocks_reports_and_health_checks)
{
    target_record target;
    record_departure(target, {{"a", 100}, {}});
    BOOST_TEST((apply_report(target, make_report("a", 100, 7), steady_clock::now()) == report_effect::stale));
    BOOST_TEST(!apply_health_check(target, "a", 4, steady_clock::now()));
    BOOST_TEST(
        (apply_report(target, make_report("a", 300, 1), steady_clock::now()) == report_effect::started));
}

BOOST_AUTO_TEST_CASE(a_departure_learned_after_the_health_check_still_applies)
{
    target_record target;
    BOOST_TEST(apply_health_check(target, "a", 4, steady_clock::now()));
    record_departure(target, {{"a", 100}, {}});
    BOOST_TEST((target.state == target_state::leaving));
    BOOST_TEST(!may_dispatch(target, steady_clock::now()));
}

BOOST_AUTO_TEST_CASE(a_report_confirms_a_target_found_by_its_health_check)
{
    target_record target;
    BOOST_TEST(apply_health_check(target, "a", 4, steady_clock::now()));
    BOOST_TEST(
        (apply_report(target, make_report("a", 100, 7), steady_clock::now()) == report_effect::refreshed));
    BOOST_TEST(target.slots == 9U);
    BOOST_TEST(target.instance.started_at_ms == 100);
}

BOOST_AUTO_TEST_CASE(a_deregistration_of_another_instance_has_no_effect)
{
    target_record target = serving_target();
    BOOST_TEST((apply_deregistration(target, {{"z", 0}, steady_clock::now()}) == report_effect::stale));
    BOOST_TEST((apply_deregistration(target, {{"a", 50}, steady_clock::now()}) == report_effect::stale));
    BOOST_TEST((target.state == target_state::serving));
    BOOST_TEST((apply_deregistration(target, {{"a", 0}, steady_clock::now()}) == report_effect::leaving));
}

/// The deregistration of an instance that has not reported, while instance `a`, started at 100, is known.
struct deregistration_row : testing::named_row {
    instance_key instance;
    report_effect effect;
    target_state state;
};

const deregistration_row deregistration_rows[] = {
    {"a later instance", {"b", 200}, report_effect::left, target_state::leaving},
    {"a later instance under the same id", {"a", 200}, report_effect::left, target_state::leaving},
    {"an earlier instance", {"z", 50}, report_effect::stale, target_state::serving},
    {"an instance without a start time", {"b", 0}, report_effect::stale, target_state::serving},
};

// Guards against a deregistration that is acknowledged and not remembered.
BOOST_DATA_TEST_CASE(a_deregistered_instance_that_has_not_reported_does_not_begin,
                     boost::unit_test::data::make(deregistration_rows))
{
    target_record target = serving_target();
    BOOST_TEST((apply_deregistration(target, {sample.instance, steady_clock::now(), 200}) == sample.effect));
    BOOST_TEST((target.state == sample.state));
    BOOST_TEST(has_departed(target, sample.instance));
    const std::int64_t started = sample.instance.started_at_ms == 0 ? 200 : sample.instance.started_at_ms;
    const target_report late = make_report(sample.instance.id.c_str(), started, 1);
    BOOST_TEST((apply_report(target, late, steady_clock::now()) == report_effect::stale));
    BOOST_TEST((target.state == sample.state));
}

BOOST_AUTO_TEST_CASE(departures_survive_encoding)
{
    const clock_reading stored{steady_clock::now(), 1'700'000'000'000};
    const std::deque<departure> departed{{{"a", 100}, stored.now - milliseconds(1000)},
                                         {{"b", 0}, stored.now, 1'700'000'000'000},
                                         {{"c", 300}, stored.now}};
    const std::string text = encode_departures(departed, stored);
    const auto read = decode_departures(text, stored);
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == departed));
    for (const departure& left : departed) {
        BOOST_TEST(holds_departure(*read, left));
    }
    BOOST_TEST(!holds_departure({departed[0], departed[2]}, departed[1]));
    // Read by another process, whose steady clock differs.
    const clock_reading later{time_point{milliseconds(50'000)}, stored.wall_ms + 2000};
    const auto reread = decode_departures(text, later);
    BOOST_REQUIRE(reread);
    BOOST_TEST((reread->at(0).left_at == later.now - milliseconds(3000)));
    // The record of an earlier version holds one departure, and not its time.
    const auto one = decode_departures(R"({"instance":"a","started_at_ms":100})", stored);
    BOOST_REQUIRE(one);
    BOOST_TEST((one->at(0).instance == instance_key{"a", 100}));
    BOOST_TEST((one->at(0).left_at == stored.now - max_report_delay));
    BOOST_TEST(!decode_departures(R"({"instance":7,"started_at_ms":100})", stored));
}

/// A report of instance `b` while instance `a`, started at 100, is known.
struct clock_row : testing::named_row {
    std::int64_t started_at_ms;
    milliseconds after;
    bool draining;
    report_effect effect;
    const char* instance;
};

const clock_row clock_rows[] = {
    {"a late report", 50, milliseconds(0), false, report_effect::stale, "a"},
    {"a report of a clock that was set back", 50, max_report_delay, false, report_effect::started, "b"},
    {"a shutdown after the clock was set back", 50, max_report_delay, true, report_effect::left, "b"},
    {"a later start", 150, milliseconds(0), false, report_effect::started, "b"},
};

// Guards against a target that is ignored for good because its clock was set back.
BOOST_DATA_TEST_CASE(start_times_order_instances_only_while_reports_may_be_late,
                     boost::unit_test::data::make(clock_rows))
{
    const time_point now = steady_clock::now();
    target_record target;
    apply_report(target, make_report("a", 100, 5), now);
    const target_report report = make_report("b", sample.started_at_ms, 1, sample.draining);
    BOOST_TEST((apply_report(target, report, now + sample.after) == sample.effect));
    BOOST_TEST(target.instance.id == sample.instance);
}

BOOST_AUTO_TEST_CASE(nothing_is_dispatched_to_a_leaving_target_after_its_drain_period)
{
    const time_point now = steady_clock::now();
    target_record target = serving_target();
    BOOST_TEST(may_dispatch(target, now));
    apply_report(target, make_report("a", 100, 6, true), now);
    target.dispatch_until = now + milliseconds(100);
    BOOST_TEST(may_dispatch(target, now));
    BOOST_TEST(!may_dispatch(target, now + milliseconds(100)));
    BOOST_TEST(!may_dispatch(target_record{}, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
