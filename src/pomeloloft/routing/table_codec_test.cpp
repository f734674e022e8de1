#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/routing/table_codec.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::routing {
namespace {

route_table make_source(std::uint64_t version)
{
    route_table out;
    out.version = version;
    out.services["register"] = {"register", "/health", 10};
    for (int i = 0; i < 5; ++i) {
        route r;
        r.name = "r" + std::to_string(i);
        r.host = "a.example";
        r.prefix = "/p" + std::to_string(i) + "/";
        r.split = {{"register", 1}};
        out.routes.push_back(r);
    }
    out.requires_keys = true;
    out.organisations.push_back({"large", {"k1", "k2"}, 0, 100.5, 50});
    out.organisations.push_back({"small", {"k3"}, 1, 0, 0});
    return out;
}

struct change_row : testing::named_row {
    void (*change)(route_table& next);
};

const change_row change_rows[] = {
    {"only the version", [](route_table&) {}},
    {"a changed timeout", [](route_table& t) { t.routes[2].timeout = milliseconds(77); }},
    {"a removed route", [](route_table& t) { t.routes.erase(t.routes.begin() + 1); }},
    {"an added route",
     [](route_table& t) {
         t.routes.push_back(t.routes[0]);
         t.routes.back().prefix = "/new/";
     }},
    {"a changed split",
     [](route_table& t) {
         t.services["geometry"] = {"geometry", "/health", 5};
         t.routes[0].split = {{"register", 90}, {"geometry", 10}};
     }},
    {"limits", [](route_table& t) { t.limits.max_body_bytes = 5; }},
    {"a public route", [](route_table& t) { t.routes[1].is_public = true; }},
    {"an added key", [](route_table& t) { t.organisations[1].keys.push_back("k4"); }},
    {"an organisation without its keys", [](route_table& t) { t.organisations[0].keys.clear(); }},
    {"a key of another organisation",
     [](route_table& t) {
         t.organisations[0].keys = {"k1"};
         t.organisations[1].keys = {"k2", "k3"};
     }},
    {"a changed quota", [](route_table& t) { t.organisations[0].rate_per_s = 7.25; }},
    {"a removed organisation", [](route_table& t) { t.organisations.erase(t.organisations.begin()); }},
    {"an added organisation",
     [](route_table& t) {
         t.organisations.push_back({"new", {"k9"}, 2, 1, 1});
     }},
    {"no organisation, and keys required", [](route_table& t) { t.organisations.clear(); }},
    {"no organisation, and no keys required",
     [](route_table& t) {
         t.organisations.clear();
         t.requires_keys = false;
     }},
    {"all at once",
     [](route_table& t) {
         t.routes.erase(t.routes.begin(), t.routes.begin() + 3);
         t.routes[0].priority = 9;
         t.limits.idle_timeout = milliseconds(1);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(table_deltas)

BOOST_DATA_TEST_CASE(applying_a_delta_gives_the_same_table, boost::unit_test::data::make(change_rows))
{
    const auto before = build_table(make_source(3)).value();
    route_table changed = make_source(8);
    sample.change(changed);
    const auto after = build_table(changed).value();
    const auto delta = decode_delta(encode_delta(make_delta(*before, *after)));
    BOOST_REQUIRE(delta);
    const auto applied = apply_delta(*before, delta.value());
    BOOST_REQUIRE(applied);
    BOOST_TEST(applied.value()->version == 8U);
    BOOST_TEST(hash_of(*applied.value()) == hash_of(*after));
    BOOST_TEST(applied.value()->routes.size() == after->routes.size());
    BOOST_TEST(applied.value()->organisations.size() == after->organisations.size());
    BOOST_TEST(applied.value()->requires_keys == after->requires_keys);
    BOOST_TEST(applied.value()->organisations_by_key.size() == after->organisations_by_key.size());
}

BOOST_AUTO_TEST_CASE(a_complete_table_is_the_delta_from_an_empty_one)
{
    const auto table = build_table(make_source(8)).value();
    const auto delta = decode_delta(encode_delta(make_delta(route_table{}, *table)));
    BOOST_REQUIRE(delta);
    const auto applied = apply_delta(route_table{}, delta.value());
    BOOST_REQUIRE(applied);
    BOOST_TEST(hash_of(*applied.value()) == hash_of(*table));
}

// Guards against keys that are no longer required once the last organisation is gone.
BOOST_AUTO_TEST_CASE(required_keys_are_part_of_a_table_without_organisations)
{
    route_table open = make_source(8);
    open.organisations.clear();
    open.requires_keys = false;
    route_table closed = open;
    closed.requires_keys = true;
    const auto open_table = build_table(open).value();
    const auto closed_table = build_table(closed).value();
    BOOST_TEST(hash_of(*open_table) != hash_of(*closed_table));
    for (const auto& table : {open_table, closed_table}) {
        const auto delta = decode_delta(encode_delta(make_delta(route_table{}, *table)));
        BOOST_REQUIRE(delta);
        const auto applied = apply_delta(route_table{}, delta.value());
        BOOST_REQUIRE(applied);
        BOOST_TEST(applied.value()->requires_keys == table->requires_keys);
    }
    // Processes of earlier versions do not say whether keys are required.
    table_delta earlier = make_delta(route_table{}, *build_table(make_source(8)).value());
    earlier.requires_keys = false;
    const auto applied = apply_delta(route_table{}, earlier);
    BOOST_REQUIRE(applied);
    BOOST_TEST(applied.value()->requires_keys);
}

BOOST_AUTO_TEST_CASE(a_delta_from_another_version_is_rejected)
{
    const auto before = build_table(make_source(3)).value();
    const auto other = build_table(make_source(4)).value();
    const auto after = build_table(make_source(8)).value();
    const auto applied = apply_delta(*other, make_delta(*before, *after));
    BOOST_REQUIRE(!applied);
    BOOST_TEST((applied.error().code == error_code::stale));
}

BOOST_AUTO_TEST_CASE(a_base_with_the_same_version_but_other_contents_is_rejected)
{
    const auto before = build_table(make_source(3)).value();
    route_table differing = make_source(3);
    differing.routes[4].priority = 7;
    const auto other = build_table(differing).value();
    const auto after = build_table(make_source(8)).value();
    const auto applied = apply_delta(*other, make_delta(*before, *after));
    BOOST_REQUIRE(!applied);
    BOOST_TEST((applied.error().code == error_code::corrupt));
}

BOOST_AUTO_TEST_CASE(malformed_deltas_are_rejected)
{
    for (const char* text :
         {"", "[]", "{}", R"({"base":1,"version":2,"hash":3,"changed":[[1]],"removed":[]})"}) {
        BOOST_TEST(!decode_delta(text));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::routing
