#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/net/client.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/rollout_steps.hpp"
#include "pomeloloft/sidecar/rollout_store.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// Counters of this process's part in roll-outs.
struct rollout_counters {
    std::uint64_t reports_sent = 0;
    std::uint64_t reports_failed = 0;
    /// Decisions written to the store.
    std::uint64_t decisions = 0;
    /// Decisions that the store refused because another node had written.
    std::uint64_t decisions_outdated = 0;
    std::uint64_t decisions_failed = 0;
    /// Versions found bad.
    std::uint64_t halts = 0;
};

/// Takes part in roll-outs: counts the answers of the own target, reports them to the node that decides, and
/// decides where the reports of a service's targets arrive. Belongs to one event loop.
class rollout_controller {
public:
    /// @param peers connections to the other sidecars.
    rollout_controller(net::event_loop& io_loop, sidecar_state& process_state, rollout_store& platform_store,
                       const target_gate& local_gate, net::client_pool& peers);

    /// Reads orders, reports and decides at intervals.
    [[nodiscard]] net::task<void> run();

    /// Handles the report of another sidecar.
    [[nodiscard]] net::reply serve(const net::request& received);

    /// Counts the result of an attempt at the own target.
    /// @param taken time between the request and the response.
    void record_attempt(const net::request& sent, const target_call_result& attempt,
                        std::chrono::microseconds taken);

    /// Called when the other sidecars must learn a changed state.
    std::function<void()> on_changed;

    rollout_counters counters;

private:
    /// The roll-out of the own target's service; null if none runs.
    [[nodiscard]] const rollout* own_rollout() const;
    [[nodiscard]] bool may_decide(time_point now) const;
    [[nodiscard]] rollout_report make_report(const rollout& current) const;
    void read_orders();
    void merge_state(const rollout& incoming);
    net::task<void> send_report();
    void decide(const std::string& service, const rollout_evidence& known);
    void halt(const rollout& current, const rollout_verdict& found);
    net::task<void> write_step(rollout next);
    void count_failed_write(const std::string& service, const error& failure);

    net::event_loop& loop;
    sidecar_state& shared;
    rollout_store& store;
    const target_gate& gate;
    net::client_pool& pool;
    /// Counts of the own target, and the order they belong to.
    std::uint64_t counted_order = 0;
    /// Version of the target whose answers are counted.
    std::string counted_version;
    route_counts counted;
    /// Evidence that this node has received, by service.
    std::map<std::string, rollout_evidence> evidence;
    /// Whether a decision about the service is being written.
    std::map<std::string, bool> writing;
    time_point next_report_at;
    bool reporting = false;
    /// Position of the node to which reports go among those that may decide.
    std::size_t decider_index = 0;
    std::string last_decider;
    /// Time before which this node leaves decisions to others because the store did not accept one.
    time_point decides_from;
    log_rate_limiter failure_log_limiter;
};

} // namespace pomeloloft::sidecar
