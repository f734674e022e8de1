#include "pomeloloft/proxy/operator_views.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr milliseconds member_status_timeout{500};
constexpr std::size_t max_status_bytes = 16U << 10U;
constexpr std::size_t max_fleet_threads = 16;
constexpr int ok = 200;
constexpr int not_found = 404;

/// Queries one proxy for its configuration version and readiness.
json query_member(blackboard& board, const member& m)
{
    json row{{"node", m.node},
             {"data_centre", m.data_centre},
             {"state", name_of(member_state_names, m.state)},
             {"service", m.service}};
    const time_point deadline = steady_clock::now() + member_status_timeout;
    auto connected = board.peer_connections.connect(m.peer_address, deadline);
    if (!connected) {
        row["reachable"] = false;
        return row;
    }
    try {
        client_connection& connection = *connected.value().connection;
        connection.set_io_timeout(member_status_timeout);
        Poco::Net::HTTPRequest request("GET", "/pomeloloft/status", Poco::Net::HTTPRequest::HTTP_1_1);
        connection.sendRequest(request);
        Poco::Net::HTTPResponse status_response;
        std::istream& stream = connection.receive_head(status_response, deadline);
        const json body = parse_json(read_short_body(stream, max_status_bytes).value_or(""));
        row["reachable"] = body.is_object();
        if (!body.is_object()) {
            return row;
        }
        row["version"] = body.value("version", json());
        row["ready"] = body.value("ready", json());
        row["reader"] = body.value("reader", json());
    } catch (const Poco::Exception&) {
        row["reachable"] = false;
    }
    return row;
}

json endpoints_to_json(const service_view& endpoints)
{
    json rows = json::array();
    for (const auto* list : {&endpoints.local, &endpoints.remote}) {
        for (const endpoint& e : *list) {
            rows.push_back({{"node", e.node},
                            {"data_centre", e.data_centre},
                            {"address", e.peer_address},
                            {"in_flight", e.load->in_flight.load()},
                            {"reported_load", e.load->reported_load.load()},
                            {"answer_time_us", e.load->response_time_us.load()},
                            {"passed_over", is_ejected(e, steady_clock::now())}});
        }
    }
    return rows;
}

} // namespace

void send_json(http_response& response, int status, const json& body)
{
    send_text(response, status, "application/json",
              body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

void send_error(http_response& response, int status, const std::string& outcome, const std::string& message)
{
    send_json(response, status, {{"outcome", outcome}, {"message", message}});
}

void show_status(blackboard& board, http_response& response)
{
    json links = json::array();
    for (const link_summary& l : board.hub.summaries()) {
        links.push_back({{"kind", name_of(link_kind_names, l.kind)},
                         {"direction", l.inbound ? "in" : "out"},
                         {"node", l.remote_node},
                         {"established", l.established},
                         {"version", l.remote_version}});
    }
    const auto current = board.current_view.load();
    send_json(response, ok,
              {{"node", board.settings.node},
               {"data_centre", board.settings.data_centre},
               {"version", current->config->version},
               {"hash", to_hex(current->config->hash)},
               {"ready", board.ready.load()},
               {"reader", board.is_reader.load()},
               {"log_out", board.log_unavailable.load()},
               {"links", std::move(links)}});
}

void show_fleet(blackboard& board, http_response& response)
{
    const auto members = board.hub.read([](const sync_state& state) {
        std::vector<member> live;
        for (const auto& [node, entry] : state.members.entries) {
            if (entry.value.state != member_state::gone) {
                live.push_back(entry.value);
            }
        }
        return live;
    });
    std::atomic<std::size_t> next{0};
    std::vector<json> rows(members.size());
    const auto work = [&] {
        for (std::size_t i = next++; i < members.size(); i = next++) {
            rows[i] = query_member(board, members[i]);
        }
    };
    std::vector<std::future<void>> workers;
    for (std::size_t i = 0; i < std::min(max_fleet_threads, members.size()); ++i) {
        workers.push_back(std::async(std::launch::async, work));
    }
    for (std::future<void>& worker : workers) {
        worker.get();
    }
    std::sort(rows.begin(), rows.end(), [](const json& a, const json& b) { return a["node"] < b["node"]; });
    const std::uint64_t current = board.current_view.load()->config->version;
    for (json& row : rows) {
        if (row.contains("version") && row["version"].is_number_unsigned()) {
            const auto version = row["version"].get<std::uint64_t>();
            row["lag"] = version >= current ? 0 : current - version;
        }
    }
    send_json(response, ok, {{"version", current}, {"proxies", rows}});
}

void show_decisions(blackboard& board, http_response& response)
{
    if (!board.decisions.enabled()) {
        send_error(response, not_found, "not-recorded",
                   "this proxy records no decisions; start it with --record-decisions N");
        return;
    }
    std::string lines;
    for (const decision& recorded : board.decisions.recorded_decisions()) {
        lines += to_json_line(recorded) + "\n";
    }
    send_text(response, ok, "application/x-ndjson", lines);
}

void show_view(blackboard& board, http_response& response)
{
    const auto current = board.current_view.load();
    json routes = json::array();
    for (const bound_route& r : current->routes) {
        routes.push_back({{"route", r.name},
                          {"prefix", r.rule.prefix},
                          {"methods", r.rule.methods},
                          {"service", r.rule.service},
                          {"endpoints", r.target->local.size() + r.target->remote.size()}});
    }
    json services = json::object();
    for (const auto& [name, endpoints] : current->services) {
        services[name] = endpoints_to_json(endpoints);
    }
    send_json(response, ok,
              {{"version", current->config->version},
               {"routes", std::move(routes)},
               {"services", std::move(services)}});
}

} // namespace pomeloloft
