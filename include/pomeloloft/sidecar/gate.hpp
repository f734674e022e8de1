#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/net/client.hpp"
#include "pomeloloft/sidecar/admission.hpp"
#include "pomeloloft/sidecar/choose.hpp"
#include "pomeloloft/sidecar/settings.hpp"
#include "pomeloloft/sidecar/target.hpp"
#include "pomeloloft/traffic/smoothed_time.hpp"

namespace pomeloloft::sidecar {

/// Outcome of one attempt to run a request at a target.
enum class attempt_outcome : std::uint8_t {
    /// The target's complete response was received, whatever its status.
    answered,
    /// Not sent to the target: no slot was free in time, or the deadline had passed.
    refused,
    /// Not sent: the target is shutting down, unknown or unreachable.
    unavailable,
    /// The target reported that it did not run the request.
    rejected,
    /// Sent, but no valid response was received; whether the request ran is unknown.
    lost,
    /// No response by the deadline; the request may have run.
    timed_out,
    /// Cancelled because the caller closed its connection; the request may have run.
    cancelled,
};

/// Names of `attempt_outcome` in headers between sidecars, in logs and in metrics.
inline constexpr name_table<attempt_outcome, 7> attempt_outcome_names{{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::refused, "refused"},
    {attempt_outcome::unavailable, "unavailable"},
    {attempt_outcome::rejected, "rejected"},
    {attempt_outcome::lost, "lost"},
    {attempt_outcome::timed_out, "timed-out"},
    {attempt_outcome::cancelled, "cancelled"},
}};

/// Parameters of one attempt to run a request at a target.
struct target_call {
    std::string service;
    std::uint32_t priority = 0;
    time_point deadline = no_deadline;
    milliseconds max_wait{0};
    bool idempotent = false;
};

/// Result of one attempt to run a request at a target.
struct target_call_result {
    attempt_outcome outcome = attempt_outcome::unavailable;
    net::response response;
    /// Expected wait for a slot at the endpoint.
    milliseconds wait{0};
    /// Detail for the log; empty where the outcome is sufficient.
    std::string_view detail;
    /// The connection to the target was lost while it ran the request.
    bool target_disconnected = false;
    /// The sidecar of the target did not respond in time.
    bool peer_timed_out = false;
};

/// Manages the concurrency slots, the wait queue and the connections of the target that this sidecar serves.
/// Belongs to one event loop.
class target_gate {
public:
    target_gate(net::event_loop& io_loop, const settings& local_settings);

    /// Waits for a slot and sends a request to the target. May be cancelled at any time, which closes the
    /// connection to the target.
    [[nodiscard]] net::task<target_call_result> serve(net::request& sent, target_call call);

    /// Decides whether a request must be refused before its body is transferred.
    /// @param bodies_in_transfer requests whose bodies were accepted and have not arrived completely.
    /// @return the refusal, or nothing when the request could be admitted.
    [[nodiscard]] std::optional<target_call_result>
    find_early_refusal(const target_call& call, std::uint32_t bodies_in_transfer) const;

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

    /// State of the target that this sidecar serves.
    target_record target;

    /// Called when the target becomes unreachable or reachable again.
    std::function<void(bool reachable)> on_reachable;

    /// Whether the last connection attempt to the target succeeded.
    [[nodiscard]] bool reachable() const { return this->target_reachable; }

    /// Closes connections to the target that exceeded their idle time.
    void sweep() { this->pool.sweep(); }

private:
    struct waiter;
    class slot;

    [[nodiscard]] std::uint32_t queued_ahead_of(const slot_request& requested_slot) const;
    [[nodiscard]] gate_snapshot snapshot(const slot_request& requested_slot) const;
    [[nodiscard]] bool accepts(const target_call& call, time_point now) const;
    net::task<bool> wait_for_slot(target_call call);
    void grant_slots();
    void set_reachable(bool now_reachable);
    void release_slot();
    net::task<target_call_result> send(net::request& sent, const target_call& call);
    void update_failure_ratios(const target_call_result& call_result);
    target_call_result classify_exchange(const net::request& sent, net::exchange_result completed,
                                         bool reused);

    net::event_loop& loop;
    const settings& local_settings;
    net::tcp::endpoint address;
    net::client_pool pool;
    std::uint32_t running = 0;
    std::list<waiter*> waiting;
    smoothed_time service_time;
    /// Smoothed share of requests that the target failed.
    double failure_ratio = 0;
    /// Smoothed share of requests that the target rejected.
    double rejection_ratio = 0;
    bool target_reachable = true;
    time_point next_connect_at;
    time_point last_response_at;
};

} // namespace pomeloloft::sidecar
