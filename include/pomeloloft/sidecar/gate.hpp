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
enum class try_outcome : std::uint8_t {
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

/// Names of `try_outcome` between sidecars, in logs and in metrics.
inline constexpr name_table<try_outcome, 7> try_outcome_names{{
    {try_outcome::answered, "answered"},
    {try_outcome::refused, "refused"},
    {try_outcome::unavailable, "unavailable"},
    {try_outcome::rejected, "rejected"},
    {try_outcome::lost, "lost"},
    {try_outcome::timed_out, "timed-out"},
    {try_outcome::cancelled, "cancelled"},
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
struct try_result {
    try_outcome outcome = try_outcome::unavailable;
    net::response answer;
    /// Expected wait for a slot there.
    milliseconds wait{0};
    /// What happened, for the log; empty where the outcome says it all.
    std::string_view detail;
    /// The target's connection broke while it ran the request.
    bool broke_target = false;
    /// The sidecar beside the target did not answer in time.
    bool peer_silent = false;
};

/// Owns the slots, the queue and the connections of the target beside this process. Belongs to one event
/// loop.
class target_gate {
public:
    target_gate(net::event_loop& where, const settings& own);

    /// Sends a request to the target when its turn comes. May be cancelled at any time; the target's
    /// connection is closed then.
    [[nodiscard]] net::task<try_result> serve(net::request& sent, target_call call);

    /// The refusal of a request that could not run in time, asked before its body is taken.
    /// @param arriving requests whose bodies are taken already and have not arrived.
    [[nodiscard]] std::optional<try_result> refuse_early(const target_call& call,
                                                         std::uint32_t arriving) const;

    /// What other sidecars are told with each answer.
    [[nodiscard]] load_report report() const;

    /// Asks the target for its health.
    /// @param path of the health check.
    /// @return the id of a healthy instance; empty for an unhealthy one.
    [[nodiscard]] net::task<result<std::string>> probe(std::string path);

    /// Tries to connect to the target.
    [[nodiscard]] net::task<bool> try_connect();

    /// Lets waiting requests see that the target's state has changed.
    void target_changed();

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

    [[nodiscard]] std::uint32_t ahead_of(const gate_request& asked) const;
    [[nodiscard]] gate_view view(const gate_request& asked) const;
    [[nodiscard]] bool takes(const target_call& call, time_point now) const;
    net::task<bool> wait_for_slot(target_call call);
    void grant_next();
    void set_reachable(bool now_reachable);
    void give_back();
    net::task<try_result> send(net::request& sent, const target_call& call);
    void note_shares(const try_result& ended);
    try_result judge(const net::request& sent, net::exchange_result ended, bool reused);

    net::event_loop& loop;
    const settings& own;
    net::tcp::endpoint address;
    net::client_pool pool;
    std::uint32_t running = 0;
    std::list<waiter*> waiting;
    smoothed_time service_time;
    /// Smoothed share of the requests that the target failed.
    double failed_share = 0;
    /// Smoothed share of the requests that the target turned away.
    double rejected_share = 0;
    bool target_reachable = true;
    time_point retry_target_at;
    /// When the target last answered a request.
    time_point answered_at;
};

} // namespace pomeloloft::sidecar
