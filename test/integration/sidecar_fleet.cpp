#include "sidecar_fleet.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <unistd.h>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "pomeloloft/sidecar/peer_headers.hpp"

namespace pomeloloft::testing {
namespace {

constexpr milliseconds poll_interval{2};
constexpr milliseconds call_margin{1500};
/// Time in which sidecars synchronise their member tables.
constexpr milliseconds sync_time{200};

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

net::task<void> send_call(net::event_loop& loop, std::string address, caller_request request,
                          std::shared_ptr<caller_response> out, std::shared_ptr<bool> done)
{
    const time_point started = steady_clock::now();
    net::client_pool pool(loop, {});
    const auto endpoint = net::parse_endpoint(address, "caller").value();
    const time_point deadline = started + request.time_left + call_margin;
    auto connected = co_await pool.connect(endpoint, deadline);
    if (connected) {
        net::request sent{net::http::string_to_verb(request.method), request.path, 11};
        sent.set(net::http::field::host, "shop.example");
        sent.set("X-Request-Id", request.id);
        sent.set("X-Deadline-Ms", std::to_string(request.time_left.count()));
        for (const auto& [name, value] : request.headers) {
            sent.set(name, value);
        }
        sent.body() = request.body;
        sent.prepare_payload();
        net::exchange_options options;
        options.deadline = deadline;
        options.id_header = "X-Request-Id";
        net::exchange_result ended = co_await net::exchange(*connected.value(), sent, options);
        out->end = ended.end;
        out->status =
            ended.end == net::exchange_end::answered ? static_cast<int>(ended.response.result_int()) : 0;
        out->body = ended.response.body();
        out->retry_after = std::string(ended.response[net::http::field::retry_after]);
        out->head = ended.response.base();
    }
    out->elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - started);
    *done = true;
}

net::task<void> send_request(net::event_loop& loop, std::string address, net::request sent,
                             std::shared_ptr<net::response> out, std::shared_ptr<bool> done)
{
    net::client_pool pool(loop, {});
    const auto endpoint = net::parse_endpoint(address, "test").value();
    net::exchange_options options;
    options.deadline = steady_clock::now() + call_margin;
    auto connected = co_await pool.connect(endpoint, options.deadline);
    if (connected) {
        net::exchange_result ended = co_await net::exchange(*connected.value(), sent, options);
        if (ended.end == net::exchange_end::answered) {
            *out = std::move(ended.response);
        }
    }
    *done = true;
}

} // namespace

caller_request read_request(const std::string& id)
{
    caller_request out;
    out.id = id;
    return out;
}

sidecar_fleet::sidecar_fleet(std::size_t size, std::string settings_lines)
    : sidecar_fleet(std::vector<std::string>(size, "register"), std::move(settings_lines))
{}

sidecar_fleet::sidecar_fleet(const std::vector<std::string>& services, std::string settings_lines,
                             std::size_t reporting)
    : loop(1), store(this->loop), nodes(services.size()),
      directory(std::filesystem::temp_directory_path() / ("sidecars-" + std::to_string(::getpid()))),
      added_settings(std::move(settings_lines))
{
    std::filesystem::create_directories(this->directory);
    this->configure(1);
    const std::size_t size = services.size();
    for (std::size_t i = 0; i < size; ++i) {
        sidecar_node& node = this->nodes[i];
        node.node_settings.service = services[i];
        node.target = std::make_unique<platform_target>(this->loop, "i-" + std::to_string(i));
        node.node_settings.node = "n" + std::to_string(i);
        node.node_settings.outbound_address = free_address();
        node.node_settings.peer_address = free_address();
        node.node_settings.ready_address = free_address();
        node.node_settings.control_address = free_address();
        // Without a health check, a target that has not reported stays unknown.
        node.target->healthy = i < reporting;
        this->start(i);
    }
    for (std::size_t i = 0; i < size; ++i) {
        this->run_until([this, i, reporting] { return i >= reporting || this->heartbeat(i) == 200; });
        this->run_until([this, i] { return this->readiness(i) == 200; });
    }
    this->run_for(sync_time);
    for (std::size_t i = 0; i < size; ++i) {
        if (!this->nodes[i].process->running()) {
            throw std::runtime_error("a sidecar did not start: " + this->log_of(i));
        }
    }
}

sidecar_fleet::~sidecar_fleet()
{
    for (sidecar_node& node : this->nodes) {
        node.process.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

void sidecar_fleet::start(std::size_t node)
{
    sidecar_node& target_node = this->nodes[node];
    const std::string path = this->directory + "/" + target_node.node_settings.node;
    std::ofstream file(path + ".env");
    file << "POMELOLOFT_NODE=" << target_node.node_settings.node
         << "\nPOMELOLOFT_DATA_CENTRE=dc1\nPOMELOLOFT_SERVICE=" << target_node.node_settings.service
         << "\nPOMELOLOFT_TARGET=" << target_node.target->address()
         << "\nPOMELOLOFT_OUTBOUND=" << target_node.node_settings.outbound_address
         << "\nPOMELOLOFT_PEER=" << target_node.node_settings.peer_address
         << "\nPOMELOLOFT_READY=" << target_node.node_settings.ready_address
         << "\nPOMELOLOFT_CONTROL=" << target_node.node_settings.control_address
         << "\nPOMELOLOFT_STORE=" << this->store.address()
         << "\nPOMELOLOFT_LINK_MBPS=1000\nPOMELOLOFT_DRAIN_MS=1000\nPOMELOLOFT_"
            "GRACE_S=6\n"
         << "POMELOLOFT_RETRY_RESERVE=62\nPOMELOLOFT_CALLS_FIRST=1\nPOMELOLOFT_LIMIT_RUNS=0\n"
         << this->added_settings;
    file.close();
    target_node.process = std::make_unique<child_process>(
        POMELOLOFT_BINARY, std::vector<std::string>{"sidecar", path + ".env"}, path + ".log");
}

std::string sidecar_fleet::settings_path(std::size_t node) const
{
    return this->directory + "/" + this->nodes[node].node_settings.node + ".env";
}

void sidecar_fleet::append_settings(std::size_t node, const std::string& lines) const
{
    std::ofstream(this->settings_path(node), std::ios::app) << lines;
}

std::string sidecar_fleet::log_of(std::size_t node) const
{
    std::ifstream file(this->directory + "/" + this->nodes[node].node_settings.node + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
}

void sidecar_fleet::configure(std::uint64_t version, const std::string& extra_routes,
                              const std::string& extra_fields)
{
    const std::string head = R"({"Version":)" + std::to_string(version);
    const std::string routes =
        R"(,"Routes":[{"Name":"read","Host":"shop.example","PathPrefix":"/read/","RouteType":"idempotent",)"
        R"("TimeoutMs":1000,"TargetLatencyMs":500,"Priority":2,"Service":"register","MaxAttempts":2},)"
        R"({"Name":"write","Host":"shop.example","PathPrefix":"/write/","RouteType":"non_idempotent",)"
        R"("TimeoutMs":1000,"TargetLatencyMs":500,"Priority":1,"Service":"register","MaxAttempts":2})";
    const std::string services = R"(],"Services":[{"Name":"register","HealthPath":"/health"}])";
    this->store.put("keyed.op", "config", head + routes + extra_routes + services + extra_fields + '}');
}

bool sidecar_fleet::run_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point until = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() >= until) {
            return false;
        }
        this->run_for(poll_interval);
    }
    return true;
}

void sidecar_fleet::run_for(milliseconds duration)
{
    if (this->loop.stopped()) {
        this->loop.restart();
    }
    this->loop.run_for(duration);
}

caller_response sidecar_fleet::call(std::size_t node, caller_request request)
{
    return this->call_all(node, {std::move(request)}).front();
}

std::vector<caller_response> sidecar_fleet::call_all(std::size_t node,
                                                     const std::vector<caller_request>& requests)
{
    std::vector<std::shared_ptr<caller_response>> responses;
    std::vector<std::shared_ptr<bool>> done;
    for (const caller_request& request : requests) {
        responses.push_back(std::make_shared<caller_response>());
        done.push_back(std::make_shared<bool>(false));
        net::asio::co_spawn(this->loop,
                            send_call(this->loop, this->nodes[node].node_settings.outbound_address, request,
                                      responses.back(), done.back()),
                            net::asio::detached);
    }
    for (const auto& flag : done) {
        this->run_until([&flag] { return *flag; }, milliseconds(10'000));
    }
    std::vector<caller_response> out;
    for (const auto& response : responses) {
        out.push_back(*response);
    }
    return out;
}

net::response sidecar_fleet::response_of(const std::string& address, net::request sent)
{
    const auto out = std::make_shared<net::response>();
    out->result(0U);
    const auto done = std::make_shared<bool>(false);
    net::asio::co_spawn(this->loop, send_request(this->loop, address, std::move(sent), out, done),
                        net::asio::detached);
    this->run_until([&done] { return *done; });
    return *out;
}

int sidecar_fleet::status_of(const std::string& address, net::request sent)
{
    return static_cast<int>(this->response_of(address, std::move(sent)).result_int());
}

std::string sidecar_fleet::metrics(std::size_t node)
{
    net::request sent{net::http::verb::get, "/metrics", 11};
    return this->response_of(this->nodes[node].node_settings.ready_address, std::move(sent)).body();
}

int sidecar_fleet::post_control(std::size_t node, const std::string& path, const std::string& body)
{
    net::request sent{net::http::verb::post, path, 11};
    sent.body() = body;
    sent.prepare_payload();
    return this->status_of(this->nodes[node].node_settings.control_address, std::move(sent));
}

int sidecar_fleet::fence(std::size_t node, const std::string& process)
{
    net::request sent{net::http::verb::post, sidecar::peer_header::fence_path, 11};
    sent.set(sidecar::peer_header::attempt, "attempt-1");
    sent.set(sidecar::peer_header::process, process);
    sent.prepare_payload();
    return this->status_of(this->nodes[node].node_settings.peer_address, std::move(sent));
}

int sidecar_fleet::heartbeat(std::size_t node, const std::string& state)
{
    sidecar_node& target_node = this->nodes[node];
    const std::string body = R"({"Address":"x","born":)" + std::to_string(target_node.target_started_at_ms) +
                             R"(,"Info":{"Service":")" + target_node.node_settings.service +
                             R"(","Version":")" + target_node.target_version + R"(","Zone":"dc1","Slots":)" +
                             std::to_string(target_node.target_slots) + R"(},"Status":{"State":")" + state +
                             R"(","Seq":)" + std::to_string(++target_node.heartbeat_sequence) +
                             R"(,"ColdRemainingMs":0}})";
    return this->post_control(node, "/api/instances/" + target_node.target->instance + "/heartbeat", body);
}

int sidecar_fleet::readiness(std::size_t node)
{
    net::request sent{net::http::verb::get, "/api/ready", 11};
    return this->status_of(this->nodes[node].node_settings.ready_address, std::move(sent));
}

} // namespace pomeloloft::testing
