#include "pomeloloft/sidecar/daemon.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/client_limits.hpp"
#include "pomeloloft/sidecar/departure_record.hpp"
#include "pomeloloft/sidecar/member_record.hpp"
#include "pomeloloft/sidecar/metrics.hpp"
#include "pomeloloft/sidecar/quarantine_record.hpp"
#include "pomeloloft/sidecar/random.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr std::string_view member_prefix = "member/";
constexpr std::string_view quarantine_prefix = "quarantine/";

constexpr milliseconds register_timeout{1500};
constexpr milliseconds min_retry_pause{100};
constexpr milliseconds max_retry_pause{1000};
/// Time after which a target is accepted by its health check alone if neither the store nor a peer responds.
constexpr milliseconds join_timeout{3000};
/// Time within which a peer responds if it is reachable at all.
constexpr milliseconds peer_sync_timeout{350};
constexpr milliseconds peer_sync_poll{5};
/// Time after which a connection attempt to a peer is abandoned.
constexpr milliseconds peer_connect_timeout{300};
/// Longest report of a target that is read; real ones have a few hundred bytes.
constexpr std::uint64_t max_report_bytes = 64U << 10U;
/// Interval at which idle connections and expired observations are removed.
constexpr milliseconds cleanup_interval{1000};
constexpr milliseconds quarantine_check_interval{300};
/// Time after which a record of quarantined requests that was not stored is written again.
constexpr milliseconds quarantine_retry_interval{3000};
/// Time until readiness checks have taken this process out of its callers' rotation: they run every second,
/// and two must fail.
constexpr milliseconds readiness_detection_time{2200};
/// Time until other sidecars know that this one is shutting down.
constexpr milliseconds departure_propagation_time{500};
/// Time before SIGKILL at which requests in flight are abandoned.
constexpr milliseconds kill_margin{400};
/// Time in which the responses to requests that have reached their deadline are sent.
constexpr milliseconds final_response_time{200};
constexpr milliseconds stop_poll{50};

net::client_options peer_pool_options()
{
    net::client_options out;
    out.connect_timeout = peer_connect_timeout;
    return out;
}

} // namespace

sidecar_daemon::sidecar_daemon(net::event_loop& io_loop, settings local_settings,
                               std::unique_ptr<shared_store> platform_store, config_decoder decode)
    : loop(io_loop), shared{std::move(local_settings)}, store(std::move(platform_store)),
      gate(io_loop, this->shared.local_settings, this->shared.suspects),
      peer_pool(io_loop, peer_pool_options()),
      feed(io_loop, this->shared, *this->store, std::move(decode), this->peer_pool),
      members(io_loop, this->shared, this->feed, this->peer_pool),
      quotas(io_loop, this->shared, this->peer_pool),
      peers(io_loop, this->shared, this->gate, this->feed, this->members, this->quotas, this->peer_pool),
      router(this->shared, this->gate, this->peers, this->quotas), started_at(steady_clock::now())
{
    member& self = this->shared.self;
    self.node = this->shared.local_settings.node;
    self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    self.data_centre = this->shared.local_settings.data_centre;
    self.service = this->shared.local_settings.service;
    self.peer_address = this->shared.local_settings.peer_address;
    self.link_mbps = this->shared.local_settings.link_mbps;
    merge(this->shared.members, self, 0, this->started_at);
}

result<void> sidecar_daemon::start(net::handler control_handler, net::handler ready_handler)
{
    const settings& local_settings = this->shared.local_settings;
    BOOST_OUTCOME_TRY(this->ready, net::server::start(this->loop, local_settings.ready_address,
                                                      "ready address", std::move(ready_handler)));
    BOOST_OUTCOME_TRY(this->control, net::server::start(this->loop, local_settings.control_address,
                                                        "control address", std::move(control_handler)));
    this->control->limits.max_body_bytes = max_report_bytes;
    BOOST_OUTCOME_TRY(this->outbound,
                      net::server::start(this->loop, local_settings.outbound_address, "outbound address",
                                         [this](net::request& r, net::client_watch& caller) {
                                             return this->router.handle(r, caller);
                                         }));
    this->outbound->may_overlap = [this](const net::request& received) {
        return this->router.may_overlap(received);
    };
    BOOST_OUTCOME_TRY(this->inbound,
                      net::server::start(this->loop, local_settings.peer_address, "peer address",
                                         [this](net::request& r, net::client_watch& sender) {
                                             return this->peers.handle(r, sender);
                                         }));
    this->inbound->on_expect_continue = [this](net::request& header, std::uint64_t body_bytes) {
        return this->peers.screen_body(header, body_bytes);
    };
    this->clients = limit_clients(this->loop, local_settings, *this->outbound, *this->inbound);
    this->feed.on_config_adopted = [this] {
        this->apply_limits();
        if (this->shared.self.state == member_state::idle) {
            this->publish();
        }
    };
    this->feed.on_store_reachability = [this] { this->publish(); };
    this->members.on_earlier_incarnation = [this](const member& earlier) {
        this->handle_earlier_incarnation(earlier);
    };
    this->gate.process = this->shared.self.node + '#' + std::to_string(this->shared.self.incarnation);
    this->gate.on_suspects_changed = [this] { this->members.announce_suspects(); };
    this->gate.on_reachable = [this](bool reachable) {
        log_info("target-reachable", {{"reachable", reachable ? "yes" : "no"}});
        this->publish();
        if (!reachable && !this->reconnecting) {
            this->reconnecting = true;
            net::spawn(this->loop, this->reconnect_target(), "reconnect-target");
        }
    };
    const auto keep_running = [this](const char* name, std::function<net::task<void>()> start) {
        net::keep_running(this->loop, std::move(start), name);
    };
    keep_running("follow-config", [this] { return this->feed.follow_store(); });
    keep_running("confirm-config", [this] { return this->feed.announce_version(); });
    keep_running("join", [this] { return this->join(); });
    keep_running("find-target", [this] { return this->discover_target(); });
    keep_running("keep-in-sync", [this] { return this->members.keep_in_sync(); });
    keep_running("remove-expired", [this] { return this->remove_expired(); });
    keep_running("store-quarantine", [this] { return this->store_quarantine(); });
    this->start_rollouts();
    return success();
}

bool sidecar_daemon::is_ready() const
{
    return !this->shared.stopping && this->shared.config.load() != nullptr && this->shared.joined;
}

std::string sidecar_daemon::metrics() const
{
    return metrics_text(this->shared, this->gate, this->clients.get(), this->outbound->pipelining,
                        this->rollouts ? &this->rollouts->counters : nullptr);
}

bool sidecar_daemon::knows_service(const std::string& name) const
{
    const auto table = routes_of(this->shared);
    return name == this->shared.local_settings.service || (table && table->services.contains(name));
}

void sidecar_daemon::apply_limits()
{
    const auto table = routes_of(this->shared);
    net::server_limits& limits = this->outbound->limits;
    limits.max_header_bytes = table->limits.max_header_bytes;
    limits.max_body_bytes = table->limits.max_body_bytes;
    limits.header_timeout = table->limits.header_timeout;
    limits.idle_timeout = table->limits.idle_timeout;
    // Requests between sidecars carry a few more headers, on connections that the sending sidecar closes
    // first.
    constexpr std::uint32_t added_header_bytes = 4096;
    this->inbound->limits = limits;
    this->inbound->limits.max_header_bytes += added_header_bytes;
    this->inbound->limits.idle_timeout = std::max(limits.idle_timeout, milliseconds{15'000});
}

net::task<void> sidecar_daemon::join()
{
    milliseconds pause = min_retry_pause;
    for (;;) {
        const bool registered = co_await this->register_self();
        if (registered || this->shared.stopping) {
            break;
        }
        // While the store does not respond, a response from a peer that knows this node is sufficient.
        this->shared.joined = this->shared.joined || this->members.has_synced_with_peer();
        this->publish();
        co_await net::sleep_for(pause);
        pause = std::min(pause * 2, max_retry_pause);
    }
    // Peers respond to the first message of this process with the entry of its predecessor.
    const time_point start_time = steady_clock::now();
    const auto must_wait = [this, start_time] {
        return !this->members.has_caught_up() && this->members.announcements_in_progress() > 0 &&
               steady_clock::now() - start_time < peer_sync_timeout;
    };
    while (must_wait()) {
        co_await net::sleep_for(peer_sync_poll);
    }
    this->shared.joined = true;
    this->quotas.update_members(steady_clock::now());
    this->publish();
}

net::task<bool> sidecar_daemon::register_self()
{
    const time_point deadline = steady_clock::now() + register_timeout;
    std::vector<store_record> records;
    records.push_back(
        {std::string(member_prefix) + this->shared.local_settings.node, encode_member(this->shared.self)});
    const auto written = co_await this->store->put(std::move(records), deadline);
    if (!written) {
        log_warning("register-failed", {{"reason", to_string(written.error())}});
        co_return false;
    }
    const auto known = co_await this->store->read_all(deadline);
    if (!known) {
        log_warning("register-failed", {{"reason", to_string(known.error())}});
        co_return false;
    }
    for (const store_record& record : known.value()) {
        this->apply_record(record);
    }
    log_info("joined", {{"members", static_cast<std::uint64_t>(this->shared.members.entries.size())}});
    this->publish();
    co_return true;
}

void sidecar_daemon::apply_record(const store_record& record)
{
    if (!record.value) {
        return;
    }
    if (record.key == departure_key(this->shared.local_settings.node)) {
        const auto departed = decode_departures(*record.value, {steady_clock::now(), wall_clock_ms()});
        if (departed) {
            for (const departure& left : *departed) {
                record_departure(this->gate.target, left);
            }
            this->persisted_departures = *departed;
        }
        return;
    }
    if (record.key.starts_with(quarantine_prefix)) {
        const auto quarantined = decode_quarantine(*record.value, wall_clock_ms());
        if (!quarantined) {
            log_warning("quarantine-ignored",
                        {{"key", record.key}, {"reason", to_string(quarantined.error())}});
            return;
        }
        for (const crash_observation& observation : quarantined.value()) {
            this->shared.suspects.add(observation, steady_clock::now());
        }
        return;
    }
    if (!record.key.starts_with(member_prefix)) {
        return;
    }
    auto decoded = decode_member(*record.value);
    if (!decoded) {
        log_warning("member-ignored", {{"key", record.key}, {"reason", to_string(decoded.error())}});
        return;
    }
    this->members.merge_members({decoded.value()});
}

bool sidecar_daemon::trusts_target_state() const
{
    return this->shared.joined || steady_clock::now() - this->started_at > join_timeout;
}

void sidecar_daemon::publish()
{
    member& self = this->shared.self;
    const target_record& target = this->gate.target;
    self.instance = target.instance.id;
    self.instance_started_at_ms = target.instance.started_at_ms;
    self.version = this->target_version();
    self.reaches_store = this->feed.reaches_store() && !this->shared.stopping;
    member_state state = member_state::idle;
    if (target.state == target_state::leaving) {
        state = member_state::draining;
    } else if (target.state == target_state::serving && this->gate.reachable() &&
               this->trusts_target_state()) {
        // The node does not serve while the first configuration arrives, as the transfer saturates the link
        // of a small VM.
        const bool may_serve = this->shared.config.load() != nullptr && !this->shared.stopping;
        state = may_serve ? member_state::serving : member_state::idle;
    }
    this->members.publish_self(state);
}

net::task<void> sidecar_daemon::remove_expired()
{
    for (;;) {
        co_await net::sleep_for(cleanup_interval);
        this->peer_pool.sweep();
        this->quotas.update_members(steady_clock::now());
        this->gate.sweep();
        this->shared.suspects.remove_expired(steady_clock::now());
    }
}

net::task<void> sidecar_daemon::store_quarantine()
{
    for (;;) {
        co_await net::sleep_for(quarantine_check_interval);
        const time_point now = steady_clock::now();
        auto quarantined = this->shared.suspects.quarantined_by(this->gate.process, now);
        if (!has_new_crash(quarantined, this->stored_quarantine) &&
            !has_cleared_request(quarantined, this->stored_quarantine, this->quarantine_stored_at, now)) {
            continue;
        }
        std::vector<store_record> records;
        records.push_back({std::string(quarantine_prefix) + this->shared.local_settings.node,
                           encode_quarantine(quarantined, wall_clock_ms())});
        const auto written =
            co_await this->store->put(std::move(records), steady_clock::now() + register_timeout);
        if (written) {
            this->stored_quarantine = std::move(quarantined);
            this->quarantine_stored_at = now;
            continue;
        }
        log_warning("quarantine-not-stored", {{"reason", to_string(written.error())}});
        co_await net::sleep_for(quarantine_retry_interval);
    }
}

void sidecar_daemon::reload(const settings& next)
{
    this->shared.local_settings.drain_period = next.drain_period;
    this->shared.local_settings.shutdown_grace = next.shutdown_grace;
    this->shared.local_settings.calls_first = next.calls_first;
    this->shared.local_settings.limit_runs = next.limit_runs;
    this->shared.local_settings.give_up_silent = next.give_up_silent;
    if (this->shared.local_settings.retry_reserve != next.retry_reserve) {
        // Budgets are reset only when the setting changes, because a new budget starts with its full reserve.
        this->shared.local_settings.retry_reserve = next.retry_reserve;
        this->shared.retry_budgets.clear();
    }
    log_info("settings-reloaded");
}

void sidecar_daemon::stop()
{
    if (this->shared.stopping) {
        return;
    }
    log_info("stopping");
    this->shared.stopping = true;
    net::spawn(this->loop, this->shut_down(), "shut-down");
}

net::task<void> sidecar_daemon::shut_down()
{
    const time_point start_time = steady_clock::now();
    const time_point killed_at = start_time + this->shared.local_settings.shutdown_grace;
    this->shared.callers_refused_from = start_time + readiness_detection_time;
    this->shared.peers_refused_from = start_time + departure_propagation_time;
    this->shared.serve_until = killed_at - kill_margin - final_response_time;
    this->publish();
    this->outbound->disable_keep_alive();
    const auto busy = [this] { return this->outbound->active() + this->inbound->active(); };
    while (steady_clock::now() + kill_margin < killed_at) {
        const bool callers_have_left = steady_clock::now() - start_time > readiness_detection_time;
        if (callers_have_left && busy() == 0) {
            break;
        }
        co_await net::sleep_for(stop_poll);
    }
    log_info("stopped", {{"unfinished", static_cast<std::uint64_t>(busy())}});
    this->loop.stop();
}

} // namespace pomeloloft::sidecar
