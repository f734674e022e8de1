#include "pomeloloft/sidecar/member_sync.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/random.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds sync_timeout{1000};
/// Average interval between exchanges with a random peer: a change that the relays did not deliver still
/// arrives within a few exchanges.
constexpr milliseconds sync_interval{1000};
/// The interval after the start of the process: when many start together, the relays do not know all of them.
constexpr milliseconds initial_sync_interval{250};
constexpr milliseconds initial_sync_period{3000};
constexpr milliseconds max_gone_age{60'000};

std::vector<const member*> in_data_centre(const std::vector<const member*>& members,
                                          const std::string& data_centre)
{
    std::vector<const member*> out;
    std::copy_if(members.begin(), members.end(), std::back_inserter(out),
                 [&](const member* m) { return m->data_centre == data_centre; });
    return out;
}

} // namespace

struct member_sync::announcement {
    std::vector<std::string> candidates;
    std::size_t next = 0;
    std::uint64_t sequence = 0;
};

member_sync::member_sync(net::event_loop& io_loop, sidecar_state& process_state, config_feed& configs,
                         net::client_pool& peers)
    : loop(io_loop), shared(process_state), feed(configs), pool(peers), started_at(steady_clock::now())
{}

sync_message member_sync::make_message(observation_selection selection) const
{
    const time_point now = steady_clock::now();
    sync_message out;
    out.node = this->shared.local_settings.node;
    out.config_version = config_version(this->shared);
    out.digest = combined_digest(this->shared.members);
    out.members.push_back(this->shared.self);
    out.crash_observations = this->shared.suspects.observations_to_share(selection, now);
    out.cleared_suspects = this->shared.suspects.cleared_to_share(now);
    for (const auto& [service, state] : this->shared.rollouts) {
        if (now < state.share_until) {
            out.rollouts.push_back(encode_rollout(state, now));
        }
    }
    return out;
}

net::reply member_sync::serve(const net::request& received)
{
    const auto message = decode_sync(received.body());
    if (!message) {
        log_warning("sync-ignored", {{"reason", to_string(message.error())}});
        return {net::make_response(net::http::status::bad_request)};
    }
    const std::optional<member> earlier = this->entry_of_earlier_process(message.value().members);
    this->unresponsive.record_contact(message.value().node);
    this->apply(message.value());
    sync_message response = this->make_message(observation_selection::most_crashes);
    if (earlier) {
        response.members.push_back(*earlier);
    }
    if (message.value().buckets) {
        const auto differing = entries_differing(this->shared.members, *message.value().buckets);
        response.members.insert(response.members.end(), differing.begin(), differing.end());
        response.buckets = this->shared.members.digest;
    }
    return {net::make_response(net::http::status::ok, encode_sync(response), "application/json")};
}

std::optional<member> member_sync::entry_of_earlier_process(const std::vector<member>& incoming) const
{
    for (const member& m : incoming) {
        const member* known = find_member(this->shared.members, m.node);
        if (known != nullptr && known->incarnation < m.incarnation &&
            m.node != this->shared.local_settings.node) {
            return *known;
        }
    }
    return std::nullopt;
}

std::vector<std::string> member_sync::merge_entries(const std::vector<member>& incoming)
{
    std::vector<std::string> changed;
    const time_point now = steady_clock::now();
    for (const member& m : incoming) {
        if (m.node == this->shared.local_settings.node) {
            const bool earlier = m.incarnation != this->shared.self.incarnation;
            if (earlier && this->on_earlier_incarnation) {
                this->on_earlier_incarnation(m);
            }
            if (supersedes(m, this->shared.self)) {
                this->shared.self.incarnation = m.incarnation + 1;
                this->acknowledged_sequence.reset();
                this->publish_self(this->shared.self.state);
            }
            continue;
        }
        const member* known = find_member(this->shared.members, m.node);
        const bool restarted = known != nullptr && known->incarnation != m.incarnation;
        if (!merge(this->shared.members, m, 0, now)) {
            continue;
        }
        changed.push_back(m.node);
        if (restarted || m.state == member_state::serving) {
            record_endpoint_success(this->shared.endpoint_loads[m.node]);
        }
    }
    if (!changed.empty()) {
        rebuild_endpoints(this->shared);
    }
    return changed;
}

void member_sync::merge_members(const std::vector<member>& incoming)
{
    this->merge_entries(incoming);
}

void member_sync::apply(const sync_message& message)
{
    const std::vector<std::string> changed = this->merge_entries(message.members);
    const time_point now = steady_clock::now();
    bool suspects_changed = false;
    for (const cleared_suspect& cleared : message.cleared_suspects) {
        suspects_changed = this->shared.suspects.clear(cleared, now) || suspects_changed;
    }
    for (const crash_observation& observation : message.crash_observations) {
        suspects_changed = this->shared.suspects.add(observation, now) || suspects_changed;
    }
    const bool rollouts_changed = this->apply_rollouts(message);
    this->schedule_spread(changed, suspects_changed || rollouts_changed, message.scope);
    this->feed.handle_announced_version(message.node, std::to_string(message.config_version));
}

bool member_sync::apply_rollouts(const sync_message& message)
{
    if (message.rollouts.empty() || !rollouts_enabled(this->shared.local_settings)) {
        return false;
    }
    const time_point now = steady_clock::now();
    std::vector<rollout> states;
    for (const std::string& text : message.rollouts) {
        auto state = decode_rollout(text, now);
        if (state) {
            states.push_back(std::move(state.value()));
        } else {
            log_warning("rollout-ignored", {{"from", message.node}, {"reason", to_string(state.error())}});
        }
    }
    return merge_rollouts(this->shared, states, now);
}

void member_sync::schedule_spread(const std::vector<std::string>& changed, bool observations_changed,
                                  spread_scope scope)
{
    if (scope == spread_scope::none || (changed.empty() && !observations_changed)) {
        return;
    }
    for (const std::string& node : changed) {
        spread_scope& known = this->pending.entries[node];
        known = std::max(known, scope);
    }
    if (observations_changed) {
        this->pending.observations = std::max(this->pending.observations, scope);
    }
    if (!this->send_scheduled) {
        this->send_scheduled = true;
        net::spawn(this->loop, this->send_pending(), "spread");
    }
}

net::task<void> member_sync::send_pending()
{
    co_await net::sleep_for(this->options.batch_window);
    this->send_scheduled = false;
    const pending_spread collected = std::exchange(this->pending, {});
    const auto batches = plan_spread(this->shared.members, this->shared.self, collected, this->unresponsive,
                                     steady_clock::now(), this->options);
    for (const spread_batch& batch : batches) {
        this->send_batch(batch);
    }
}

void member_sync::send_batch(const spread_batch& batch)
{
    sync_message message = this->make_message(observation_selection::recent);
    message.scope = batch.scope;
    message.members.insert(message.members.end(), batch.entries.begin(), batch.entries.end());
    const auto body = std::make_shared<const std::string>(encode_sync(message));
    for (const std::string& node : batch.receivers) {
        net::spawn(this->loop, this->send_to_first({node}, body), "spread");
    }
    if (!batch.candidates.empty()) {
        net::spawn(this->loop, this->send_to_first(batch.candidates, body), "spread");
    }
}

net::task<void> member_sync::send_to_first(std::vector<std::string> nodes,
                                           std::shared_ptr<const std::string> body)
{
    for (const std::string& node : nodes) {
        const auto response = co_await this->exchange_encoded(node, body);
        if (response) {
            co_return;
        }
    }
}

net::task<std::optional<sync_message>> member_sync::exchange(std::string node, sync_message message)
{
    const auto body = std::make_shared<const std::string>(encode_sync(message));
    std::optional<sync_message> response = co_await this->exchange_encoded(std::move(node), body);
    co_return response;
}

net::task<std::optional<sync_message>> member_sync::exchange_encoded(std::string node,
                                                                     std::shared_ptr<const std::string> body)
{
    const member* known = find_member(this->shared.members, node);
    if (known == nullptr) {
        co_return std::nullopt;
    }
    const member before = *known;
    const auto address = net::parse_endpoint(before.peer_address, "member " + node);
    if (!address) {
        log_warning("member-ignored", {{"member", node}, {"reason", to_string(address.error())}});
        co_return std::nullopt;
    }
    net::request sent{net::http::verb::post, peer_header::sync_path, 11};
    sent.body() = *body;
    sent.prepare_payload();
    const time_point deadline = steady_clock::now() + sync_timeout;
    auto call_result = co_await this->pool.call(address.value(), std::move(sent), deadline);
    if (!call_result) {
        this->unresponsive.record_failure(node, steady_clock::now());
        co_return std::nullopt;
    }
    this->unresponsive.record_contact(node);
    const std::string response_body = std::move(call_result.value().body());
    this->shared.control.record_members(before.data_centre != this->shared.local_settings.data_centre,
                                        body->size() + response_body.size());
    auto response = decode_sync(response_body);
    if (!response) {
        log_warning("sync-ignored", {{"from", node}, {"reason", to_string(response.error())}});
        co_return std::nullopt;
    }
    this->has_synced = true;
    this->apply(response.value());
    const member* current = find_member(this->shared.members, node);
    if (current != nullptr && current->incarnation > before.incarnation) {
        // The receiver has restarted and may not know what its earlier process announced.
        sync_message reminder = this->make_message(observation_selection::most_crashes);
        reminder.members.push_back(before);
        net::spawn(this->loop, this->send(node, std::move(reminder)), "remind");
    }
    co_return std::move(response.value());
}

net::task<void> member_sync::send(std::string node, sync_message message)
{
    co_await this->exchange(std::move(node), std::move(message));
}

void member_sync::publish_self(member_state state)
{
    member& self = this->shared.self;
    const member* published = find_member(this->shared.members, self.node);
    self.state = state;
    const bool unchanged = published != nullptr && hash_of(*published) == hash_of(self);
    if (unchanged && (this->peer_knows_self() || this->active_announcements > 0)) {
        return;
    }
    if (!unchanged) {
        ++self.sequence;
        merge(this->shared.members, self, 0, steady_clock::now());
        rebuild_endpoints(this->shared);
    }
    this->announce();
}

void member_sync::announce_suspects()
{
    if (!this->announcement_scheduled) {
        this->announcement_scheduled = true;
        net::spawn(this->loop, this->announce_after_batch_window(), "announce-suspects");
    }
}

net::task<void> member_sync::announce_after_batch_window()
{
    co_await net::sleep_for(this->options.batch_window);
    this->announcement_scheduled = false;
    this->announce();
}

void member_sync::announce()
{
    auto started = std::make_shared<announcement>();
    started->candidates = announcement_order(this->shared.members, this->shared.self, this->unresponsive,
                                             steady_clock::now(), this->options);
    started->sequence = this->shared.self.sequence;
    const std::size_t lanes = std::min(this->options.relays_per_data_centre, started->candidates.size());
    for (std::size_t i = 0; i < lanes; ++i) {
        net::spawn(this->loop, this->announce_to_next(started), "announce");
    }
}

net::task<void> member_sync::announce_to_next(std::shared_ptr<announcement> started)
{
    struct in_progress {
        std::uint32_t& count;
        explicit in_progress(std::uint32_t& counted) : count(counted) { ++this->count; }
        ~in_progress() { --this->count; }
    } counted(this->active_announcements);
    const auto is_superseded = [&] { return started->sequence != this->shared.self.sequence; };
    while (started->next < started->candidates.size() && !is_superseded()) {
        const std::string node = started->candidates[started->next++];
        sync_message message = this->make_message(observation_selection::recent);
        message.scope = spread_scope::fleet;
        const auto response = co_await this->exchange(node, std::move(message));
        if (!response) {
            continue;
        }
        this->acknowledged_sequence = std::max(this->acknowledged_sequence.value_or(0), started->sequence);
        if (!this->caught_up && response->digest != combined_digest(this->shared.members)) {
            co_await this->reconcile_with_random_peer();
        }
        this->caught_up = true;
        co_return;
    }
}

net::task<void> member_sync::reconcile(std::string node)
{
    const auto first = co_await this->exchange(node, this->make_message(observation_selection::most_crashes));
    if (!first || first->digest == combined_digest(this->shared.members)) {
        co_return;
    }
    sync_message update = this->make_message(observation_selection::recent);
    update.buckets = this->shared.members.digest;
    const auto second = co_await this->exchange(node, std::move(update));
    if (!second || !second->buckets) {
        co_return;
    }
    const auto outdated_at_peer = entries_differing(this->shared.members, *second->buckets);
    if (outdated_at_peer.empty()) {
        co_return;
    }
    update = this->make_message(observation_selection::recent);
    update.members.insert(update.members.end(), outdated_at_peer.begin(), outdated_at_peer.end());
    co_await this->exchange(node, std::move(update));
}

net::task<void> member_sync::reconcile_with_random_peer()
{
    const member* chosen = this->random_peer();
    if (chosen != nullptr) {
        co_await this->reconcile(chosen->node);
    }
}

net::task<void> member_sync::keep_in_sync()
{
    for (;;) {
        const bool just_started = steady_clock::now() - this->started_at < initial_sync_period;
        const milliseconds interval = just_started ? initial_sync_interval : sync_interval;
        const auto spread = static_cast<std::uint64_t>(interval.count());
        co_await net::sleep_for(interval / 2 + milliseconds(random_draw() % spread));
        purge_gone(this->shared.members, steady_clock::now() - max_gone_age);
        if (!this->peer_knows_self() && this->active_announcements == 0) {
            this->announce();
        }
        co_await this->reconcile_with_random_peer();
    }
}

const member* member_sync::random_peer() const
{
    const std::vector<const member*> all = other_members(this->shared);
    const auto local_peers = in_data_centre(all, this->shared.local_settings.data_centre);
    const bool stay_local = random_draw() % remote_exchange_period(local_peers.size()) != 0;
    const auto& from = stay_local && !local_peers.empty() ? local_peers : all;
    return from.empty() ? nullptr : from[random_draw() % from.size()];
}

} // namespace pomeloloft::sidecar
