#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/rcu_cell.hpp"
#include "pomeloloft/http/connection_pool.hpp"
#include "pomeloloft/log/log_client.hpp"
#include "pomeloloft/mesh/view.hpp"
#include "pomeloloft/proxy/issuer_directory.hpp"
#include "pomeloloft/proxy/settings.hpp"
#include "pomeloloft/sync/link_hub.hpp"
#include "pomeloloft/traffic/admission.hpp"
#include "pomeloloft/traffic/attempt_registry.hpp"
#include "pomeloloft/traffic/choose.hpp"
#include "pomeloloft/traffic/concurrency_limit.hpp"
#include "pomeloloft/traffic/decision_recorder.hpp"
#include "pomeloloft/traffic/idempotency.hpp"
#include "pomeloloft/traffic/outcome.hpp"
#include "pomeloloft/traffic/recent_set.hpp"
#include "pomeloloft/traffic/retry.hpp"
#include "pomeloloft/traffic/smoothed_time.hpp"

namespace pomeloloft {

/// The target beside this proxy, as it announced itself.
struct announced_target {
    std::string service;
    std::string address;
    /// Until when the announcement holds.
    time_point lease_deadline;
    bool draining = false;
    /// Found unreachable since the last announcement.
    bool unreachable = false;
};

/// Counters of requests.
struct request_counters {
    std::atomic<std::uint64_t> received{0};
    std::array<std::atomic<std::uint64_t>, run_state_names.size()> by_outcome{};
    std::array<std::atomic<std::uint64_t>, refusal_reason_names.size()> refused{};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> retries_over_budget{0};
    std::atomic<std::uint64_t> target_runs{0};
    std::atomic<std::uint64_t> inquiries{0};
    std::atomic<std::uint64_t> inquiries_not_run{0};
    std::atomic<std::uint64_t> responses_truncated{0};
    std::atomic<std::uint64_t> keys_issued{0};
    std::atomic<std::uint64_t> keys_replayed{0};
    std::atomic<std::uint64_t> target_crashes{0};
};

/// Counters of the control side.
struct control_events {
    std::atomic<std::uint64_t> log_reads{0};
    std::atomic<std::uint64_t> log_read_errors{0};
    std::atomic<std::uint64_t> log_appends{0};
    std::atomic<std::uint64_t> log_append_errors{0};
    std::atomic<std::uint64_t> snapshots_written{0};
    std::atomic<std::uint64_t> views_built{0};
    std::atomic<std::uint64_t> views_rejected{0};
    std::atomic<std::uint64_t> members_declared_gone{0};
    std::atomic<std::uint64_t> pauses_detected{0};
};

/// Fingerprints of requests refused everywhere.
using quarantine_set = std::unordered_set<std::uint64_t>;

/// What the controllers and the request path of one proxy share. Each field has one writing controller; what
/// the request path reads is atomic or swapped by read-copy-update.
struct blackboard {
    blackboard(proxy_settings s, log_client l, std::uint64_t own_incarnation);

    proxy_settings settings;
    log_client log;
    std::uint64_t incarnation;
    link_hub hub;

    rcu_cell<view> current_view;
    issuer_directory issuers;
    rcu_cell<quarantine_set> quarantined;
    std::atomic<bool> has_quarantine{false};

    std::atomic<bool> ready{false};
    /// No new requests; those in progress finish.
    std::atomic<bool> stopping{false};
    /// Requests are over and the fleet is told so.
    std::atomic<bool> drained{false};
    /// All threads end.
    std::atomic<bool> stopped{false};
    /// This node reads the log, by duty or for want of a parent.
    std::atomic<bool> is_reader{false};
    /// Reading is this node's duty, which it tells others through the log.
    std::atomic<bool> is_assigned_reader{false};
    /// Joined through another node, or alone for good.
    std::atomic<bool> joined{false};
    /// The log failed to answer last time this node asked.
    std::atomic<bool> log_unavailable{false};
    /// The end of the configuration stream as this process has read it itself, once it has.
    std::atomic<std::uint64_t> log_end_offset{0};
    std::atomic<bool> log_end_known{false};

    /// Last step of the control thread, and until when work that may have waited through a pause is refused,
    /// in steady clock ticks.
    std::atomic<time_point::rep> last_tick{0};
    std::atomic<time_point::rep> refuse_until{0};

    std::mutex target_mutex;
    std::optional<announced_target> target;

    std::mutex change_mutex;
    std::condition_variable changed;
    bool members_dirty = true;
    bool config_dirty = true;
    bool quarantine_dirty = false;

    std::mutex versions_mutex;
    std::deque<std::shared_ptr<const config_version>> recent_versions;
    /// When the version in force came into force here, by the wall clock.
    std::atomic<std::int64_t> in_force_since_ms{0};

    admission_gate gate;
    decision_recorder decisions;
    /// The slots of the target beside, where they are to be found out.
    concurrency_limit adaptive_limit;
    std::atomic<bool> uses_adaptive_limit{false};
    /// Time the target beside takes to answer requests whose bodies were at hand.
    smoothed_time answer_time;
    attempt_registry attempts;
    key_registry keys;
    choose_options endpoint_selection;
    retry_budget retry_tokens;
    recent_set recent_successes;
    connection_pool peer_connections;
    connection_pool target_connections;

    request_counters requests;
    control_events events;
};

/// Versions kept for `config show --version`.
inline constexpr std::size_t max_recent_versions = 32;

/// The address other nodes are told for requests.
[[nodiscard]] const std::string& advertised_peer(const proxy_settings& settings);

/// The address other nodes are told for links.
[[nodiscard]] const std::string& advertised_control(const proxy_settings& settings);

/// Wakes the control thread.
void notify_change(blackboard& board);

/// Whether this process was stopped for so long that work taken in before may be stale.
[[nodiscard]] bool may_be_stale(const blackboard& board, time_point now);

/// Gives the gate the limits that are declared for the service of the target beside.
/// @return whether the service is declared.
bool apply_limits(blackboard& board, const std::string& service);

/// What this proxy tells of the target beside.
[[nodiscard]] endpoint_report own_report(const blackboard& board);

} // namespace pomeloloft
