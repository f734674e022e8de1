#define BOOST_TEST_MODULE silent_log
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fleet.hpp"
#include "pomeloloft/log/log_client.hpp"
#include "test/named_row.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;
using stand_ins::link_fault;

namespace {

/// An outage in which the log accepts calls and never answers them.
struct outage_row : named_row {
    /// From the last change, which ends the long polls of all readers, to the outage.
    milliseconds start;
    milliseconds duration;
};

const outage_row outage_rows[] = {
    {"polls have just begun, short", milliseconds{100}, milliseconds{400}},
    {"polls have just begun, long", milliseconds{100}, milliseconds{4200}},
    {"polls are about to end", milliseconds{1400}, milliseconds{5000}},
    {"longer than several calls", milliseconds{800}, milliseconds{8000}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_log)

// Guards against reads that began while the log was silent and delayed the first read after it.
BOOST_DATA_TEST_CASE(a_change_after_a_silent_log_reaches_every_proxy_within_the_limit,
                     boost::unit_test::data::make(outage_rows), row)
{
    constexpr std::size_t proxies = 4;
    fleet f;
    for (std::size_t i = 0; i < proxies; ++i) {
        f.add({"p" + std::to_string(i), "celje-" + std::to_string(i % 2 + 1), "", {}, {}, true});
    }
    BOOST_REQUIRE(f.bring_up(*f.nodes.front(), example_path("savinja/pattern-shop.yaml")));
    std::int64_t version = 1;
    const auto publish = [&] {
        const std::string name = "extra-" + std::to_string(version);
        const json patch{
            {"id", "change-" + name},
            {"author", "ana"},
            {"base", version},
            {"operations",
             json::array({{{"op", "add"}, {"path", "/services/" + name}, {"value", {{"slots", 1}}}}})}};
        f.log->append_raw(std::string(config_stream), patch.dump());
        ++version;
    };
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        publish();
        BOOST_REQUIRE(f.wait_for_version(version, startup_timeout));
        std::this_thread::sleep_for(row.start);
        for (const auto& n : f.nodes) {
            n->log_faults->set_fault(link_fault::silent);
        }
        std::this_thread::sleep_for(row.duration);
        for (const auto& n : f.nodes) {
            // What was sent meanwhile stays unanswered.
            n->log_faults->set_fault(link_fault::silent_old);
        }
        publish();
        BOOST_TEST(f.wait_for_version(version, convergence_limit));
        BOOST_REQUIRE(f.wait_for_version(version, startup_timeout));
    }
}

BOOST_AUTO_TEST_SUITE_END()
