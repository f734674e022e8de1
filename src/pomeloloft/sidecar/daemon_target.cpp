#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/daemon.hpp"
#include "pomeloloft/sidecar/departure_record.hpp"

namespace pomeloloft::sidecar {
namespace {

/// The platform requires a target's report to be acknowledged within a second.
constexpr milliseconds persist_departure_timeout{700};
constexpr milliseconds discovery_interval{300};
constexpr milliseconds reconnect_interval{300};
/// New requests are stopped this long before the end of the drain period, so that requests already on their
/// way still reach the target in time.
constexpr milliseconds drain_margin{400};
/// Slots assumed for a target found by its health check, until its first report.
constexpr std::uint32_t discovered_target_slots = 4;
constexpr milliseconds peer_poll_interval{5};

/// Sets a flag during its lifetime, which ends also when a coroutine is cancelled.
class scoped_flag {
public:
    explicit scoped_flag(bool& target) : flag(target) { this->flag = true; }
    scoped_flag(const scoped_flag&) = delete;
    scoped_flag& operator=(const scoped_flag&) = delete;
    ~scoped_flag() { this->flag = false; }

private:
    bool& flag;
};

} // namespace

net::task<bool> sidecar_daemon::handle_report(target_report reported)
{
    const report_effect effect = apply_report(this->gate.target, reported, steady_clock::now());
    if (effect != report_effect::stale && effect != report_effect::refreshed) {
        log_info("target-report", {{"effect", name_of(report_effect_names, effect)},
                                   {"instance", reported.instance.id},
                                   {"sequence", reported.sequence}});
    }
    if (effect == report_effect::refreshed && this->shared.self.version != this->target_version()) {
        this->publish();
    }
    if (effect == report_effect::started) {
        this->gate.handle_target_start();
        this->publish();
    } else if (effect == report_effect::refreshed && !this->gate.reachable()) {
        this->gate.handle_target_change();
    } else if (effect == report_effect::leaving) {
        this->begin_draining();
    } else if (effect == report_effect::left) {
        this->publish();
    }
    if (hides_shutdown(this->gate.target, reported)) {
        log_warning("target-shutdown-ignored", {{"instance", reported.instance.id},
                                                {"sequence", reported.sequence},
                                                {"known", this->gate.target.sequence}});
        co_return false;
    }
    const bool is_leaving =
        this->gate.target.state == target_state::leaving && this->gate.target.instance == reported.instance;
    if (!reported.draining && !is_leaving) {
        co_return true;
    }
    co_return co_await this->persist_departure(reported.instance);
}

void sidecar_daemon::begin_draining()
{
    this->gate.target.dispatch_until =
        steady_clock::now() + this->shared.local_settings.drain_period - drain_margin;
    this->publish();
}

net::task<bool> sidecar_daemon::handle_deregistration(instance_key instance)
{
    const report_effect effect =
        apply_deregistration(this->gate.target, {instance, steady_clock::now(), wall_clock_ms()});
    if (effect != report_effect::stale) {
        log_info("target-withdrawn",
                 {{"effect", name_of(report_effect_names, effect)}, {"instance", instance.id}});
    }
    if (effect == report_effect::leaving) {
        this->begin_draining();
    } else if (effect == report_effect::left) {
        this->publish();
    }
    if (!has_departed(this->gate.target, instance)) {
        log_warning("target-shutdown-ignored",
                    {{"instance", instance.id}, {"known", this->gate.target.instance.id}});
        co_return false;
    }
    co_return co_await this->persist_departure(instance);
}

net::task<bool> sidecar_daemon::persist_departure(instance_key instance)
{
    const target_record& target = this->gate.target;
    const departure* recorded = departure_of(target, instance);
    if (recorded == nullptr) {
        co_return false;
    }
    const departure leaving = *recorded;
    const time_point deadline = steady_clock::now() + persist_departure_timeout;
    while (this->persisting_departures && steady_clock::now() < deadline) {
        co_await net::sleep_for(peer_poll_interval);
    }
    if (holds_departure(this->persisted_departures, leaving)) {
        co_return true;
    }
    std::string reason = "an earlier write has not ended";
    if (!this->persisting_departures) {
        const scoped_flag persisting(this->persisting_departures);
        const std::deque<departure> departed = target.departed;
        std::vector<store_record> records;
        records.push_back({departure_key(this->shared.local_settings.node),
                           encode_departures(departed, {steady_clock::now(), wall_clock_ms()})});
        const auto written = co_await this->store->put(std::move(records), deadline);
        if (written) {
            this->persisted_departures = departed;
            co_return true;
        }
        reason = to_string(written.error());
    }
    // A peer that holds this node's entry tells a restarted process of the departure of its present target.
    const bool in_entry = target.state == target_state::leaving && target.instance == leaving.instance;
    while (in_entry && !this->members.peer_knows_self() && steady_clock::now() < deadline) {
        co_await net::sleep_for(peer_poll_interval);
    }
    const bool peers_know = in_entry && this->members.peer_knows_self();
    log_warning(
        "departure-not-stored",
        {{"instance", leaving.instance.id}, {"reason", reason}, {"peers_know", peers_know ? "yes" : "no"}});
    co_return peers_know;
}

net::task<void> sidecar_daemon::discover_target()
{
    while (this->gate.target.state == target_state::unknown && !this->shared.stopping) {
        co_await net::sleep_for(discovery_interval);
        const auto table = routes_of(this->shared);
        if (!table || !this->trusts_target_state() || this->gate.target.state != target_state::unknown) {
            continue;
        }
        const auto service = table->services.find(this->shared.local_settings.service);
        if (service == table->services.end() || service->second.health_path.empty()) {
            continue;
        }
        const auto healthy = co_await this->gate.probe(service->second.health_path);
        if (healthy && this->gate.target.state == target_state::unknown &&
            apply_health_check(this->gate.target, healthy.value(), discovered_target_slots,
                               steady_clock::now())) {
            log_info("target-found", {{"instance", healthy.value()}});
            this->publish();
        }
    }
}

net::task<void> sidecar_daemon::reconnect_target()
{
    while (!this->gate.reachable() && !this->shared.stopping) {
        co_await net::sleep_for(reconnect_interval);
        const bool connected = co_await this->gate.try_connect();
        if (connected) {
            this->gate.handle_target_change();
        }
    }
    this->reconnecting = false;
}

} // namespace pomeloloft::sidecar
