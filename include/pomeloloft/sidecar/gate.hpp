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

/// What became of one try of a request.
enum class attempt_outcome : std::uint8_t {
    /// The target's whole answer, whatever its status.
    answered,
    /// Not sent to the target, for want of room or time.
    refused,
    /// Not sent: the target leaves, is not known or cannot be reached.
    unavailable,
    /// The target says that it did not run the request.
    rejected,
    /// Sent, and it is not known whether it ran.
    lost,
    /// Not answered by the deadline; it may have run.
    timed_out,
    /// Given up because its caller has left; it may have run.
    cancelled,
};

/// Names of `attempt_outcome` between sidecars, in logs and in metrics.
inline constexpr name_table<attempt_outcome, 7> attempt_outcome_names{{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::refused, "refused"},
    {attempt_outcome::unavailable, "unavailable"},
    {attempt_outcome::rejected, "rejected"},
    {attempt_outcome::lost, "lost"},
    {attempt_outcome::timed_out, "timed-out"},
    {attempt_outcome::cancelled, "cancelled"},
}};

/// One try of a request at a target.
struct target_call {
    std::string service;
    std::uint32_t priority = 0;
    time_point deadline = no_deadline;
    milliseconds max_wait{0};
    bool idempotent = false;
};

/// How a try ended.
struct target_call_result {
    attempt_outcome outcome = attempt_outcome::unavailable;
    net::response answer;
    /// Expected wait for a slot there.
    milliseconds wait{0};
    /// What happened, for the log; empty where the outcome says it all.
    std::string_view detail;
    /// The target's connection broke while it ran the request.
    bool target_disconnected = false;
    /// The sidecar beside the target did not answer in time.
    bool peer_timed_out = false;
};

/// Owns the slots, the queue and the connections of the target beside this process. Belongs to one event
/// loop.
class target_gate {
public:
    target_gate(net::event_loop& where, const settings& local_settings);

    /// Sends a request to the target when its turn comes. May be cancelled at any time; the target's
    /// connection is closed then.
    [[nodiscard]] net::task<target_call_result> serve(net::request& sent, target_call call);

    /// The refusal of a request that could not run in time, asked before its body is taken.
    /// @param arriving requests whose bodies are taken already and have not arrived.
    [[nodiscard]] std::optional<target_call_result>
    find_early_refusal(const target_call& call, std::uint32_t bodies_in_transfer) const;

    /// What other sidecars are told with each answer.
    [[nodiscard]] load_report report() const;

    /// Asks the target for its health.
    /// @param path of the health check.
    /// @return the id of a healthy instance; empty for an unhealthy one.
    [[nodiscard]] net::task<result<std::string>> probe(std::string path);

    /// Tries to connect to the target.
    [[nodiscard]] net::task<bool> try_connect();

    /// Lets waiting requests see that the target's state has changed.
    void handle_target_change();

    /// The target beside this process.
    target_record target;

    /// Called when the target could not be reached or could be again.
    std::function<void(bool reachable)> on_reachable;

    /// Whether the target could be reached when last tried.
    [[nodiscard]] bool reachable() const { return this->target_reachable; }

    /// Closes idle connections that are too old.
    void sweep() { this->pool.sweep(); }

private:
    struct waiter;
    class slot;

    [[nodiscard]] std::uint32_t queued_ahead_of(const slot_request& asked) const;
    [[nodiscard]] gate_snapshot snapshot(const slot_request& asked) const;
    [[nodiscard]] bool accepts(const target_call& call, time_point now) const;
    net::task<bool> wait_for_slot(target_call call);
    void grant_slots();
    void set_reachable(bool now_reachable);
    void release_slot();
    net::task<target_call_result> send(net::request& sent, const target_call& call);
    void update_failure_ratios(const target_call_result& ended);
    target_call_result classify_exchange(const net::request& sent, net::exchange_result ended, bool reused);

    net::event_loop& loop;
    const settings& local_settings;
    net::tcp::endpoint address;
    net::client_pool pool;
    std::uint32_t running = 0;
    std::list<waiter*> waiting;
    smoothed_time service_time;
    /// Smoothed share of the requests that the target failed.
    double failure_ratio = 0;
    /// Smoothed share of the requests that the target turned away.
    double rejection_ratio = 0;
    bool target_reachable = true;
    time_point next_connect_at;
    /// When the target last answered a request.
    time_point last_answer_at;
};

} // namespace pomeloloft::sidecar
