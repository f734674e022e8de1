#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/sidecar/daemon.hpp"

namespace pomeloloft::sidecar {

void sidecar_daemon::start_rollouts()
{
    rollout_store* stored = this->store->rollouts();
    if (!rollouts_enabled(this->shared.local_settings) || stored == nullptr) {
        return;
    }
    this->rollouts =
        std::make_unique<rollout_controller>(this->loop, this->shared, *stored, this->gate, this->peer_pool);
    stored->follow_orders();
    this->rollouts->on_changed = [this] { this->members.announce_rollouts(); };
    this->gate.on_attempt = [this](const net::request& sent, const target_call_result& attempt,
                                   std::chrono::microseconds taken) {
        this->rollouts->record_attempt(sent, attempt, taken);
    };
    this->peers.on_rollout_report = [this](const net::request& received) {
        return this->rollouts->serve(received);
    };
    net::keep_running(
        this->loop, [this] { return this->rollouts->run(); }, "roll-out");
}

std::string sidecar_daemon::target_version() const
{
    if (!rollouts_enabled(this->shared.local_settings)) {
        return {};
    }
    const target_record& target = this->gate.target;
    const bool same_as_earlier = target.version.empty() && target.instance.id == this->earlier_instance.id;
    return same_as_earlier ? this->earlier_version : target.version;
}

void sidecar_daemon::handle_earlier_incarnation(const member& earlier)
{
    if (!earlier.version.empty()) {
        this->earlier_instance = {earlier.instance, earlier.instance_started_at_ms};
        this->earlier_version = earlier.version;
    }
    if (earlier.state == member_state::draining && !earlier.instance.empty()) {
        record_departure(this->gate.target,
                         {{earlier.instance, earlier.instance_started_at_ms}, steady_clock::now()});
    }
}

} // namespace pomeloloft::sidecar
