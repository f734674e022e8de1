#include <map>
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/routing/route_table.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::routing {
namespace {

route make_route(const std::string& name, const std::string& prefix)
{
    route out;
    out.name = name;
    out.host = "Shop.example";
    out.prefix = prefix;
    out.split = {{"register", 1}};
    return out;
}

route_table make_source()
{
    route_table out;
    out.version = 3;
    out.services["register"] = {"register", "/health", 10};
    out.routes = {make_route("all", "/"), make_route("records", "/records/"),
                  make_route("drawings", "/records/drawings/")};
    return out;
}

struct match_row {
    const char* host;
    const char* target;
    const char* expected;
};

std::ostream& operator<<(std::ostream& out, const match_row& row)
{
    return out << row.host << row.target;
}

const match_row match_rows[] = {
    {"shop.example", "/records/7", "records"},
    {"SHOP.EXAMPLE:8080", "/records/7", "records"},
    {"shop.example", "/records/drawings/7?page=2", "drawings"},
    {"shop.example", "/records/drawings", "records"},
    {"shop.example", "/records", "all"},
    {"shop.example", "/x?y=/records/drawings/", "all"},
    {"other.example", "/records/7", ""},
    {"shop.example", "*", ""},
};

struct invalid_table_row : testing::named_row {
    void (*make_invalid)(route_table& source);
    const char* expected_text;
};

const invalid_table_row invalid_table_rows[] = {
    {"a prefix without a trailing slash", [](route_table& t) { t.routes[1].prefix = "/records"; }, "records"},
    {"an empty prefix", [](route_table& t) { t.routes[1].prefix = ""; }, "records"},
    {"a service that is not declared", [](route_table& t) { t.routes[2].split[0].service = "x"; },
     "no such service: x"},
    {"an empty split", [](route_table& t) { t.routes[2].split.clear(); }, "drawings"},
    {"zero attempts", [](route_table& t) { t.routes[0].max_attempts = 0; }, "allows no attempt"},
    {"a zero timeout", [](route_table& t) { t.routes[0].timeout = milliseconds{0}; }, "timeout"},
    {"two routes with the same host and prefix", [](route_table& t) { t.routes[2].prefix = "/records/"; },
     "same host and prefix"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(route_tables)

BOOST_DATA_TEST_CASE(the_longest_prefix_of_the_host_matches, boost::unit_test::data::make(match_rows))
{
    const auto table = build_table(make_source());
    BOOST_REQUIRE(table);
    const route* found = match_route(*table.value(), sample.host, sample.target);
    BOOST_TEST((found == nullptr ? "" : found->name) == sample.expected);
}

BOOST_DATA_TEST_CASE(an_invalid_table_is_rejected_with_the_error,
                     boost::unit_test::data::make(invalid_table_rows))
{
    route_table source = make_source();
    sample.make_invalid(source);
    const auto table = build_table(std::move(source));
    BOOST_REQUIRE(!table);
    BOOST_TEST(table.error().message.find(sample.expected_text) != std::string::npos, table.error().message);
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights_over_short_sequences)
{
    route split = make_route("split", "/");
    split.split = {{"register", 90}, {"geometry", 10}};
    split_picker picker;
    std::map<std::string, int> counts;
    constexpr int request_count = 20;
    for (int i = 0; i < request_count; ++i) {
        ++counts[picker.pick(split)];
    }
    BOOST_TEST(counts["register"] == 18);
    BOOST_TEST(counts["geometry"] == 2);
}

BOOST_AUTO_TEST_CASE(a_changed_split_resets_the_picker)
{
    route split = make_route("split", "/");
    split.split = {{"register", 1}, {"geometry", 1}};
    split_picker picker;
    (void)picker.pick(split);
    split.split = {{"geometry", 1}};
    BOOST_TEST(picker.pick(split) == "geometry");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::routing
