#define BOOST_TEST_MODULE path
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <fstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "fleet.hpp"
#include "test/named_row.hpp"

using namespace pomeloloft;
using namespace pomeloloft::testing;
using nlohmann::json;

namespace {

/// Three proxies in two data centres with two targets and active declarations.
struct small_fleet {
    small_fleet()
    {
        this->f.add({"n1", "celje-1", "register", {}, {}, false});
        this->f.add({"n2", "celje-1", "geometry", {}, {}, false});
        this->f.add({"n3", "celje-2", "", {}, {}, false});
        BOOST_REQUIRE(this->f.bring_up(*this->f.nodes[0], example_path("savinja/pattern-shop.yaml")));
        BOOST_REQUIRE(this->f.wait_for_endpoints(*this->f.nodes[2], 2, startup_timeout));
    }

    [[nodiscard]] const node& entry() const { return *this->f.nodes[2]; }

    fleet f;
};

struct bad_request : named_row {
    const char* bytes;
    const char* status;
};

const bad_request bad_requests[] = {
    {"two content lengths",
     "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", " 400 "},
    {"content length and chunked",
     "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     " 400 "},
    {"negative content length", "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", " 400 "},
    {"content length above the limit",
     "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999999999\r\n\r\n", " 400 "},
    {"unknown transfer encoding", "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: rot13\r\n\r\n",
     " 400 "},
    {"dot segments", "GET /records/../secrets HTTP/1.1\r\nHost: a\r\n\r\n", " 400 "},
    {"escaped dot segments", "GET /records/%2e%2e/secrets HTTP/1.1\r\nHost: a\r\n\r\n", " 400 "},
    {"unknown route", "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", " 404 "},
    {"invalid deadline", "GET /records HTTP/1.1\r\nHost: a\r\nX-Pomeloloft-Deadline-Ms: soon\r\n\r\n",
     " 400 "},
    {"key not issued by this mesh",
     "POST /repairs HTTP/1.1\r\nHost: a\r\nIdempotency-Key: x\r\nContent-Length: 0\r\n\r\n", " 400 "},
};

struct bad_file : named_row {
    const char* text;
    const char* expected_location;
};

const bad_file bad_files[] = {
    {"route without service", "routes:\n  a: {prefix: /a, methods: [GET], service: none}\n",
     "/routes/a/service"},
    {"unknown field", "services:\n  a: {slot: 3}\n", "/services/a/slot"},
    {"invalid YAML", "services:\n  a: [\n", ":3"},
    {"duplicate key", "services:\n  a: {}\n  a: {}\n", ":3"},
    {"invalid fan-out", "distribution: {fan_out: 1}\n", "/distribution/fan_out"},
    {"invalid heartbeat", "distribution: {heartbeat_ms: soon}\n", "/distribution/heartbeat_ms"},
    {"invalid limit", "services:\n  a: {limit: guess}\n", "/services/a/limit"},
    {"invalid slots", "services:\n  a: {slots: 0}\n", "/services/a/slots"},
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_patches_and_the_audit_trail_work_end_to_end)
{
    small_fleet s;
    const client_response read = call(s.entry().at.callers, {"GET", "/records/7", {{"X-Request-Id", "r7"}}});
    BOOST_TEST(read.status == 200);
    BOOST_TEST(read.outcome() == "ran");
    BOOST_TEST(read.header("X-Request-Id") == "r7");
    BOOST_TEST(read.complete);

    const std::string body(300'000, 'x');
    const client_response upload =
        call(s.entry().at.callers, {"PUT", "/scans/1", {}, body, milliseconds{5000}});
    BOOST_TEST(upload.status == 200);
    BOOST_TEST(json::parse(upload.body).at("body_bytes") == body.size());

    const client_response keyless =
        call(s.entry().at.callers, {"POST", "/repairs", {}, "{}", milliseconds{2000}});
    BOOST_TEST(keyless.status == 428);
    BOOST_TEST(keyless.outcome() == "not-run");

    const std::string add_service = R"([{"op": "add", "path": "/services/new", "value": {}}])";
    BOOST_TEST(s.f.submit(s.entry(), "p-stale", 0, add_service).status == 409);
    const client_response accepted = s.f.submit(s.entry(), "p-next", 1, add_service);
    BOOST_TEST(accepted.status == 200);
    BOOST_TEST(json::parse(s.f.submit(*s.f.nodes[0], "p-next", 1, add_service).body).at("version") == 2);
    BOOST_TEST(s.f.wait_for_version(2, convergence_limit));

    const command_result audit = s.f.run({"audit", "--proxy", s.entry().at.operators, "--output", "json"});
    const json entries = json::parse(audit.output).at("entries");
    BOOST_REQUIRE_EQUAL(entries.size(), 3U);
    BOOST_TEST(entries[1].at("outcome") == "stale");
    BOOST_TEST(entries[2].at("patch") == "p-next");

    const command_result shown =
        s.f.run({"config", "show", "--proxy", s.entry().at.operators, "--version", "1", "--output", "json"});
    BOOST_TEST(json::parse(shown.output).at("version") == 1);
    const command_result status = s.f.run({"status", "--proxy", s.entry().at.operators});
    BOOST_TEST(status.output.find("n2") != std::string::npos);
    for (const auto& n : s.f.nodes) {
        BOOST_TEST(n->process->terminate(milliseconds{5000}).value_or(-1) == 0);
    }
}

BOOST_AUTO_TEST_CASE(internal_routes_are_unreachable_from_the_callers_listener)
{
    fleet f;
    node& n = f.add({"n1", "qld-1", "gallery", {}, {}, false});
    BOOST_REQUIRE(f.bring_up(n, example_path("sleeper_smoke/tours.yaml")));
    BOOST_REQUIRE(f.wait_for_endpoints(n, 1, startup_timeout));
    BOOST_TEST(call(n.at.callers, {"GET", "/gallery/1"}).status == 200);
    for (const char* path : {"/gallery/metadata/1", "/gallery//metadata/1", "/gallery/%6Detadata/1"}) {
        BOOST_TEST(call(n.at.callers, {"GET", path}).status == 404);
        BOOST_TEST(call(n.at.internal, {"GET", path}).status == 200);
    }
}

BOOST_AUTO_TEST_CASE(only_one_of_fifty_concurrent_patches_to_a_version_is_accepted)
{
    small_fleet s;
    constexpr int operators = 50;
    std::atomic<int> accepted{0};
    std::atomic<int> stale{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < operators; ++i) {
        threads.emplace_back([&, i] {
            const std::string name = "svc-" + std::to_string(i);
            const std::string operations =
                json::array({{{"op", "add"}, {"path", "/services/" + name}, {"value", json::object()}}})
                    .dump();
            const int status =
                s.f.submit(*s.f.nodes[i % 3], "race-" + std::to_string(i), 1, operations).status;
            accepted += status == 200 ? 1 : 0;
            stale += status == 409 ? 1 : 0;
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    BOOST_TEST(accepted == 1);
    BOOST_TEST(stale == operators - 1);
    BOOST_TEST(s.f.wait_for_version(2, convergence_limit));
    for (const auto& n : s.f.nodes) {
        BOOST_TEST(n->version() == 2);
    }
}

BOOST_AUTO_TEST_CASE(a_patch_is_applied_once_when_the_append_response_is_lost)
{
    small_fleet s;
    s.f.log->set_faults({false, milliseconds{0}, 1});
    const std::string operations = R"([{"op": "add", "path": "/services/lost", "value": {}}])";
    const client_response first = s.f.submit(s.entry(), "p-lost", 1, operations);
    BOOST_TEST(first.status == 200);
    BOOST_TEST(json::parse(first.body).at("version") == 2);
    const client_response again = s.f.submit(*s.f.nodes[0], "p-lost", 1, operations);
    BOOST_TEST(json::parse(again.body).at("version") == 2);
}

BOOST_AUTO_TEST_CASE(all_proxies_reject_invalid_log_records_identically)
{
    small_fleet s;
    for (const char* record :
         {"", "not json", "[]", "{\"id\": 3}", "\xff\xfe\x00garbage",
          R"({"id":"a","author":"b","base":1,"operations":[{"op":"explode"}]})",
          R"({"id":"c","author":"b","base":1,"operations":[{"op":"remove","path":"/services/register"}]})"}) {
        s.f.log->append_raw("pomeloloft-config", record);
    }
    const std::string operations = R"([{"op": "add", "path": "/services/after", "value": {}}])";
    BOOST_TEST(s.f.submit(s.entry(), "p-after", 1, operations).status == 200);
    BOOST_TEST(s.f.wait_for_version(2, convergence_limit));
    std::string first;
    for (const auto& n : s.f.nodes) {
        const std::string audit = call(n->at.operators, {"GET", "/v1/audit"}).body;
        first = first.empty() ? audit : first;
        BOOST_TEST(audit == first);
        BOOST_TEST(n->version() == 2);
    }
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_rejected_and_the_proxy_keeps_serving)
{
    small_fleet s;
    for (const bad_request& row : bad_requests) {
        const std::string response = send_raw(s.entry().at.callers, row.bytes, milliseconds{500});
        BOOST_TEST_INFO(row.name << ": " << response.substr(0, 200));
        BOOST_TEST(response.substr(0, 16).find(row.status) != std::string::npos);
    }
    // The HTTP library closes the connection on a length that exceeds 64 bits, before the proxy reads it.
    const std::string endless =
        "PUT /scans/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n";
    BOOST_TEST(send_raw(s.entry().at.callers, endless, milliseconds{500}).empty());
    for (const std::string& junk : {std::string("\0\1\2\3", 4), std::string(100'000, 'A'), std::string("GET"),
                                    "GET / HTTP/1.1\r\n" + std::string(200'000, 'h') + "\r\n\r\n"}) {
        for (const std::string& address : {s.entry().at.callers, s.entry().at.peer, s.entry().at.operators,
                                           s.entry().at.local, s.entry().at.control}) {
            (void)send_raw(address, junk, milliseconds{300});
        }
    }
    BOOST_TEST(call(s.entry().at.callers, {"GET", "/records/1"}).status == 200);
}

BOOST_DATA_TEST_CASE(errors_in_declarations_name_their_location, boost::unit_test::data::make(bad_files), row)
{
    const std::string path = "bad-declarations-" + std::to_string(free_port()) + ".yaml";
    std::ofstream(path) << row.text;
    const fleet f;
    const command_result checked = f.run({"check", path});
    BOOST_TEST(checked.exit_code == 4);
    BOOST_TEST_INFO(checked.output);
    BOOST_TEST(checked.output.find(row.expected_location) != std::string::npos);
    std::remove(path.c_str());
}

BOOST_AUTO_TEST_CASE(every_invalid_flag_is_reported)
{
    const fleet f;
    const command_result started = f.run({"proxy", "--node", "Bad Name", "--log", "nowhere"});
    BOOST_TEST(started.exit_code == 2);
    for (const char* flag : {"--node", "--log", "--data-centre"}) {
        BOOST_TEST(started.output.find(flag) != std::string::npos);
    }
}
