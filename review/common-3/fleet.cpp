#include "fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <regex>
#include <sstream>

#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

constexpr const char* template_path = "deploy/sidecar.env";
constexpr const char* program = "target/pomeloloft";
constexpr int start_timeout_ms = 20'000;

std::string base64(const std::string& text)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= text.size() ? digits[bits >> (18U - 6U * k) & 63U] : '=';
        }
    }
    return out;
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out += static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 255U);
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const std::size_t mark = target.find('?');
    std::istringstream in(mark == std::string::npos ? std::string{} : target.substr(mark + 1));
    for (std::string item; std::getline(in, item, '&');) {
        const std::size_t equal = item.find('=');
        out[item.substr(0, equal)] = equal == std::string::npos ? std::string{} : item.substr(equal + 1);
    }
    return out;
}

std::string json_response(int status, const json& body)
{
    return response_text(status, body.dump(), {{"Content-Type", "application/json"}});
}

std::string loopback_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Fills in the template as the platform does. Sections are left out: the bounds that they name belong to
/// contracts that the deployment of the cases does not have.
std::string fill_template(const std::map<std::string, std::string>& values)
{
    static const std::regex section(R"(\{\{#[^}]*\}\}[\s\S]*?\{\{/[^}]*\}\})");
    std::string out = std::regex_replace(read_file(template_path), section, "");
    for (const auto& [name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = out.find(placeholder); at != std::string::npos; at = out.find(placeholder)) {
            out.replace(at, placeholder.size(), value);
        }
    }
    return out;
}

} // namespace

std::int64_t unix_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

bool has_trouble()
{
    const char* set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

std::string configuration(int version, const std::vector<tenant>& tenants)
{
    const auto route = [](const char* name, const char* prefix, const char* type, const char* service) {
        return json{{"Name", name},      {"Host", "shop.example"}, {"PathPrefix", prefix},
                    {"RouteType", type}, {"TimeoutMs", 2000},      {"TargetLatencyMs", 500},
                    {"Priority", 0},     {"Service", service},     {"MaxAttempts", 2}};
    };
    json services = json::array();
    for (const char* name : {"register", "geometry"}) {
        services.push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 130}});
    }
    json out{{"Version", version},
             {"Routes", json::array({route("r-lookup", "/lookup/", "idempotent", "register"),
                                     route("r-order", "/order/", "non_idempotent", "register"),
                                     route("r-avail", "/avail/", "idempotent", "geometry")})},
             {"Services", services},
             {"Limits",
              {{"MaxHeaderBytes", 16384},
               {"MaxBodyBytes", 67108864},
               {"HeaderTimeoutMs", 3000},
               {"IdleTimeoutMs", 15000}}}};
    for (const tenant& each : tenants) {
        out["Tenants"].push_back({{"Name", each.name},
                                  {"ApiKeys", json::array({each.key})},
                                  {"Priority", 1},
                                  {"RatePerS", each.rate_per_s},
                                  {"Burst", each.burst}});
    }
    return out.dump();
}

void recorder::add(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now_s());
    const std::lock_guard lock(this->mutex);
    this->file << time << line << std::endl;
}

platform_store::platform_store() : server([this](const message& received) { return this->handle(received); })
{}

void platform_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    this->topics[topic].emplace_back(key, value);
    this->changed.notify_all();
}

std::string platform_store::handle(const message& received)
{
    auto query = query_of(received.target);
    const std::string path = received.target.substr(0, received.target.find('?'));
    if (path == "/api/log-append") {
        return this->append(query, received.body);
    }
    if (path == "/api/log-read") {
        return this->read(query);
    }
    if (path == "/api/log-newest") {
        return this->newest(query);
    }
    if (path == "/api/log-join") {
        return json_response(200, {{"Generation", 1}, {"TtlMs", 5000}, {"parts", json::array()}});
    }
    return response_text(404);
}

std::string platform_store::append(std::map<std::string, std::string>& query, const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    std::vector<record>& log = this->topics[query["Topic"]];
    if (query.contains("Producer")) {
        const std::uint64_t epoch = std::strtoull(query["epoch"].c_str(), nullptr, 10);
        std::uint64_t& newest_epoch = this->epochs[query["Topic"] + ' ' + query["Producer"]];
        if (epoch <= newest_epoch) {
            return json_response(409, {{"why", "fenced"}});
        }
        newest_epoch = epoch;
    }
    const std::size_t offset = log.size();
    for (std::size_t at = 0; at + 5 <= body.size();) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            length = length << 8U | static_cast<unsigned char>(body[at + i]);
        }
        const std::size_t key_bytes = static_cast<unsigned char>(body[at + 4]);
        log.emplace_back(body.substr(at + 5, key_bytes),
                         body.substr(at + 5 + key_bytes, length - 1 - key_bytes));
        at += 4 + length;
    }
    this->changed.notify_all();
    return json_response(200, {{"Offset", offset}, {"End", log.size()}});
}

std::string platform_store::read(std::map<std::string, std::string>& query)
{
    const std::size_t from = std::strtoull(query["From"].c_str(), nullptr, 10);
    const std::chrono::milliseconds wait(std::atoi(query["WaitMs"].c_str()));
    std::unique_lock lock(this->mutex);
    const std::vector<record>& log = this->topics[query["Topic"]];
    this->changed.wait_for(lock, wait, [&log, from] { return log.size() > from; });
    std::string out = big_endian(log.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < log.size(); ++i) {
        const auto& [key, value] = log[i];
        out += big_endian(1 + key.size() + value.size(), 4) + big_endian(key.size(), 1) + key + value;
    }
    return response_text(200, out);
}

std::string platform_store::newest(std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(this->mutex);
    const std::vector<record>& log = this->topics[query["Topic"]];
    std::map<std::string, std::size_t> positions;
    for (std::size_t i = 0; i < log.size(); ++i) {
        positions[log[i].first] = i;
    }
    json items = json::array();
    for (const auto& [key, position] : positions) {
        if (key > query["after"] && !log[position].second.empty()) {
            items.push_back({{"Key", key}, {"Value", base64(log[position].second)}, {"Offset", position}});
        }
    }
    return json_response(200, {{"items", items}, {"HasMore", false}, {"End", log.size()}});
}

target_server::target_server(std::uint16_t listen_port, std::string service_name, std::string instance,
                             recorder& record)
    : port(listen_port), service(std::move(service_name)), events(record), instance_id(std::move(instance)),
      server([this](const message& received) { return this->handle(received); })
{}

bool target_server::start(const std::string& instance, std::int64_t born_ms)
{
    {
        const std::lock_guard lock(this->mutex);
        this->instance_id = instance;
        this->born = born_ms;
        this->sequence = 0;
    }
    this->leaving = false;
    this->is_running = this->server.start(this->port);
    this->events.add("target " + instance + " of " + this->service + " starts, born " +
                     std::to_string(born_ms));
    return this->is_running;
}

void target_server::stop()
{
    this->is_running = false;
    this->server.stop();
    this->events.add("target " + this->instance() + " has ended");
}

std::string target_server::instance() const
{
    const std::lock_guard lock(this->mutex);
    return this->instance_id;
}

std::vector<arrival> target_server::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

std::string target_server::heartbeat_body(const std::string& zone, const std::string& state)
{
    const std::lock_guard lock(this->mutex);
    const json body{{"born", this->born},
                    {"Address", loopback_address(this->port)},
                    {"Info", {{"Service", this->service}, {"Version", "v1"}, {"Zone", zone}, {"Slots", 9}}},
                    {"Status", {{"State", state}, {"Seq", ++this->sequence}, {"ColdRemainingMs", 0}}}};
    return body.dump();
}

std::string target_server::deregistration_body() const
{
    const std::lock_guard lock(this->mutex);
    return json{{"born", this->born}}.dump();
}

std::string target_server::handle(const message& received)
{
    const std::string id = received.header("x-request-id");
    const std::string own_id = this->instance();
    if (received.target == "/health") {
        return response_text(this->leaving ? 503 : 200, {}, {{"X-Instance-Id", own_id}});
    }
    const std::string expected = received.header("x-expected-instance");
    if (!expected.empty() && expected != own_id) {
        return response_text(421, {}, {{"X-Instance-Id", own_id}, {"X-Request-Id", id}});
    }
    {
        const std::lock_guard lock(this->mutex);
        this->seen.push_back(
            {now_s(), own_id, this->service, id, received.target, received.header("x-caller-service")});
    }
    this->events.add("run " + id + ' ' + received.method + ' ' + received.target + " at " + own_id);
    const run_end end = this->run ? this->run(received) : run_end{};
    if (end.crashes) {
        this->events.add("run " + id + " crashes " + own_id);
        std::thread(this->on_crash).detach();
        sleep_ms(50);
        return {};
    }
    sleep_ms(this->service_ms);
    return response_text(end.status, "run " + id,
                         {{"X-Request-Id", id}, {"X-Response-Signature", own_id + '.' + id}});
}

fleet::fleet(deployment settings, recorder& record)
    : options(std::move(settings)), events(record), beating(this->options.services.size())
{
    for (std::size_t i = 0; i < this->options.services.size(); ++i) {
        node added;
        added.name = "sidecar-a-" + std::to_string(i + 1);
        added.zone = "a";
        added.service = this->options.services[i];
        added.target = std::make_unique<target_server>(added.app.number, added.service, "", record);
        this->nodes.push_back(std::move(added));
        this->beating[i] = true;
    }
}

fleet::~fleet()
{
    this->stop_clients();
    this->stopping = true;
    for (std::thread& each : this->threads) {
        each.join();
    }
    for (node& each : this->nodes) {
        if (each.process > 0) {
            ::kill(each.process, SIGKILL);
            ::waitpid(each.process, nullptr, 0);
        }
        each.target->stop();
    }
    if (!this->directory.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(this->directory, ignored);
    }
}

bool fleet::start_process(node& of)
{
    const std::string setting = "POMELOLOFT_CONFIG=" + of.settings_path;
    const std::string log_path = this->directory + '/' + of.name + ".out";
    of.process = ::fork();
    if (of.process == 0) {
        // The sidecar ends with the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const char* path = std::getenv("PATH");
        const std::string path_setting = std::string("PATH=") + (path == nullptr ? "" : path);
        char* const arguments[] = {const_cast<char*>(program), const_cast<char*>("sidecar"), nullptr};
        char* const environment[] = {const_cast<char*>(path_setting.c_str()),
                                     const_cast<char*>(setting.c_str()), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    return of.process > 0;
}

bool fleet::start(const std::string& config)
{
    if (::access(program, X_OK) != 0 || ::access(template_path, R_OK) != 0 || !this->store.start()) {
        return false;
    }
    std::string folder = std::filesystem::temp_directory_path() / "pomeloloft-review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        return false;
    }
    this->directory = folder;
    this->store.put("keyed.op", "config", config);
    for (node& each : this->nodes) {
        each.settings_path = this->directory + '/' + each.name + ".env";
        std::ofstream(each.settings_path)
            << fill_template({{"NodeName", each.name},
                              {"Zone", each.zone},
                              {"Service", each.service},
                              {"AppAddr", loopback_address(each.app.number)},
                              {"Listen.Outbound", loopback_address(each.outbound.number)},
                              {"Listen.Inbound", loopback_address(each.inbound.number)},
                              {"Listen.Ready", loopback_address(each.ready.number)},
                              {"Listen.Control", loopback_address(each.control.number)},
                              {"Limits.LinkMbps", "100.0"},
                              {"Limits.MemoryMb", "512"},
                              {"Limits.MaxFds", "8192"},
                              {"Bounds.DrainMs", this->options.drain_ms},
                              {"Bounds.GraceS", "6"},
                              {"Bounds.BudgetSlack", this->options.budget_slack},
                              {"Provider.Address", loopback_address(this->store.port())}});
        const std::string instance = "i-" + std::to_string(each.app.number);
        if (!each.target->start(instance, unix_ms()) || !this->start_process(each)) {
            return false;
        }
    }
    const double deadline = now_s() + start_timeout_ms / 1000.0;
    for (const node& each : this->nodes) {
        while (call(each.ready.number, "GET", "/api/ready", {{"Host", "ready"}}, {}, 1000).status != 200) {
            if (now_s() > deadline) {
                return false;
            }
            sleep_ms(50);
        }
    }
    this->events.add("all sidecars are ready");
    this->threads.emplace_back([this] { this->send_heartbeats(); });
    return true;
}

int fleet::post_control(std::size_t index, const std::string& instance, const std::string& call_name,
                        const std::string& body)
{
    const node& to = this->nodes[index];
    const int status = call(to.control.number, "POST", "/api/instances/" + instance + '/' + call_name,
                            {{"Host", "control"}, {"Content-Type", "application/json"}}, body, 1000)
                           .status;
    this->events.add(call_name + ' ' + instance + ' ' + body + " -> " + std::to_string(status));
    return status;
}

int fleet::heartbeat(std::size_t index, const std::string& state)
{
    node& of = this->nodes[index];
    return this->post_control(index, of.target->instance(), "heartbeat",
                              of.target->heartbeat_body(of.zone, state));
}

void fleet::send_heartbeats()
{
    while (!this->stopping) {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->beating[i] && this->nodes[i].target->running()) {
                this->heartbeat(i, "ready");
            }
        }
        for (int waited = 0; waited < this->options.heartbeat_ms && !this->stopping; waited += 50) {
            sleep_ms(50);
        }
    }
}

message fleet::request(std::size_t index, const std::string& method, const std::string& path,
                       const std::string& id, int deadline_ms, const header_list& further)
{
    header_list headers{
        {"Host", "shop.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    headers.insert(headers.end(), further.begin(), further.end());
    const message out =
        call(this->nodes[index].outbound.number, method, path, headers, {}, deadline_ms + 200);
    this->events.add("client " + id + ' ' + method + ' ' + path + " sent to " + this->nodes[index].name +
                     " -> " + std::to_string(out.status));
    return out;
}

void fleet::configure(const std::string& config)
{
    this->store.put("keyed.op", "config", config);
    this->events.add("the operator writes " + config);
}

bool fleet::remove(std::size_t index)
{
    node& leaving = this->nodes[index];
    this->beating[index] = false;
    leaving.target->leaving = true;
    if (this->heartbeat(index, "draining") != 200) {
        return false;
    }
    sleep_ms(std::atoi(this->options.drain_ms.c_str()) + 200);
    this->post_control(index, leaving.target->instance(), "deregister",
                       leaving.target->deregistration_body());
    leaving.target->stop();
    this->events.add(leaving.name + " gets SIGTERM");
    ::kill(leaving.process, SIGTERM);
    constexpr int grace_ms = 6000;
    for (int waited = 0; waited < grace_ms; waited += 50) {
        if (::waitpid(leaving.process, nullptr, WNOHANG) == leaving.process) {
            leaving.process = -1;
            this->events.add(leaving.name + " has ended");
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

void fleet::start_clients(const std::vector<std::string>& paths, int pause_ms)
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->clients.emplace_back([this, i, paths, pause_ms] {
            for (std::size_t n = i; !this->clients_stopping; ++n) {
                const std::string& path = paths[n % paths.size()];
                const std::string id = "c-" + std::to_string(this->next_id++);
                const bool is_order = path.starts_with("/order/");
                this->request(i, is_order ? "POST" : "GET", path + id, id, 2000);
                sleep_ms(pause_ms);
            }
        });
    }
}

void fleet::stop_clients()
{
    this->clients_stopping = true;
    for (std::thread& each : this->clients) {
        each.join();
    }
    this->clients.clear();
}

} // namespace review
