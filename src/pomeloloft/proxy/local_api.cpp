#include <algorithm>
#include <istream>
#include <iterator>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/proxy/api.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr std::size_t max_announcement_bytes = 4096;
constexpr std::int64_t min_ttl_ms = 200;
constexpr std::int64_t max_ttl_ms = 60'000;
constexpr std::int64_t default_ttl_ms = 3000;
constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int unavailable = 503;

error field_error(const char* field, const std::string& what)
{
    return {error_code::invalid, field, what};
}

result<announced_target> read_announcement(std::istream& in)
{
    std::string text(max_announcement_bytes, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    const json source = parse_json(text);
    if (!source.is_object()) {
        return field_error("body", "must be a JSON object with service, address and ttl_ms");
    }
    announced_target out;
    const json service = source.value("service", json());
    if (!service.is_string() || service.get<std::string>().empty()) {
        return field_error("service", "must be the name of a service");
    }
    out.service = service.get<std::string>();
    const json address = source.value("address", json());
    if (!address.is_string()) {
        return field_error("address", "must be host:port");
    }
    out.address = address.get<std::string>();
    try {
        const Poco::Net::SocketAddress parsed(out.address);
    } catch (const Poco::Exception& exception) {
        return field_error("address", exception.displayText());
    }
    const json ttl = source.value("ttl_ms", json(default_ttl_ms));
    if (!ttl.is_number_integer() || ttl < min_ttl_ms || ttl > max_ttl_ms) {
        return field_error("ttl_ms", "must be a whole number from 200 to 60000");
    }
    out.lease_deadline = steady_clock::now() + milliseconds(ttl.get<std::int64_t>());
    return out;
}

void send_error(http_response& response, int status, const error& cause)
{
    send_text(response, status, "application/json",
              json{{"field", cause.where}, {"message", cause.message}}.dump() + "\n");
}

/// Stores or renews the announcement of the local target.
void announce_target(blackboard& board, http_request& request, http_response& response)
{
    auto announced = read_announcement(request.stream());
    if (!announced) {
        send_error(response, bad_request, announced.error());
        return;
    }
    bool changed = false;
    bool replaced = false;
    {
        const std::lock_guard lock(board.target_mutex);
        const announced_target& next = announced.value();
        replaced = !board.target || board.target->address != next.address;
        changed = !board.target || board.target->service != next.service ||
                  board.target->address != next.address || board.target->draining ||
                  board.target->unreachable;
        if (board.target && board.target->unreachable) {
            ++board.target_lives;
        }
        board.target = next;
    }
    if (replaced) {
        board.target_response_time.reset();
        board.adaptive_limit.reset();
    }
    const bool declared = apply_limits(board, announced.value().service);
    if (changed) {
        board.target_admission.open();
        log_info("target-announced",
                 {{"service", announced.value().service}, {"address", announced.value().address}});
        notify_change(board);
    }
    send_text(response, ok, "application/json", json{{"declared", declared}}.dump() + "\n");
}

/// Withdraws the local target and responds once its requests have finished, so that the target can then stop.
void withdraw_target(blackboard& board, http_response& response)
{
    {
        const std::lock_guard lock(board.target_mutex);
        if (!board.target) {
            send_text(response, not_found, "text/plain", "no target is announced\n");
            return;
        }
        board.target->draining = true;
        board.target->lease_deadline = steady_clock::now() + board.settings.shutdown_grace;
    }
    log_info("target-draining");
    board.target_admission.close();
    notify_change(board);
    const bool idle = board.target_admission.wait_idle(steady_clock::now() + board.settings.shutdown_grace);
    {
        const std::lock_guard lock(board.target_mutex);
        if (board.target && board.target->draining) {
            board.target.reset();
        }
    }
    notify_change(board);
    log_info("target-drained", {{"idle", idle ? "yes" : "no"}});
    send_text(response, idle ? ok : unavailable, "text/plain",
              idle ? "drained\n" : "requests still in progress\n");
}

} // namespace

void handle_local(blackboard& board, http_request& request, http_response& response)
{
    const std::string& path = request.getURI();
    const std::string& method = request.getMethod();
    if (path == "/v1/target" && method == "PUT") {
        announce_target(board, request, response);
    } else if (path == "/v1/target" && method == "DELETE") {
        withdraw_target(board, response);
    } else if (path == "/metrics" && method == "GET") {
        send_text(response, ok, "text/plain; version=0.0.4", metrics_text(board));
    } else if (path == "/healthz") {
        const bool healthy = !may_be_stale(board, steady_clock::now());
        send_text(response, healthy ? ok : unavailable, "text/plain",
                  healthy ? "ok\n" : "control thread is late\n");
    } else if (path == "/readyz") {
        const bool ready = board.ready && !board.stopping;
        send_text(response, ready ? ok : unavailable, "text/plain", ready ? "ready\n" : "not ready\n");
    } else {
        send_text(response, not_found, "text/plain", "no such path\n");
    }
}

} // namespace pomeloloft
