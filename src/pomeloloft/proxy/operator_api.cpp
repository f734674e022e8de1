#include <algorithm>
#include <charconv>
#include <istream>
#include <iterator>

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/config/patch.hpp"
#include "pomeloloft/proxy/api.hpp"
#include "pomeloloft/proxy/operator_views.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

/// How long a submission waits for the outcome of its patch.
constexpr milliseconds patch_outcome_timeout{8000};
constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

json entry_to_json(const audit_entry& e)
{
    return {{"offset", e.offset},
            {"patch", e.patch_id},
            {"author", e.author},
            {"message", e.message},
            {"submitted_at_ms", e.submitted_at_ms},
            {"base", e.base_version},
            {"version", e.version},
            {"outcome", name_of(patch_outcome_names, e.outcome)},
            {"reason", e.reason}};
}

int status_of(patch_outcome outcome)
{
    switch (outcome) {
    case patch_outcome::accepted:
        return ok;
    case patch_outcome::stale:
        return conflict;
    default:
        return unprocessable;
    }
}

std::optional<audit_entry> find_patch_outcome(blackboard& board, const std::string& id)
{
    return board.hub.read([&id](const sync_state& state) -> std::optional<audit_entry> {
        const audit_entry* found = find_audit_entry(*state.config.fold, id);
        return found == nullptr ? std::nullopt : std::optional(*found);
    });
}

/// Waits until the fold has processed the patch, because only the fold determines its outcome.
/// @return nothing when the fold has not reached the patch within `patch_outcome_timeout`.
std::optional<audit_entry> await_outcome(blackboard& board, const std::string& id)
{
    constexpr milliseconds poll_interval{20};
    const time_point deadline = steady_clock::now() + patch_outcome_timeout;
    while (steady_clock::now() < deadline && !board.stopped) {
        if (auto outcome = find_patch_outcome(board, id)) {
            return outcome;
        }
        std::unique_lock lock(board.change_mutex);
        board.changed.wait_for(lock, poll_interval);
    }
    return find_patch_outcome(board, id);
}

json patch_response(const blackboard& board, const audit_entry& entry)
{
    json body = entry_to_json(entry);
    body["current_version"] = board.current_view.load()->config->version;
    if (entry.outcome == patch_outcome::stale) {
        body["next_step"] = "read version " + std::to_string(entry.version) +
                            " (pomeloloft config show), rebase the patch on it and submit it with a new id";
    }
    return body;
}

result<patch> read_patch(http_request& request)
{
    std::string text(max_patch_bytes + 1, '\0');
    request.stream().read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(request.stream().gcount()));
    BOOST_OUTCOME_TRY(auto read, decode_patch(text));
    read.submitted_at_ms = wall_clock_ms();
    return read;
}

void submit_patch(blackboard& board, http_request& request, http_response& response)
{
    auto submitted = read_patch(request);
    if (!submitted) {
        send_error(response, bad_request, "invalid", to_string(submitted.error()));
        return;
    }
    const patch& p = submitted.value();
    if (const auto known = find_patch_outcome(board, p.id)) {
        send_json(response, status_of(known->outcome), patch_response(board, *known));
        return;
    }
    ++board.events.log_appends;
    const auto appended = board.log.append(config_stream, encode_patch(p));
    if (!appended) {
        ++board.events.log_append_errors;
        if (appended.error().code == error_code::refused) {
            send_error(response, unavailable, "not-submitted",
                       "the log is over its rate; submit the patch again");
            return;
        }
    }
    // An append that failed, for instance by a timeout, may still have taken effect.
    if (const auto outcome = await_outcome(board, p.id)) {
        log_info("patch-decided", {{"patch", p.id},
                                   {"author", p.author},
                                   {"outcome", name_of(patch_outcome_names, outcome->outcome)},
                                   {"version", outcome->version}});
        send_json(response, status_of(outcome->outcome), patch_response(board, *outcome));
        return;
    }
    send_json(response, gateway_timeout,
              {{"outcome", "unknown"},
               {"patch", p.id},
               {"message", appended ? "the log took the patch, but it has not come back yet"
                                    : "the log did not answer: " + to_string(appended.error())},
               {"next_step", "submit the same patch again under the same id: it takes effect once at most"}});
}

result<std::uint64_t> number_parameter(const Poco::URI& uri, const std::string& name,
                                       std::uint64_t default_value)
{
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key != name) {
            continue;
        }
        std::uint64_t number = 0;
        const auto [end, parse_error] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (parse_error != std::errc{} || end != value.data() + value.size()) {
            return error{error_code::invalid, name, "must be a whole number"};
        }
        return number;
    }
    return default_value;
}

std::shared_ptr<const config_version> find_version(blackboard& board, std::uint64_t version)
{
    const auto current = board.current_view.load()->config;
    if (version == current->version) {
        return current;
    }
    const std::lock_guard lock(board.versions_mutex);
    const auto found =
        std::find_if(board.recent_versions.begin(), board.recent_versions.end(),
                     [version](const auto& candidate) { return candidate->version == version; });
    return found == board.recent_versions.end() ? nullptr : *found;
}

void show_config(blackboard& board, const Poco::URI& uri, http_response& response)
{
    const auto wanted = number_parameter(uri, "version", board.current_view.load()->config->version);
    if (!wanted) {
        send_error(response, bad_request, "invalid", to_string(wanted.error()));
        return;
    }
    const auto found = find_version(board, wanted.value());
    if (!found) {
        send_error(response, not_found, "not-found",
                   "version " + std::to_string(wanted.value()) +
                       " is not among the recent versions held here");
        return;
    }
    send_json(
        response, ok,
        {{"version", found->version}, {"hash", to_hex(found->hash)}, {"document", parse_json(found->text)}});
}

void show_audit(blackboard& board, const Poco::URI& uri, http_response& response)
{
    constexpr std::uint64_t default_entries = 50;
    const auto limit = number_parameter(uri, "limit", default_entries);
    if (!limit) {
        send_error(response, bad_request, "invalid", to_string(limit.error()));
        return;
    }
    const auto fold = board.hub.read([](const sync_state& state) { return state.config.fold; });
    json entries = json::array();
    const std::size_t skipped = fold->audit.size() - std::min<std::size_t>(fold->audit.size(), limit.value());
    for (std::size_t i = skipped; i < fold->audit.size(); ++i) {
        entries.push_back(entry_to_json(fold->audit[i]));
    }
    send_json(response, ok, {{"entries", std::move(entries)}});
}

} // namespace

void handle_operator(blackboard& board, http_request& request, http_response& response)
{
    const Poco::URI uri(request.getURI());
    const std::string& path = uri.getPath();
    const bool is_get = request.getMethod() == "GET";
    if (path == "/v1/patches" && request.getMethod() == "POST") {
        submit_patch(board, request, response);
    } else if (path == "/v1/config" && is_get) {
        show_config(board, uri, response);
    } else if (path == "/v1/audit" && is_get) {
        show_audit(board, uri, response);
    } else if (path == "/v1/status" && is_get) {
        show_status(board, response);
    } else if (path == "/v1/fleet" && is_get) {
        show_fleet(board, response);
    } else if (path == "/v1/view" && is_get) {
        show_view(board, response);
    } else if (path == "/v1/decisions" && is_get) {
        show_decisions(board, response);
    } else {
        send_error(response, not_found, "not-found", "no such path: " + path);
    }
}

} // namespace pomeloloft
