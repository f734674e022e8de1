#include "pomeloloft/sidecar/peers.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/member_record.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/random.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds sync_timeout{1000};
/// Average interval between exchanges with a random peer: a change that every push missed still arrives
/// within a few exchanges.
constexpr milliseconds sync_interval{1000};
/// One exchange in this many may go to another data centre, because traffic between data centres is
/// expensive.
constexpr std::uint64_t remote_sync_period = 4;
constexpr milliseconds max_gone_age{60'000};

} // namespace

peer_links::peer_links(net::event_loop& io_loop, sidecar_state& process_state, target_gate& local_gate,
                       config_feed& configs, net::client_pool& peers)
    : loop(io_loop), shared(process_state), gate(local_gate), feed(configs), pool(peers),
      bodies(io_loop, process_state.local_settings.link_mbps)
{}

net::task<net::reply> peer_links::handle(net::request& received)
{
    if (received.find(peer_header::service) != received.end()) {
        co_return co_await this->serve_forwarded(received);
    }
    if (received.target() == peer_header::sync_path) {
        co_return this->serve_sync(received);
    }
    if (received.target() == peer_header::config_path) {
        co_return this->feed.handle(received);
    }
    if (received.target() == peer_header::fence_path) {
        co_return this->serve_fence(received);
    }
    co_return net::reply{net::make_response(net::http::status::not_found)};
}

sync_message peer_links::make_sync_message() const
{
    sync_message out;
    out.node = this->shared.local_settings.node;
    out.config_version = config_version(this->shared);
    out.digest = combined_digest(this->shared.members);
    out.members.push_back(this->shared.self);
    out.crash_observations = this->shared.suspects.observations_to_share(steady_clock::now());
    return out;
}

net::reply peer_links::serve_sync(const net::request& received)
{
    const auto message = decode_sync(received.body());
    if (!message) {
        log_warning("sync-ignored", {{"reason", to_string(message.error())}});
        return {net::make_response(net::http::status::bad_request)};
    }
    const std::optional<member> earlier = this->entry_of_earlier_process(message.value().members);
    this->apply_sync_message(message.value());
    sync_message response = this->make_sync_message();
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

std::optional<member> peer_links::entry_of_earlier_process(const std::vector<member>& incoming) const
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

void peer_links::merge_members(const std::vector<member>& incoming)
{
    bool changed = false;
    const time_point now = steady_clock::now();
    for (const member& m : incoming) {
        if (m.node == this->shared.local_settings.node) {
            const bool earlier = m.incarnation != this->shared.self.incarnation;
            if (earlier && this->on_earlier_incarnation) {
                this->on_earlier_incarnation(m);
            }
            if (supersedes(m, this->shared.self)) {
                this->shared.self.incarnation = m.incarnation + 1;
                this->publish_self(this->shared.self.state);
            }
            continue;
        }
        const member* known = find_member(this->shared.members, m.node);
        const bool restarted = known != nullptr && known->incarnation != m.incarnation;
        if (!merge(this->shared.members, m, 0, now)) {
            continue;
        }
        changed = true;
        if (restarted || m.state == member_state::serving) {
            record_endpoint_success(this->shared.endpoint_loads[m.node]);
        }
    }
    if (changed) {
        rebuild_endpoints(this->shared);
    }
}

void peer_links::apply_sync_message(const sync_message& update)
{
    this->merge_members(update.members);
    const time_point now = steady_clock::now();
    for (const crash_observation& observation : update.crash_observations) {
        this->shared.suspects.add(observation, now);
    }
    this->feed.handle_announced_version(update.node, std::to_string(update.config_version));
}

void peer_links::publish_self(member_state state)
{
    member& self = this->shared.self;
    self.state = state;
    ++self.sequence;
    merge(this->shared.members, self, 0, steady_clock::now());
    rebuild_endpoints(this->shared);
    for (const member* other : other_members(this->shared)) {
        const auto address = net::parse_endpoint(other->peer_address, "member " + other->node);
        if (address) {
            net::spawn(this->loop, this->push_to(other->node, address.value()), "push");
        }
    }
}

net::task<std::optional<sync_message>>
peer_links::exchange_sync_messages(std::string node, net::tcp::endpoint address, sync_message update)
{
    net::request sent{net::http::verb::post, peer_header::sync_path, 11};
    sent.body() = encode_sync(update);
    sent.prepare_payload();
    const time_point deadline = steady_clock::now() + sync_timeout;
    auto call_result = co_await this->pool.call(address, std::move(sent), deadline);
    if (!call_result) {
        co_return std::nullopt;
    }
    auto response = decode_sync(call_result.value().body());
    if (!response) {
        log_warning("sync-ignored", {{"from", node}, {"reason", to_string(response.error())}});
        co_return std::nullopt;
    }
    this->has_synced = true;
    this->apply_sync_message(response.value());
    co_return std::move(response.value());
}

net::task<void> peer_links::push_to(std::string node, net::tcp::endpoint address)
{
    struct in_progress {
        std::uint32_t& count;
        explicit in_progress(std::uint32_t& counted) : count(counted) { ++this->count; }
        ~in_progress() { --this->count; }
    } counted(this->active_syncs);
    sync_message update = this->make_sync_message();
    co_await this->exchange_sync_messages(node, address, std::move(update));
}

net::task<void> peer_links::reconcile(std::string node, net::tcp::endpoint address)
{
    sync_message update = this->make_sync_message();
    const auto first = co_await this->exchange_sync_messages(node, address, update);
    if (!first || first->digest == combined_digest(this->shared.members)) {
        co_return;
    }
    update = this->make_sync_message();
    update.buckets = this->shared.members.digest;
    const auto second = co_await this->exchange_sync_messages(node, address, update);
    if (!second || !second->buckets) {
        co_return;
    }
    const auto outdated_at_peer = entries_differing(this->shared.members, *second->buckets);
    if (outdated_at_peer.empty()) {
        co_return;
    }
    update = this->make_sync_message();
    update.members.insert(update.members.end(), outdated_at_peer.begin(), outdated_at_peer.end());
    co_await this->exchange_sync_messages(node, address, update);
}

net::task<void> peer_links::keep_in_sync()
{
    for (;;) {
        const std::uint64_t spread = static_cast<std::uint64_t>(sync_interval.count());
        co_await net::sleep_for(sync_interval / 2 + milliseconds(random_draw() % spread));
        purge_gone(this->shared.members, steady_clock::now() - max_gone_age);
        this->pool.sweep();
        this->gate.sweep();
        this->shared.suspects.remove_expired(steady_clock::now());
        const member* chosen = this->random_peer();
        if (chosen == nullptr) {
            continue;
        }
        const std::string node = chosen->node;
        const auto address = net::parse_endpoint(chosen->peer_address, "member " + node);
        if (address) {
            co_await this->reconcile(node, address.value());
        }
    }
}

const member* peer_links::random_peer() const
{
    const bool stay_local = random_draw() % remote_sync_period != 0;
    const std::vector<const member*> all = other_members(this->shared);
    std::vector<const member*> local_peers;
    std::copy_if(all.begin(), all.end(), std::back_inserter(local_peers), [this](const member* other) {
        return other->data_centre == this->shared.local_settings.data_centre;
    });
    const auto& from = stay_local && !local_peers.empty() ? local_peers : all;
    return from.empty() ? nullptr : from[random_draw() % from.size()];
}

} // namespace pomeloloft::sidecar
