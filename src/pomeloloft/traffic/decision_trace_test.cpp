#include <algorithm>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/traffic/decision_recorder.hpp"
#include "pomeloloft/traffic/decision_trace.hpp"

namespace pomeloloft {
namespace {

/// Names of the trace files: hand-written ones with expected outcomes, and ones recorded by proxies under
/// load and faults.
std::vector<std::string> trace_files()
{
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(POMELOLOFT_TRACES)) {
        files.push_back(entry.path().filename().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::vector<std::string> lines_of(const std::string& file)
{
    std::ifstream in(std::string(POMELOLOFT_TRACES) + "/" + file);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Checks the invariants that hold for every decision, regardless of its inputs.
void check_invariants(const admission_decision& d)
{
    const std::uint32_t waiting = std::accumulate(d.view.waiting.begin(), d.view.waiting.end(), 0U);
    BOOST_TEST((d.decided != admission::run || d.view.running < d.view.slots));
    BOOST_TEST((d.decided != admission::run || d.time_to_deadline.count() > 0));
    const bool has_lowest_class_waiter = d.view.waiting.back() > 0;
    const bool may_be_refused =
        d.priority != priority::interactive || !has_lowest_class_waiter || waiting == 0;
    BOOST_TEST((d.decided != admission::refuse_full || may_be_refused));
}

void check_invariants(const retry_decision& d)
{
    const retry_inputs& given = d.inputs;
    const bool safe =
        given.last == run_state::not_run || (given.last == run_state::unknown && given.idempotent);
    BOOST_TEST((!d.decided || (safe && !given.crashed_target && !given.retried_above)));
    BOOST_TEST((!d.decided || given.attempts_made < max_attempts));
}

void check_invariants(const choice_decision& d)
{
    const auto chosen = std::find_if(d.endpoints.begin(), d.endpoints.end(),
                                     [&d](const recorded_endpoint& e) { return e.node == d.decided; });
    if (chosen == d.endpoints.end()) {
        BOOST_TEST(d.decided.empty());
        return;
    }
    BOOST_TEST(!chosen->tried);
    const bool is_local = chosen->is_local;
    const auto in_same_list = [is_local](const recorded_endpoint& e) { return e.is_local == is_local; };
    const auto ejected_in_list = [is_local](const recorded_endpoint& e) {
        return e.is_local == is_local && e.ejected;
    };
    const auto list_size = std::count_if(d.endpoints.begin(), d.endpoints.end(), in_same_list);
    const auto ejected_count = std::count_if(d.endpoints.begin(), d.endpoints.end(), ejected_in_list);
    BOOST_TEST((!chosen->ejected || ejected_count * 2 > list_size));
}

struct bad_line {
    const char* text;
    const char* expected_field;
};

std::ostream& operator<<(std::ostream& out, const bad_line& row)
{
    return out << row.text;
}

const bad_line bad_lines[] = {
    {"", ""},
    {"[1]", ""},
    {R"({"expect": true})", "kind"},
    {R"({"kind": "moon"})", "kind"},
    {R"({"kind": "retry", "last": "ran", "idempotent": 1, "replayable": true, "attempts": 1, "left_ms": 1})",
     "idempotent"},
    {R"({"kind": "retry", "last": "ran", "idempotent": true, "replayable": true, "attempts": 1})", "left_ms"},
    {R"({"kind": "choice", "slots": 1, "slow_start_ms": 0, "random": 1, "expect": "", "endpoints": [{}]})",
     "node"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(decision_traces)

BOOST_DATA_TEST_CASE(replay_of_a_trace_gives_the_recorded_outcomes,
                     boost::unit_test::data::make(trace_files()))
{
    const auto lines = lines_of(sample);
    BOOST_REQUIRE(!lines.empty());
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto recorded = parse_decision(lines[i]);
        BOOST_REQUIRE_MESSAGE(recorded.has_value(), "line " << i + 1);
        BOOST_TEST_INFO("line " << i + 1 << ": " << lines[i]);
        BOOST_TEST(outcome_of(replay_decision(recorded.value())) == outcome_of(recorded.value()));
        BOOST_TEST_INFO("line " << i + 1 << ": " << lines[i]);
        std::visit([](const auto& d) { check_invariants(d); }, recorded.value());
    }
}

BOOST_DATA_TEST_CASE(decision_lines_round_trip, boost::unit_test::data::make(trace_files()))
{
    for (const std::string& line : lines_of(sample)) {
        const std::string written = to_json_line(parse_decision(line).value());
        BOOST_TEST(to_json_line(parse_decision(written).value()) == written);
    }
}

BOOST_DATA_TEST_CASE(parse_error_names_the_bad_field, boost::unit_test::data::make(bad_lines))
{
    const auto parsed = parse_decision(sample.text);
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().where == sample.expected_field);
}

BOOST_AUTO_TEST_CASE(recorder_keeps_the_newest_decisions)
{
    decision_recorder recorder(2);
    for (const std::uint32_t attempts : {1U, 2U, 3U}) {
        retry_decision d;
        d.inputs.attempts_made = attempts;
        recorder.add(d);
    }
    const auto kept = recorder.recorded_decisions();
    BOOST_REQUIRE(kept.size() == 2U);
    BOOST_TEST(std::get<retry_decision>(kept.front()).inputs.attempts_made == 2U);
    decision_recorder off(0);
    off.add(retry_decision{});
    BOOST_TEST(!off.enabled());
    BOOST_TEST(off.recorded_decisions().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft
