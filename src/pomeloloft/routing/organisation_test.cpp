#include "pomeloloft/routing/organisation.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/routing/route_table.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::routing {
namespace {

route_table make_source()
{
    route_table out;
    out.version = 1;
    out.services["register"] = {"register", "/health", 10};
    route r;
    r.name = "read";
    r.host = "a.example";
    r.prefix = "/read/";
    r.split = {{"register", 1}};
    r.priority = 2;
    out.routes.push_back(r);
    r.name = "status";
    r.prefix = "/status/";
    r.is_public = true;
    out.routes.push_back(r);
    out.organisations = {{"clinic", {"old-key", "new-key"}, 0, 0, 0}, {"depot", {"depot-key"}, 3, 0, 0}};
    return out;
}

struct scheme_row : testing::named_row {
    const char* authorization;
    const char* key;
};

const scheme_row scheme_rows[] = {
    {{"the scheme"}, "Token abc", "abc"},
    {{"the scheme in other case"}, "tOKEN abc", "abc"},
    {{"several spaces"}, "Token   abc", "abc"},
    {{"another scheme"}, "Basic abc", ""},
    {{"a longer scheme"}, "Tokens abc", ""},
    {{"no scheme"}, "abc", ""},
    {{"no key"}, "Token ", ""},
    {{"nothing"}, "", ""},
};

struct caller_row : testing::named_row {
    const char* path;
    const char* key;
    bool admitted;
    const char* organisation;
};

const caller_row caller_rows[] = {
    {{"a key"}, "/read/1", "new-key", true, "clinic"},
    {{"an earlier key"}, "/read/1", "old-key", true, "clinic"},
    {{"a key of another organisation"}, "/read/1", "depot-key", true, "depot"},
    {{"an unknown key"}, "/read/1", "other", false, ""},
    {{"part of a key"}, "/read/1", "new", false, ""},
    {{"no key"}, "/read/1", "", false, ""},
    {{"a public route without a key"}, "/status/1", "", true, ""},
    {{"a public route with a key"}, "/status/1", "depot-key", true, "depot"},
    {{"a public route with an unknown key"}, "/status/1", "other", true, ""},
};

struct invalid_row : testing::named_row {
    void (*change)(route_table&);
    const char* error;
};

const invalid_row invalid_rows[] = {
    {{"a shared key"},
     [](route_table& t) { t.organisations[1].keys.push_back("old-key"); },
     "organisation depot: shares a key with organisation clinic"},
    {{"an empty key"},
     [](route_table& t) { t.organisations[0].keys.push_back(""); },
     "organisation clinic: has an empty key"},
    {{"no name"}, [](route_table& t) { t.organisations[1].name.clear(); }, "organisation 1: has no name"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(organisations)

BOOST_DATA_TEST_CASE(a_key_is_read_from_a_header_with_the_scheme, boost::unit_test::data::make(scheme_rows))
{
    BOOST_TEST(key_in(sample.authorization, "Token") == sample.key);
}

BOOST_DATA_TEST_CASE(callers_are_identified_by_their_keys, boost::unit_test::data::make(caller_rows))
{
    const auto table = build_table(make_source()).value();
    const route* matched = match_route(*table, "a.example", sample.path);
    BOOST_REQUIRE(matched != nullptr);
    const caller_identity caller = identify_caller(*table, *matched, sample.key);
    BOOST_TEST(caller.admitted == sample.admitted);
    BOOST_TEST((caller.member_of == nullptr ? "" : caller.member_of->name) == sample.organisation);
}

BOOST_AUTO_TEST_CASE(no_key_is_required_without_organisations)
{
    route_table source = make_source();
    source.organisations.clear();
    const auto table = build_table(source).value();
    BOOST_TEST(identify_caller(*table, table->routes[0], "").admitted);
    BOOST_TEST(identify_caller(*table, table->routes[0], "other").admitted);
}

BOOST_AUTO_TEST_CASE(no_key_is_valid_if_keys_are_required_without_organisations)
{
    route_table source = make_source();
    source.organisations.clear();
    source.requires_keys = true;
    const auto table = build_table(source).value();
    BOOST_TEST(!identify_caller(*table, table->routes[0], "").admitted);
    BOOST_TEST(!identify_caller(*table, table->routes[0], "old-key").admitted);
    BOOST_TEST(identify_caller(*table, table->routes[1], "").admitted);
}

BOOST_DATA_TEST_CASE(invalid_organisations_are_rejected_without_naming_keys,
                     boost::unit_test::data::make(invalid_rows))
{
    route_table source = make_source();
    sample.change(source);
    const auto built = build_table(source);
    BOOST_REQUIRE(!built);
    BOOST_TEST(built.error().message == sample.error);
}

BOOST_AUTO_TEST_CASE(the_priority_of_the_organisation_comes_before_that_of_the_route)
{
    const route_table table = make_source();
    route first = table.routes[0];
    first.priority = 0;
    route last = table.routes[0];
    last.priority = 255;
    const organisation& high = table.organisations[0];
    const organisation& low = table.organisations[1];
    BOOST_TEST(rank_of(&high, last) < rank_of(&low, first));
    BOOST_TEST(rank_of(&high, first) < rank_of(&high, last));
    BOOST_TEST(rank_of(nullptr, last) < rank_of(&high, first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::routing
