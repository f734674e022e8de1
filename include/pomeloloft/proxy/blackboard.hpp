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
#include "pomeloloft/http/connection_account.hpp"
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
#include "pomeloloft/traffic/crash_evidence.hpp"
#include "pomeloloft/traffic/decision_recorder.hpp"
#include "pomeloloft/traffic/idempotency.hpp"
#include "pomeloloft/traffic/outcome.hpp"
#include "pomeloloft/traffic/retry.hpp"
#include "pomeloloft/traffic/smoothed_time.hpp"

namespace pomeloloft {

/// The local target, as it announced itself.
struct announced_target {
    std::string service;
    std::string address;
    /// When the announcement expires unless it is renewed.
    time_point lease_deadline;
    bool draining = false;
    /// A connection to the target has failed since its last announcement.
    bool unreachable = false;
};

/// Counters of the request path.
struct request_counters {
    std::atomic<std::uint64_t> received{0};
    std::array<std::atomic<std::uint64_t>, run_state_names.size()> by_outcome{};
    std::array<std::atomic<std::uint64_t>, refusal_reason_names.size()> refused{};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> retries_over_budget{0};
    std::atomic<std::uint64_t> target_runs{0};
    /// Queries for the state of attempts that got no response, and how many of these had not run.
    std::atomic<std::uint64_t> inquiries{0};
    std::atomic<std::uint64_t> inquiries_not_run{0};
    std::atomic<std::uint64_t> responses_truncated{0};
    std::atomic<std::uint64_t> keys_issued{0};
    std::atomic<std::uint64_t> keys_replayed{0};
    std::atomic<std::uint64_t> target_crashes{0};
};

/// Counters of log access, views, membership and pauses of the process.
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

/// Fingerprints of requests that every proxy refuses, because they crashed targets.
using quarantine_set = std::unordered_set<std::uint64_t>;

/// State shared by the control thread, the log thread and the request path of one proxy (the blackboard
/// pattern). Fields that no mutex here guards are constant, thread-safe, atomic or replaced by
/// read-copy-update.
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
    /// New requests are refused; requests in progress finish.
    std::atomic<bool> stopping{false};
    /// No request is in progress any more; this node announces that it leaves the fleet.
    std::atomic<bool> drained{false};
    /// Tells the control and log threads to end.
    std::atomic<bool> stopped{false};
    /// This node reads the log, as an assigned or acting reader; see `link_plan`.
    std::atomic<bool> is_reader{false};
    /// This node is one of the readers of its data centre and announces itself in the log.
    std::atomic<bool> is_assigned_reader{false};
    /// This node has joined the fleet, through another node or, where there is none, through the log.
    std::atomic<bool> joined{false};
    /// The last request to the log failed.
    std::atomic<bool> log_unavailable{false};
    /// End of the configuration stream (the next offset to be written), as this process first read it from
    /// the log; valid once `log_end_known`.
    std::atomic<std::uint64_t> log_end_offset{0};
    std::atomic<bool> log_end_known{false};

    /// Time of the last step of the control thread, and the time until which requests are refused after a
    /// pause of the process, because they may be stale; both in ticks of the steady clock.
    std::atomic<time_point::rep> last_tick{0};
    std::atomic<time_point::rep> refuse_until{0};

    std::mutex target_mutex;
    std::optional<announced_target> target;

    std::mutex change_mutex;
    std::condition_variable changed;
    /// Whether the state has changed since the control thread last processed it; guarded by `change_mutex`.
    bool members_dirty = true;
    bool config_dirty = true;
    bool quarantine_dirty = false;

    std::mutex versions_mutex;
    std::deque<std::shared_ptr<const config_version>> recent_versions;
    /// When the current version became active here, in Unix milliseconds.
    std::atomic<std::int64_t> in_force_since_ms{0};

    admission_controller target_admission;
    /// What the process holds for clients; shared by the listeners for requests.
    std::shared_ptr<connection_account> clients;
    decision_recorder decisions;
    /// Estimates the slots of the local target, if its service declares an adaptive limit.
    concurrency_limit adaptive_limit;
    std::atomic<bool> uses_adaptive_limit{false};
    /// Smoothed response time of the local target, over requests whose body was in memory when they were
    /// sent.
    smoothed_time target_response_time;
    attempt_registry attempts;
    key_registry keys;
    endpoint_choice_options endpoint_options;
    retry_budget retry_tokens;
    /// Requests that the local target has run to a successful end.
    survived_requests survived;
    /// Number of times that the local target was announced again after it had become unreachable.
    std::atomic<std::uint64_t> target_lives{0};
    connection_pool peer_connections;
    connection_pool target_connections;

    request_counters requests;
    control_events events;
};

/// Number of configuration versions available to `config show --version`.
inline constexpr std::size_t max_recent_versions = 32;

/// The address at which other proxies send requests to this one.
[[nodiscard]] const std::string& advertised_peer(const proxy_settings& settings);

/// The address at which other proxies open control links to this one.
[[nodiscard]] const std::string& advertised_control(const proxy_settings& settings);

/// Wakes the control thread.
void notify_change(blackboard& board);

/// Whether this process was paused so long that requests accepted before the pause may be stale.
[[nodiscard]] bool may_be_stale(const blackboard& board, time_point now);

/// Applies the limits that are declared for the service of the local target to `target_admission`.
/// @return whether the service is declared.
bool apply_limits(blackboard& board, const std::string& service);

/// The load and response time of the local target that this proxy reports to other proxies.
[[nodiscard]] endpoint_report own_report(const blackboard& board);

} // namespace pomeloloft
