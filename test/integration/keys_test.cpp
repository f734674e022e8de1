#define BOOST_TEST_MODULE keys
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "sidecar_fleet.hpp"
#include "test/named_row.hpp"

// Guards against callers without a valid key, against keys that reach targets, and against keys that remain
// valid after they were revoked.

namespace pomeloloft::testing {
namespace {

const std::string public_route =
    R"(,{"Name":"status","Host":"shop.example","PathPrefix":"/status/","RouteType":"idempotent",)"
    R"("TimeoutMs":1000,"Service":"register","MaxAttempts":2,"Public":true})";
const std::string clinic_and_depot =
    R"(,"Tenants":[{"Name":"clinic","ApiKeys":["clinic-key","clinic-old-key"],"Priority":0},)"
    R"({"Name":"depot","ApiKeys":["depot-key"],"Priority":1}])";
const std::string without_old_key =
    R"(,"Tenants":[{"Name":"clinic","ApiKeys":["clinic-key"],"Priority":0},{"Name":"depot","ApiKeys":[]}])";

caller_request request_with(const std::string& id, const std::string& path, const std::string& authorization)
{
    caller_request out = read_request(id);
    out.path = path;
    out.headers.emplace_back("X-Tenant-Id", "forged");
    if (!authorization.empty()) {
        out.headers.emplace_back("Authorization", authorization);
    }
    return out;
}

/// All request heads that the targets have received.
std::string received_heads(const sidecar_fleet& fleet)
{
    std::string out;
    for (const sidecar_node& node : fleet.nodes) {
        for (const std::string& head : node.target->request_heads) {
            out += head;
        }
    }
    return out;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

struct key_row : named_row {
    const char* path;
    const char* authorization;
    int status;
    /// Header at the target; empty if none names an organisation.
    const char* organisation_header;
};

const key_row key_rows[] = {
    {{"a key"}, "/read/1", "Token clinic-key", 200, "X-Tenant-Id: clinic\r\n"},
    {{"a second key"}, "/read/1", "Token clinic-old-key", 200, "X-Tenant-Id: clinic\r\n"},
    {{"a key of another organisation"}, "/read/1", "Token depot-key", 200, "X-Tenant-Id: depot\r\n"},
    {{"an unknown key"}, "/read/1", "Token other", 401, ""},
    {{"another scheme"}, "/read/1", "Basic clinic-key", 401, ""},
    {{"no key"}, "/read/1", "", 401, ""},
    {{"no key on a public route"}, "/status/1", "", 200, ""},
    {{"a key on a public route"}, "/status/1", "Token depot-key", 200, "X-Tenant-Id: depot\r\n"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(keys)

BOOST_DATA_TEST_CASE(callers_are_admitted_by_their_keys, boost::unit_test::data::make(key_rows))
{
    sidecar_fleet fleet(2);
    fleet.configure(2, public_route, clinic_and_depot);
    // The key is checked from the version that holds it on.
    BOOST_REQUIRE(fleet.run_until([&] {
        return fleet.call(0, request_with("probe", "/read/1", "")).status == 401 &&
               fleet.call(1, request_with("probe", "/read/1", "")).status == 401;
    }));
    for (sidecar_node& node : fleet.nodes) {
        node.target->request_heads.clear();
    }
    // Enough requests to reach both targets, the remote one through its own sidecar.
    for (int i = 0; i < 8; ++i) {
        const auto answer =
            fleet.call(0, request_with("q" + std::to_string(i), sample.path, sample.authorization));
        BOOST_TEST(answer.status == sample.status);
    }
    const std::string heads = received_heads(fleet);
    BOOST_TEST(heads.empty() == (sample.status != 200));
    BOOST_TEST(!contains(heads, "Authorization"));
    BOOST_TEST(!contains(heads, "-key"));
    BOOST_TEST(!contains(heads, "forged"));
    BOOST_TEST(contains(heads, sample.organisation_header));
    BOOST_TEST(contains(heads, "X-Tenant-Id") == (sample.organisation_header[0] != '\0'));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(!contains(fleet.log_of(node), "-key"));
    }
}

BOOST_AUTO_TEST_CASE(revoked_keys_are_refused_by_every_sidecar)
{
    sidecar_fleet fleet(3);
    fleet.configure(2, public_route, clinic_and_depot);
    const auto status = [&fleet](std::size_t node, const std::string& key) {
        return fleet.call(node, request_with("r" + key, "/read/1", "Token " + key)).status;
    };
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_REQUIRE(fleet.run_until([&] { return status(node, "depot-key") == 200; }));
    }
    fleet.configure(3, public_route, without_old_key);
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_TEST(fleet.run_until([&] { return status(node, "depot-key") == 401; }));
        BOOST_TEST(status(node, "clinic-old-key") == 401);
        BOOST_TEST(status(node, "clinic-key") == 200);
    }
}

struct last_key_row : named_row {
    /// JSON of the list of organisations that follows the version with keys.
    const char* organisations;
    /// Statuses of requests with the key that was valid, with another and without one.
    int status;
};

const last_key_row last_key_rows[] = {
    {{"an empty list"}, R"(,"Tenants":[])", 401},
    {{"an organisation without keys"}, R"(,"Tenants":[{"Name":"clinic","ApiKeys":[]}])", 401},
    {{"an organisation without a list of keys"}, R"(,"Tenants":[{"Name":"clinic"}])", 401},
    {{"no list"}, "", 200},
};

// Guards against a configuration that admits all callers once the last key is taken away.
BOOST_DATA_TEST_CASE(no_key_is_valid_after_the_last_one_was_revoked,
                     boost::unit_test::data::make(last_key_rows))
{
    sidecar_fleet fleet(2);
    fleet.configure(2, public_route, clinic_and_depot);
    int sent = 0;
    const auto status = [&](std::size_t node, const std::string& authorization) {
        const std::string id = "l" + std::to_string(++sent);
        return fleet.call(node, request_with(id, "/read/1", authorization)).status;
    };
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        BOOST_REQUIRE(fleet.run_until([&] { return status(node, "") == 401; }));
        BOOST_REQUIRE(status(node, "Token depot-key") == 200);
    }
    fleet.configure(3, public_route, sample.organisations);
    fleet.run_for(milliseconds(1000));
    for (sidecar_node& node : fleet.nodes) {
        node.target->request_heads.clear();
    }
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        for (const char* authorization : {"Token depot-key", "Token other", ""}) {
            BOOST_TEST(status(node, authorization) == sample.status);
        }
        BOOST_TEST(fleet.call(node, request_with("p", "/status/1", "")).status == 200);
    }
    if (sample.status == 401) {
        BOOST_TEST(!contains(received_heads(fleet), "-key"));
    }
}

BOOST_AUTO_TEST_CASE(a_document_in_which_two_organisations_share_a_key_is_not_adopted)
{
    sidecar_fleet fleet(1);
    fleet.configure(2, public_route, clinic_and_depot);
    const auto status = [&fleet](const std::string& key) {
        return fleet.call(0, request_with("s" + key, "/read/1", "Token " + key)).status;
    };
    BOOST_REQUIRE(fleet.run_until([&] { return status("none") == 401; }));
    fleet.configure(3, public_route,
                    R"(,"Tenants":[{"Name":"a","ApiKeys":["same"]},{"Name":"b","ApiKeys":["same"]}])");
    BOOST_REQUIRE(fleet.run_until([&] { return contains(fleet.log_of(0), "shares a key"); }));
    BOOST_TEST(status("clinic-key") == 200);
    BOOST_TEST(status("same") == 401);
    BOOST_TEST(!contains(fleet.log_of(0), "\"same\""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::testing
