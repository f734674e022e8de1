#include "pomeloloft/proxy/blackboard.hpp"

#include <numeric>
#include <utility>

namespace pomeloloft {
namespace {

/// If the control thread has not made a step for longer than this, the process was paused, not merely busy.
constexpr milliseconds max_step_delay{1000};

sync_state initial_state(const proxy_settings& settings, std::uint64_t incarnation)
{
    sync_state state;
    state.node = settings.node;
    state.data_centre = settings.data_centre;
    state.options.mode = settings.distribution;
    state.options.max_full_syncs = settings.max_full_syncs;
    member self;
    self.node = settings.node;
    self.incarnation = incarnation;
    self.sequence = 1;
    self.data_centre = settings.data_centre;
    self.peer_address = advertised_peer(settings);
    self.control_address = advertised_control(settings);
    merge(state.members, self, 0, steady_clock::now());
    return state;
}

pool_options peer_pool_options()
{
    pool_options options;
    options.max_idle = milliseconds{8000};
    return options;
}

key_options key_limits(const proxy_settings& settings)
{
    key_options limits;
    limits.ttl = settings.key_lifetime;
    return limits;
}

} // namespace

blackboard::blackboard(proxy_settings s, log_client l, std::uint64_t own_incarnation)
    : settings(std::move(s)), log(std::move(l)), incarnation(own_incarnation),
      hub(initial_state(this->settings, own_incarnation)), decisions(this->settings.max_recorded_decisions),
      keys(this->settings.node, own_incarnation, key_limits(this->settings)),
      peer_connections(peer_pool_options()), target_connections(pool_options{})
{
    this->current_view.store(std::make_shared<view>(view{std::make_shared<config_version>(), {}, {}, {}}));
    this->quarantined.store(std::make_shared<quarantine_set>());
    if (this->decisions.enabled()) {
        this->target_admission.set_observer(
            [this](const admission_view& view, const admission_request& request, admission decided,
                   time_point now) { this->decisions.add(record_admission(view, request, decided, now)); });
    }
    this->last_tick = steady_clock::now().time_since_epoch().count();
}

const std::string& advertised_peer(const proxy_settings& settings)
{
    return settings.advertise_peer.empty() ? settings.peer_address : settings.advertise_peer;
}

const std::string& advertised_control(const proxy_settings& settings)
{
    return settings.advertise_control.empty() ? settings.control_address : settings.advertise_control;
}

void notify_change(blackboard& board)
{
    const std::lock_guard lock(board.change_mutex);
    board.changed.notify_all();
}

bool may_be_stale(const blackboard& board, time_point now)
{
    const time_point::rep ticks = now.time_since_epoch().count();
    const auto limit = std::chrono::duration_cast<steady_clock::duration>(max_step_delay).count();
    return ticks - board.last_tick.load(std::memory_order_relaxed) > limit ||
           ticks < board.refuse_until.load(std::memory_order_relaxed);
}

bool apply_limits(blackboard& board, const std::string& service)
{
    const auto current = board.current_view.load();
    const auto declared = current->services.find(service);
    if (declared == current->services.end()) {
        return false;
    }
    const pomeloloft::service& limits = declared->second.limits;
    const bool adaptive = limits.limit == slot_limit::adaptive;
    board.uses_adaptive_limit = adaptive;
    const std::uint32_t slots =
        adaptive ? board.adaptive_limit.set_ceiling(limits.slots, steady_clock::now()) : limits.slots;
    board.target_admission.set_limits(slots, limits.queue);
    return true;
}

endpoint_report own_report(const blackboard& board)
{
    const admission_view current = board.target_admission.view();
    return {std::accumulate(current.waiting.begin(), current.waiting.end(), current.running),
            board.target_response_time.micros()};
}

} // namespace pomeloloft
