#include "target_server.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::stand_ins {
namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int unavailable = 503;
constexpr milliseconds poll_interval{5};

milliseconds header_ms(const http_request& request, const char* name)
{
    return milliseconds(std::atoll(request.get(name, "0").c_str()));
}

int call_target_api(const std::string& address, const std::string& method, const std::string& body,
                    int timeout_seconds)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(timeout_seconds, 0));
        Poco::Net::HTTPRequest request(method, "/v1/target", Poco::Net::HTTPRequest::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    } catch (const Poco::Exception&) {
        return 0;
    }
}

} // namespace

target_server::target_server(const target_options& server_options)
    : options(server_options), started_at(steady_clock::now())
{}

result<std::unique_ptr<target_server>> target_server::start(const target_options& options)
{
    std::unique_ptr<target_server> target(new target_server(options));
    http_server_options listener;
    listener.address = options.address;
    listener.setting = "address";
    target_server& self = *target;
    BOOST_OUTCOME_TRY(auto server,
                      http_server::start(listener, [&self](auto& q, auto& r) { self.handle(q, r); }));
    target->server = std::move(server);
    if (!options.proxy_local_address.empty()) {
        target->announce_thread = std::thread([&self] { self.announce_until_stopped(); });
    }
    return target;
}

target_server::~target_server()
{
    this->stop();
}

void target_server::announce_until_stopped()
{
    const std::string host = this->options.address.substr(0, this->options.address.rfind(':'));
    const json body{{"service", this->options.service},
                    {"address", host + ":" + std::to_string(this->server->port())},
                    {"ttl_ms", this->options.announce_ttl.count()}};
    constexpr int announcements_per_ttl = 5;
    while (!this->stopping) {
        const int status = call_target_api(this->options.proxy_local_address, "PUT", body.dump(), 1);
        const milliseconds wait =
            status == ok ? this->options.announce_ttl / announcements_per_ttl : milliseconds{50};
        const time_point next = steady_clock::now() + wait;
        while (!this->stopping && steady_clock::now() < next) {
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

void target_server::withdraw()
{
    this->stopping = true;
    if (this->announce_thread.joinable()) {
        this->announce_thread.join();
        constexpr int max_drain_seconds = 60;
        call_target_api(this->options.proxy_local_address, "DELETE", "", max_drain_seconds);
    }
}

void target_server::withdraw_and_stop()
{
    this->withdraw();
    constexpr milliseconds shutdown_grace{30'000};
    this->server->stop(steady_clock::now() + shutdown_grace);
}

void target_server::stop()
{
    this->stopping = true;
    if (this->announce_thread.joinable()) {
        this->announce_thread.join();
    }
    this->server->stop(steady_clock::now());
}

std::uint64_t target_server::runs(const std::string& id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runs_by_id.find(id);
    return found == this->runs_by_id.end() ? 0 : found->second;
}

void target_server::handle(http_request& request, http_response& response)
{
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/stand-in/runs") {
        const auto parameters = uri.getQueryParameters();
        const std::string id = parameters.empty() ? "" : parameters.front().second;
        send_text(response, ok, "text/plain", std::to_string(this->runs(id)));
        return;
    }
    if (uri.getPath() == "/stand-in/counters") {
        send_text(response, ok, "application/json",
                  json{{"total", this->executed.load()},
                       {"shed", this->shed_count.load()},
                       {"cancelled", this->cancelled_count.load()},
                       {"running", this->running.load()},
                       {"most_running", this->peak_running.load()}}
                      .dump());
        return;
    }
    if (uri.getPath() == "/healthz" || uri.getPath() == "/load") {
        send_text(response, ok, "application/json", R"({"status": "well", "load": 0})");
        return;
    }
    const std::uint32_t now_running = ++this->running;
    std::uint32_t previous_peak = this->peak_running;
    while (now_running > previous_peak &&
           !this->peak_running.compare_exchange_weak(previous_peak, now_running)) {
    }
    if (now_running > this->options.slots) {
        ++this->shed_count;
        send_text(response, unavailable, "text/plain", "shed\n");
    } else {
        this->execute(request, response);
    }
    --this->running;
}

milliseconds target_server::cold_start_penalty() const
{
    const milliseconds age = remaining(steady_clock::now(), this->started_at);
    if (age >= this->options.cold_start_duration) {
        return milliseconds{0};
    }
    return this->options.cold_start_delay * (this->options.cold_start_duration - age).count() /
           this->options.cold_start_duration.count();
}

bool target_server::wait_unless_cancelled(http_request& request, milliseconds time)
{
    const time_point end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
        std::this_thread::sleep_for(
            std::min(remaining(end, steady_clock::now()) + milliseconds{1}, poll_interval));
        if (caller_gone(request)) {
            return false;
        }
    }
    return true;
}

void target_server::execute(http_request& request, http_response& response)
{
    std::array<char, 16384> buffer{};
    std::uint64_t hash = 0;
    std::size_t size = 0;
    // A request with a truncated body is aborted below and does not count as executed.
    while (request.stream().good()) {
        request.stream().read(buffer.data(), buffer.size());
        const auto count = static_cast<std::size_t>(request.stream().gcount());
        hash = hash_bytes({buffer.data(), count}, hash);
        size += count;
    }
    const bool has_length = request.hasContentLength();
    if (has_length && size != static_cast<std::size_t>(request.getContentLength64())) {
        abort_connection(request);
        return;
    }
    ++this->executed;
    {
        const std::lock_guard lock(this->mutex);
        ++this->runs_by_id[request.get("X-Request-Id", "")];
    }
    if (request.has("X-Crash")) {
        _exit(1);
    }
    if (!this->wait_unless_cancelled(request, this->options.service_time + this->cold_start_penalty() +
                                                  header_ms(request, "X-Work-Ms"))) {
        ++this->cancelled_count;
        abort_connection(request);
        return;
    }
    this->send_answer(request, response, hash, size);
}

void target_server::send_answer(http_request& request, http_response& response, std::uint64_t body_hash,
                                std::size_t body_size)
{
    const json head{{"service", this->options.service},
                    {"port", this->server->port()},
                    {"request", request.get("X-Request-Id", "")},
                    {"path", request.getURI()},
                    {"body_bytes", body_size},
                    {"body_hash", to_hex(body_hash)}};
    std::string text = head.dump();
    const auto min_size = static_cast<std::size_t>(std::atoll(request.get("X-Answer-Bytes", "0").c_str()));
    text.resize(std::max(text.size(), min_size), '.');
    response.set("X-Request-Id", request.get("X-Request-Id", ""));
    response.set("X-Body-Hash", to_hex(hash_bytes(text)));
    response.setContentType("application/json");
    if (request.has("X-Chunked")) {
        response.setChunkedTransferEncoding(true);
    } else {
        response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    }
    std::ostream& out = response.send();
    if (request.has("X-Cut")) {
        out.write(text.data(), static_cast<std::streamsize>(text.size() / 2));
        out.flush();
        abort_connection(request);
        return;
    }
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
    out.flush();
}

} // namespace pomeloloft::stand_ins
