#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/sidecar/admission.hpp"
#include "pomeloloft/sidecar/attempt.hpp"
#include "pomeloloft/sidecar/choose.hpp"
#include "pomeloloft/sidecar/crash_check.hpp"
#include "pomeloloft/sidecar/run_calls.hpp"
#include "pomeloloft/sidecar/run_limit.hpp"
#include "pomeloloft/sidecar/settings.hpp"
#include "pomeloloft/sidecar/suspects.hpp"
#include "pomeloloft/sidecar/target.hpp"
#include "pomeloloft/traffic/recent_set.hpp"
#include "pomeloloft/traffic/service_time.hpp"

namespace pomeloloft::sidecar {

/// Manages the concurrency slots, the wait queue and the connections of the target that this sidecar serves.
/// Belongs to one event loop.
class target_gate {
public:
    /// @param crash_suspects requests that are refused because targets crashed while they ran them.
    target_gate(net::event_loop& io_loop, const settings& local_settings, crash_suspects& crash_suspects);

    /// Waits for a slot and sends a request to the target. May be cancelled at any time, which closes the
    /// connection to the target.
    [[nodiscard]] net::task<target_call_result> serve(net::request& sent, target_call call);

    /// Decides whether a request must be refused before its body is transferred.
    /// @param bodies_in_transfer requests whose bodies were accepted and have not arrived completely.
    /// @return the refusal, or nothing when the request could be admitted.
    [[nodiscard]] std::optional<target_call_result>
    find_early_refusal(const target_call& call, std::uint32_t bodies_in_transfer) const;

    /// Time until which a request must get its slot for its run to end by the deadline.
    [[nodiscard]] time_point latest_start_of(const target_call& call) const;

    /// The load report that is sent to other sidecars with each response.
    [[nodiscard]] load_report report() const;

    /// Sends a health check to the target.
    /// @param path path of the health check.
    /// @return the id of a healthy instance; empty for an unhealthy one.
    [[nodiscard]] net::task<result<std::string>> probe(std::string path);

    /// Tries to connect to the target.
    /// @return whether the connection was established.
    [[nodiscard]] net::task<bool> try_connect();

    /// Resets failure statistics and grants free slots after the target's state has changed.
    void handle_target_change();

    /// Called when the target has reported a new start, so that its next crash is another one.
    void handle_target_start();

    /// State of the target that this sidecar serves.
    target_record target;

    /// Called when the target becomes unreachable or reachable again.
    std::function<void(bool reachable)> on_reachable;

    /// Called when a suspect has been added or cleared.
    std::function<void()> on_suspects_changed;

    /// Called with the result of each attempt that was sent to the target, and the time it took; may be
    /// empty.
    std::function<void(const net::request& sent, const target_call_result& attempt,
                       std::chrono::microseconds taken)>
        on_attempt;

    /// Identifies this process in the names of crashes.
    std::string process;

    /// Counters of what the gate has observed.
    gate_counters counters;

    /// Whether the last connection attempt to the target succeeded.
    [[nodiscard]] bool reachable() const { return this->target_reachable; }

    /// The requests that the target runs.
    [[nodiscard]] const runs_in_progress& runs() const { return this->runs_at_target; }

    /// Records that a call of a run was refused because the called service had no room.
    /// @param route route of the run.
    void record_refused_call(const std::string& route);

    /// Closes connections to the target that exceeded their idle time, and forgets limits that have ended.
    void sweep();

private:
    struct waiter;
    class slot;

    [[nodiscard]] std::uint32_t queued_ahead_of(const slot_request& requested_slot) const;
    [[nodiscard]] gate_snapshot snapshot(const slot_request& requested_slot, const std::string& route) const;
    [[nodiscard]] bool accepts(const target_call& call, time_point now) const;
    /// Decides whether a request must be refused because the services that its run calls have no room.
    [[nodiscard]] std::optional<target_call_result> find_call_refusal(const target_call& call,
                                                                      time_point now) const;
    net::task<bool> wait_for_slot(target_call call);
    void grant_slots();
    void set_reachable(bool now_reachable);
    void release_slot();
    /// Releases a slot once the run that occupies it has ended for certain.
    net::task<void> hold_slot(time_point until);
    net::task<target_call_result> send(net::request& sent, const target_call& call);
    /// Outcome of an attempt for which no connection could be opened.
    attempt_outcome handle_connect_failure(const error& failure, time_point deadline);
    /// Counts a withheld request.
    /// @return its outcome.
    attempt_outcome withhold(dispatch_verdict verdict);
    void record_response(const std::string& route, time_point started);
    void update_failure_ratios(const target_call_result& call_result);
    [[nodiscard]] target_call_result classify_exchange(const net::request& sent,
                                                       net::exchange_result completed, bool reused) const;
    struct loss_diagnosis;
    /// Finds out whether the target has ended after a lost exchange, and records the crash.
    net::task<void> diagnose_loss(std::shared_ptr<loss_diagnosis> loss);
    net::task<target_check> check_target(time_point lost_at);
    /// Starts the diagnosis and waits briefly for its result.
    /// @return what identifies the crash; empty if none is known.
    net::task<std::string> find_crash(std::uint64_t fingerprint, time_point started, bool timed_out);
    /// @return what identifies the crash; empty if it does not count against the request.
    std::string record_crash(std::uint64_t fingerprint, time_point now);
    /// Records whether the target has survived a request.
    void record_survival(const net::request& answered, int status, time_point now);

    net::event_loop& loop;
    const settings& local_settings;
    crash_suspects& suspects;
    net::tcp::endpoint address;
    net::client_pool pool;
    std::uint32_t running = 0;
    std::list<waiter*> waiting;
    /// Since when requests wait; meaningless while none does.
    time_point queued_since;
    service_time_estimate service_time;
    /// Service times of the routes whose names are known.
    std::unordered_map<std::string, service_time_estimate> route_times;
    /// Smoothed share of requests that the target failed.
    double failure_ratio = 0;
    /// Smoothed share of requests that the target rejected.
    double rejection_ratio = 0;
    bool target_reachable = true;
    time_point next_connect_at;
    time_point last_response_at;
    target_liveness liveness;
    survived_requests survived;
    /// Ids of requests that the target has rejected or failed.
    recent_set failed_ids;
    /// Start times of the exchanges in progress.
    std::multiset<time_point> exchanges_in_progress;
    runs_in_progress runs_at_target;
    /// Limits on the runs of routes whose calls were refused.
    run_limits limits;
};

} // namespace pomeloloft::sidecar
