#include <chrono>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/proxy/exchange.hpp"
#include "pomeloloft/proxy/serve.hpp"
#include "pomeloloft/proxy/target_probe.hpp"
#include "pomeloloft/traffic/crash_evidence.hpp"

namespace pomeloloft {
namespace {

attempt_result not_run(refusal_reason reason)
{
    return {run_state::not_run, reason, false};
}

/// The local target, if it serves `service`, is reachable and its lease has not expired.
std::optional<announced_target> live_target(blackboard& board, const std::string& service)
{
    const std::lock_guard lock(board.target_mutex);
    if (!board.target || board.target->service != service || board.target->unreachable ||
        board.target->lease_deadline <= steady_clock::now()) {
        return std::nullopt;
    }
    return board.target;
}

refusal_reason reason_of(acquire_result acquired)
{
    switch (acquired) {
    case acquire_result::refused_deadline:
        return refusal_reason::deadline;
    case acquire_result::closed:
        return refusal_reason::draining;
    case acquire_result::refused_full:
    case acquire_result::granted:
        break;
    }
    return refusal_reason::overloaded;
}

void mark_unreachable(blackboard& board, const std::string& address)
{
    {
        const std::lock_guard lock(board.target_mutex);
        if (!board.target || board.target->address != address || board.target->unreachable) {
            return;
        }
        board.target->unreachable = true;
    }
    log_warning("target-unreachable", {{"address", address}});
    notify_change(board);
}

void report_crash(blackboard& board, std::uint64_t fingerprint)
{
    const std::uint64_t crash_number = ++board.requests.target_crashes;
    const std::string crash_id =
        board.settings.node + "#" + std::to_string(board.incarnation) + "." + std::to_string(crash_number);
    board.hub.update([&](sync_state& state) {
        return add_crash_report(state.quarantine, fingerprint, crash_id,
                                steady_clock::now() + crash_report_ttl);
    });
    {
        const std::lock_guard lock(board.change_mutex);
        board.quarantine_dirty = true;
    }
    notify_change(board);
}

/// Checks after a lost connection whether the target has crashed, that is, its process no longer runs. A
/// crash counts against the request, unless the target has run an identical one to a successful end since its
/// start.
/// @return whether the target crashed.
bool diagnose_lost_connection(blackboard& board, const announced_target& target, std::uint64_t fingerprint)
{
    if (is_target_running(board.target_connections, target.address)) {
        return false;
    }
    mark_unreachable(board, target.address);
    const bool blamed = !board.survived.contains(fingerprint, board.target_lives, steady_clock::now());
    log_warning(
        "target-crashed",
        {{"address", target.address}, {"fingerprint", fingerprint}, {"blamed", blamed ? "yes" : "no"}});
    if (blamed) {
        report_crash(board, fingerprint);
    }
    return true;
}

/// Records the response time of the target. Status 429 and 5xx are excluded from the average: a target that
/// sheds load responds quickly, which must not make it appear fast.
void record_response_time(blackboard& board, int status, steady_clock::duration elapsed)
{
    constexpr int too_many_requests = 429;
    constexpr int server_errors = 500;
    constexpr int unavailable = 503;
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
    const bool shed = status == unavailable || status == too_many_requests;
    if (status < server_errors && status != too_many_requests) {
        board.target_response_time.add(micros);
    }
    if (board.uses_adaptive_limit.load(std::memory_order_relaxed)) {
        const std::uint32_t running = board.target_admission.view().running;
        board.target_admission.set_slots(
            board.adaptive_limit.add_sample({micros, shed, running}, steady_clock::now()));
    }
}

attempt_result forward_to_target(blackboard& board, const announced_target& target, const request_head& head,
                                 request_body& body, const target_attempt& attempt, response_writer& writer)
{
    exchange_request request;
    request.address = target.address;
    request.head = &head;
    request.body = &body;
    request.deadline = head.deadline;
    request.watch_caller = attempt.watch_caller;
    request.is_quarantined = [&] { return is_quarantined(board, head, body); };
    request.extra_headers = {{header::retried, "1"}};
    if (!head.key.empty()) {
        request.extra_headers.emplace_back(header::key, head.key);
    }
    // The rest of a longer body is read from the caller, whose sending time would be included.
    const bool timed = body.complete;
    const time_point sent_at = steady_clock::now();
    exchange ex = send_request(board.target_connections, request);
    board.requests.target_runs += ex.outcome == exchange_outcome::withheld ? 0 : 1;
    switch (ex.outcome) {
    case exchange_outcome::responded:
        break;
    case exchange_outcome::unreachable:
        mark_unreachable(board, target.address);
        return not_run(refusal_reason::target_unreachable);
    case exchange_outcome::lost:
        return {run_state::unknown,
                diagnose_lost_connection(board, target, fingerprint_of(head, body))
                    ? refusal_reason::target_crashed
                    : refusal_reason::target_lost,
                false};
    case exchange_outcome::deadline:
        return {run_state::unknown, refusal_reason::deadline, false};
    case exchange_outcome::abandoned:
    case exchange_outcome::caller_gone:
        return {run_state::unknown, refusal_reason::caller_gone, false};
    case exchange_outcome::body_truncated:
        return {run_state::unknown, refusal_reason::bad_request, false};
    case exchange_outcome::withheld:
        return result_of(ex.verdict);
    }
    if (timed) {
        record_response_time(board, ex.response.getStatus(), steady_clock::now() - sent_at);
    }
    writer.report = own_report(board);
    writer.begin(response_head_from(ex, head.method), run_state::ran,
                 board.current_view.load()->config->version);
    if (relay_body(ex, board.target_connections, target.address, writer) == relay_outcome::truncated) {
        ++board.requests.responses_truncated;
    } else if (shows_survival(static_cast<int>(ex.response.getStatus()))) {
        board.survived.add(fingerprint_of(head, body), board.target_lives, steady_clock::now());
    }
    return {run_state::ran, refusal_reason::target_lost, true};
}

/// Tracks an attempt in the registry. On destruction, marks it as finished and releases its slot, if granted.
class attempt_scope {
public:
    attempt_scope(blackboard& owner, std::string attempt_id) : board(owner), id(std::move(attempt_id)) {}
    attempt_scope(const attempt_scope&) = delete;
    attempt_scope& operator=(const attempt_scope&) = delete;

    ~attempt_scope()
    {
        if (this->arrived) {
            this->board.attempts.finish(this->id, this->begun);
        }
        if (this->started_at) {
            this->board.target_admission.release_slot(remaining(steady_clock::now(), *this->started_at));
        }
    }

    /// Registers the attempt.
    /// @return false when the attempt must not run.
    bool record_arrival()
    {
        this->arrived = !this->id.empty() && this->board.attempts.record_arrival(this->id);
        return this->id.empty() || this->arrived;
    }

    void slot_granted() { this->started_at = steady_clock::now(); }

    /// Marks the attempt as running.
    /// @return false when the attempt was fenced while it waited for its slot.
    bool begin()
    {
        this->begun = this->id.empty() || this->board.attempts.begin(this->id);
        return this->begun;
    }

private:
    blackboard& board;
    std::string id;
    std::optional<time_point> started_at;
    bool arrived = false;
    bool begun = false;
};

} // namespace

bool is_quarantined(blackboard& board, const request_head& head, const request_body& body)
{
    if (!board.has_quarantine.load(std::memory_order_relaxed)) {
        return false;
    }
    return board.quarantined.load()->contains(fingerprint_of(head, body));
}

attempt_result result_of(dispatch_verdict withheld)
{
    switch (withheld) {
    case dispatch_verdict::caller_gone:
        return not_run(refusal_reason::caller_gone);
    case dispatch_verdict::quarantined:
        return not_run(refusal_reason::quarantined);
    case dispatch_verdict::expired:
    case dispatch_verdict::send:
        break;
    }
    return not_run(refusal_reason::deadline);
}

attempt_result serve_on_target(blackboard& board, const request_head& head, request_body& body,
                               const target_attempt& attempt, response_writer& writer)
{
    writer.report = own_report(board);
    attempt_scope scope(board, attempt.id);
    if (!scope.record_arrival()) {
        return not_run(refusal_reason::fenced);
    }
    if (board.stopping) {
        return not_run(refusal_reason::draining);
    }
    if (may_be_stale(board, steady_clock::now())) {
        return not_run(refusal_reason::deadline);
    }
    if (!live_target(board, attempt.service)) {
        return not_run(refusal_reason::no_endpoint);
    }
    const acquire_result acquired = board.target_admission.acquire_slot({attempt.priority, head.deadline});
    if (acquired != acquire_result::granted) {
        return not_run(reason_of(acquired));
    }
    scope.slot_granted();
    const auto target = live_target(board, attempt.service);
    // While the request waited for its slot, its deadline may have passed, the target may have gone away, or
    // this process may have been paused.
    if (!target || head.deadline <= steady_clock::now() || may_be_stale(board, steady_clock::now())) {
        return not_run(target ? refusal_reason::deadline : refusal_reason::no_endpoint);
    }
    if (!scope.begin()) {
        return not_run(refusal_reason::fenced);
    }
    return forward_to_target(board, *target, head, body, attempt, writer);
}

} // namespace pomeloloft
