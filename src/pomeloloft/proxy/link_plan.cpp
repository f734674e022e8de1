#include "pomeloloft/proxy/link_plan.hpp"

#include <algorithm>
#include <set>

namespace pomeloloft {
namespace {

constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{2000};
constexpr milliseconds parent_review_interval{15'000};
constexpr milliseconds orphan_check_interval{1000};
constexpr std::size_t max_bootstrap_dials = 2;
/// How long to wait for a bootstrap link before opening a second one in parallel.
constexpr milliseconds second_bootstrap_delay{700};
/// Number of links to other nodes that can confirm the configuration while the log is unavailable.
constexpr std::size_t wanted_confirmation_links = 3;
/// A node is declared gone after its lease owner has been gone for this number of lease durations.
constexpr int orphan_timeout_leases = 2;

bool is_parent_link(const link_summary& l)
{
    return !l.inbound && l.kind == link_kind::child;
}

const link_summary* find_link(const std::vector<link_summary>& links, const std::string& node)
{
    const auto found = std::find_if(links.begin(), links.end(),
                                    [&node](const link_summary& l) { return l.remote_node == node; });
    return found == links.end() ? nullptr : &*found;
}

bool is_dialled(const std::vector<link_summary>& links, const std::string& address)
{
    return std::any_of(links.begin(), links.end(),
                       [&](const link_summary& l) { return l.address == address; });
}

/// Exponential backoff with full jitter: the delay is random between 0 and the current backoff, which doubles
/// with each call.
void back_off(link_planner_state& planner_state, const link_inputs& inputs)
{
    planner_state.backoff = std::clamp(planner_state.backoff * 2, initial_backoff, max_backoff);
    const auto jitter =
        milliseconds(inputs.random % static_cast<std::uint64_t>(planner_state.backoff.count()));
    planner_state.dial_not_before = inputs.now + jitter;
}

void plan_bootstrap(const link_inputs& inputs, link_planner_state& planner_state, link_plan& plan)
{
    // The second link is delayed, because each new link transfers the whole member table.
    const time_point not_before =
        inputs.links.empty() ? planner_state.dial_not_before : planner_state.second_bootstrap_at;
    const bool waiting = inputs.links.size() >= max_bootstrap_dials || inputs.now < not_before;
    if (planner_state.bootstrap.empty() || waiting) {
        return;
    }
    const std::string& address =
        planner_state.bootstrap[planner_state.next_bootstrap++ % planner_state.bootstrap.size()];
    if (!is_dialled(inputs.links, address)) {
        plan.dials.push_back({address, "", link_kind::child});
    }
    back_off(planner_state, inputs);
    planner_state.second_bootstrap_at = inputs.now + second_bootstrap_delay;
}

/// Whether a parent link may stay: its remote node is in this data centre, has a lower tree weight and is not
/// gone.
bool is_valid_parent(const sync_state& state, const link_summary& l)
{
    const member* remote = find_member(state.members, l.remote_node);
    return remote != nullptr && remote->state != member_state::gone &&
           remote->data_centre == state.data_centre && tree_weight(remote->node) < tree_weight(state.node);
}

void dial_next_candidate(const link_inputs& inputs, link_planner_state& planner_state,
                         const std::vector<member>& candidates, link_plan& plan)
{
    if (candidates.empty() || inputs.now < planner_state.dial_not_before) {
        return;
    }
    const member& next = candidates[planner_state.next_candidate++ % candidates.size()];
    if (!is_dialled(inputs.links, next.control_address)) {
        plan.dials.push_back({next.control_address, next.node, link_kind::child});
    }
    // The first round tries all candidates without delay; later rounds back off to let them recover.
    if (planner_state.failed_candidates >= candidates.size()) {
        back_off(planner_state, inputs);
    }
}

/// Periodically dials the preferred parent if the current one does not suit this node's place in the tree;
/// the newer link then replaces the older. Without this, the node that joined first would keep all nodes that
/// joined through it as its children.
void plan_parent_review(const link_inputs& inputs, link_planner_state& planner_state,
                        const std::vector<member>& candidates, const std::string& parent, link_plan& plan)
{
    if (inputs.now < planner_state.next_parent_review || candidates.empty()) {
        return;
    }
    const bool first_review = planner_state.next_parent_review == time_point{};
    planner_state.next_parent_review =
        inputs.now + parent_review_interval + milliseconds(inputs.random % parent_review_interval.count());
    const member& wanted = candidates.front();
    const sync_state& state = *inputs.state;
    const bool suitable = wanted.node == parent ||
                          (!first_review && is_acceptable_parent(planner_state.members.ranked, state.node,
                                                                 parent, state.options.fan_out));
    if (!suitable && !is_dialled(inputs.links, wanted.control_address)) {
        plan.dials.push_back({wanted.control_address, wanted.node, link_kind::child});
    }
}

/// Closes the outbound peer links of a node that is not a reader, unless other nodes have to confirm its
/// configuration.
void close_peer_links(const link_inputs& inputs, link_plan& plan)
{
    for (const link_summary& l : inputs.links) {
        if (!l.inbound && l.kind == link_kind::peer && l.established && !inputs.needs_confirmation) {
            plan.closes.push_back(l.id);
        }
    }
}

void plan_parent(const link_inputs& inputs, link_planner_state& planner_state,
                 const std::vector<member>& ranked, link_plan& plan)
{
    const sync_state& state = *inputs.state;
    const auto candidates = parent_candidates(ranked, state.node, state.options.fan_out);
    std::vector<const link_summary*> parents;
    std::vector<const link_summary*> valid;
    bool dial_pending = false;
    for (const link_summary& l : inputs.links) {
        if (!is_parent_link(l)) {
            continue;
        }
        parents.push_back(&l);
        dial_pending = dial_pending || !l.established;
        if (l.established && is_valid_parent(state, l)) {
            valid.push_back(&l);
        }
    }
    if (valid.empty()) {
        plan.acting_reader = planner_state.failed_candidates >= candidates.size() || candidates.empty();
        if (!dial_pending) {
            dial_next_candidate(inputs, planner_state, candidates, plan);
        }
        return;
    }
    planner_state.backoff = milliseconds{0};
    planner_state.failed_candidates = 0;
    planner_state.next_candidate = 0;
    const link_summary* newest = valid.back();
    plan.parent = newest->remote_node;
    plan_parent_review(inputs, planner_state, candidates, plan.parent, plan);
    for (const link_summary* l : parents) {
        if (l->established && l != newest) {
            plan.closes.push_back(l->id);
        }
    }
}

/// Dials a peer unless a link to it exists or its dial delay has not passed.
void dial_peer(const link_inputs& inputs, link_planner_state& planner_state, const member& peer,
               link_plan& plan)
{
    time_point& not_before = planner_state.peer_not_before[peer.node];
    if (inputs.now < not_before || find_link(inputs.links, peer.node) != nullptr ||
        is_dialled(inputs.links, peer.control_address)) {
        return;
    }
    not_before = inputs.now + initial_backoff + milliseconds(inputs.random % max_backoff.count());
    plan.dials.push_back({peer.control_address, peer.node, link_kind::peer});
}

/// Plans the links of a reader: peer links to all other readers, and to bootstrap addresses of unknown nodes.
/// A reader has no parent.
void plan_reader(const link_inputs& inputs, link_planner_state& planner_state, link_plan& plan)
{
    const sync_state& state = *inputs.state;
    std::set<std::string> wanted;
    for (const member& peer : planner_state.members.reader_peers) {
        wanted.insert(peer.node);
        // Of two readers, the one with the higher tree weight dials. A reader also dials one that it
        // suspects, to confirm or refute the suspicion.
        const bool dials =
            tree_weight(state.node) > tree_weight(peer.node) || planner_state.suspects.contains(peer.node);
        if (dials) {
            dial_peer(inputs, planner_state, peer, plan);
        }
    }
    for (const link_summary& l : inputs.links) {
        const bool surplus_peer = !l.inbound && l.kind == link_kind::peer && !wanted.contains(l.remote_node);
        if (l.established && (is_parent_link(l) || surplus_peer)) {
            plan.closes.push_back(l.id);
        }
    }
    for (const std::string& address : planner_state.bootstrap) {
        const bool known = planner_state.members.addresses.contains(address);
        time_point& not_before = planner_state.peer_not_before[address];
        if (!known && inputs.now >= not_before && !is_dialled(inputs.links, address)) {
            not_before = inputs.now + max_backoff;
            plan.dials.push_back({address, "", link_kind::peer});
        }
    }
}

/// Opens links to nodes of any data centre that can confirm the configuration.
void plan_confirmation(const link_inputs& inputs, link_planner_state& planner_state, link_plan& plan)
{
    std::size_t established = 0;
    for (const link_summary& l : inputs.links) {
        established += l.established ? 1 : 0;
    }
    for (const auto& [node, entry] : inputs.state->members.entries) {
        if (established + plan.dials.size() >= wanted_confirmation_links) {
            return;
        }
        if (node != inputs.state->node && entry.value.state != member_state::gone) {
            dial_peer(inputs, planner_state, entry.value, plan);
        }
    }
}

/// Declares a suspected node gone if its suspicion is confirmed and the deadline has passed. Removes
/// suspicions that are refuted or whose deadline passed a lease duration ago.
void plan_suspects(const link_inputs& inputs, link_planner_state& planner_state, link_plan& plan)
{
    for (auto it = planner_state.suspects.begin(); it != planner_state.suspects.end();) {
        const auto& [node, suspected] = *it;
        const member* current = find_member(inputs.state->members, node);
        const link_summary* open = find_link(inputs.links, node);
        const bool refuted = current == nullptr || current->state == member_state::gone ||
                             current->incarnation != suspected.incarnation ||
                             current->sequence != suspected.sequence ||
                             (open != nullptr && open->established);
        if (!refuted && suspected.confirmed && inputs.now >= suspected.deadline) {
            plan.declare_gone.push_back(node);
        }
        const bool finished = refuted || inputs.now >= suspected.deadline + inputs.state->options.lease;
        it = finished ? planner_state.suspects.erase(it) : std::next(it);
    }
}

/// Declares members gone whose lease owner is gone. The failure of a rack may take down a node together with
/// the owner of its lease; then no other node detects that the node is gone. Only readers run this check.
void plan_orphans(const link_inputs& inputs, link_planner_state& planner_state, link_plan& plan)
{
    if (inputs.now < planner_state.next_orphan_check) {
        return;
    }
    planner_state.next_orphan_check = inputs.now + orphan_check_interval;
    const sync_state& state = *inputs.state;
    const time_point cutoff = inputs.now - state.options.lease * orphan_timeout_leases;
    for (const auto& [node, entry] : state.members.entries) {
        const member& m = entry.value;
        if (node == state.node || m.state == member_state::gone || m.owner.empty() ||
            m.data_centre != state.data_centre || find_link(inputs.links, node) != nullptr) {
            continue;
        }
        const auto owner = state.members.entries.find(m.owner);
        const bool owner_gone =
            owner == state.members.entries.end() ||
            (owner->second.value.state == member_state::gone && owner->second.state_since < cutoff);
        if (owner_gone && entry.state_since < cutoff) {
            plan.declare_gone.push_back(node);
        }
    }
}

/// Recomputes the overview if the member table has changed. Ranking sorts the whole table, which would be too
/// expensive at every step.
void refresh_overview(const sync_state& state, member_overview& overview)
{
    const bool is_current = overview.as_of_change == state.members.last_change &&
                            overview.as_of_size == state.members.entries.size();
    if (is_current) {
        return;
    }
    overview.ranked = ranked_members(state.members, state.data_centre);
    overview.reader_peers = reader_peers(state.members, state.node);
    overview.addresses.clear();
    for (const auto& [node, entry] : state.members.entries) {
        if (entry.value.state != member_state::gone) {
            overview.addresses.insert(entry.value.control_address);
        }
    }
    overview.as_of_change = state.members.last_change;
    overview.as_of_size = state.members.entries.size();
}

} // namespace

link_plan plan_links(const link_inputs& inputs, link_planner_state& planner_state)
{
    link_plan plan;
    const sync_state& state = *inputs.state;
    if (!inputs.joined) {
        plan_bootstrap(inputs, planner_state, plan);
        return plan;
    }
    refresh_overview(state, planner_state.members);
    const std::vector<member>& ranked = planner_state.members.ranked;
    plan.reader = is_reader(ranked, state.node);
    if (plan.reader) {
        plan_reader(inputs, planner_state, plan);
        plan_orphans(inputs, planner_state, plan);
    } else {
        plan_parent(inputs, planner_state, ranked, plan);
        close_peer_links(inputs, plan);
        plan.acting_reader = plan.acting_reader || state.options.mode == distribution_mode::poll;
    }
    if (inputs.needs_confirmation) {
        plan_confirmation(inputs, planner_state, plan);
    }
    plan_suspects(inputs, planner_state, plan);
    return plan;
}

void record_link_closed(link_planner_state& planner_state, const sync_state& state, const link_state& ended,
                        bool reached, time_point now)
{
    const bool was_parent_dial = !ended.inbound && ended.kind == link_kind::child;
    if (!reached && was_parent_dial) {
        ++planner_state.failed_candidates;
    }
    const member* remote = find_member(state.members, ended.remote_node);
    if (remote == nullptr || remote->data_centre != state.data_centre ||
        remote->state == member_state::gone) {
        return;
    }
    const auto [position, inserted] = planner_state.suspects.try_emplace(
        ended.remote_node,
        suspicion{now + state.options.lease, remote->incarnation, remote->sequence, false});
    // The lease of a child that was linked here only while it joined is owned by another node.
    const bool was_leased_child =
        ended.inbound && ended.kind == link_kind::child && remote->owner == state.node;
    if (ended.inbound && ended.kind == link_kind::child && !was_leased_child) {
        return;
    }
    if (!reached || was_leased_child) {
        position->second.confirmed = true;
    }
}

} // namespace pomeloloft
