#include "pomeloloft/proxy/control_loop.hpp"

#include <algorithm>
#include <random>
#include <set>

#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft {
namespace {

constexpr milliseconds step_interval{50};
/// If a step is later than this, the process was paused, not merely busy.
constexpr milliseconds pause_threshold{1000};
/// How long after a pause requests are refused, because they may have been accepted before it.
constexpr milliseconds refusal_after_pause{500};
constexpr milliseconds housekeeping_interval{1000};
/// How long the entries of members that are gone stay in the table.
constexpr milliseconds gone_member_retention{600'000};
/// While the log is unavailable, this node is ready only after this number of other nodes have confirmed that
/// their configuration is not newer.
constexpr std::size_t confirmations_needed = 2;

std::uint64_t random_draw()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

/// Whether this node has every record that the log contained when it first read the log's end.
bool holds_log_end(const blackboard& board, std::uint64_t own_offset)
{
    return board.log_end_known && own_offset >= board.log_end_offset;
}

/// Number of linked nodes whose configuration is not newer than this node's.
std::size_t count_confirmations(const std::vector<link_summary>& links, std::uint64_t own_offset)
{
    std::set<std::string> nodes;
    for (const link_summary& l : links) {
        if (l.established && l.remote_next_offset <= own_offset) {
            nodes.insert(l.remote_node);
        }
    }
    return nodes.size();
}

/// Whether a linked node has a newer configuration than this one.
bool is_any_link_ahead(const std::vector<link_summary>& links, std::uint64_t own_offset)
{
    return std::any_of(links.begin(), links.end(), [own_offset](const link_summary& l) {
        return l.established && l.remote_next_offset > own_offset;
    });
}

} // namespace

member_state own_state(const std::optional<announced_target>& target, bool stopping, time_point now)
{
    if (stopping) {
        return member_state::draining;
    }
    if (!target || target->lease_deadline <= now || target->unreachable) {
        return member_state::idle;
    }
    return target->draining ? member_state::draining : member_state::serving;
}

control_loop::control_loop(blackboard& shared, grpc_links& streams) : board(shared), links(streams)
{
    this->planner_state.bootstrap = shared.settings.peers;
}

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void control_loop::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    this->thread.join();
}

void control_loop::update_bootstrap_addresses(const std::vector<std::string>& addresses)
{
    const std::lock_guard lock(this->planner_mutex);
    this->planner_state.bootstrap = this->board.settings.peers;
    for (const std::string& address : addresses) {
        if (std::find(this->planner_state.bootstrap.begin(), this->planner_state.bootstrap.end(), address) ==
            this->planner_state.bootstrap.end()) {
            this->planner_state.bootstrap.push_back(address);
        }
    }
}

void control_loop::link_closed(const link_state& ended, bool reached)
{
    this->board.hub.read([&](const sync_state& state) {
        const std::lock_guard lock(this->planner_mutex);
        record_link_closed(this->planner_state, state, ended, reached, steady_clock::now());
        return true;
    });
    notify_change(this->board);
}

void control_loop::run()
{
    while (!this->board.stopped) {
        this->step(steady_clock::now());
        std::unique_lock lock(this->board.change_mutex);
        this->board.changed.wait_for(lock, step_interval);
    }
}

void control_loop::step(time_point now)
{
    this->detect_pause(now);
    this->step_target(now);
    this->step_links(now);
    this->step_own_entry(now);
    this->step_quarantine(now);
    this->step_view();
    this->step_ready();
    this->step_housekeeping(now);
    this->board.hub.tick();
}

void control_loop::detect_pause(time_point now)
{
    const time_point last{steady_clock::duration(this->board.last_tick.load())};
    if (now - last > pause_threshold) {
        this->board.refuse_until = (now + refusal_after_pause).time_since_epoch().count();
        ++this->board.events.pauses_detected;
        log_warning("process-pause-detected",
                    {{"ms", static_cast<std::int64_t>(remaining(now, last).count())}});
    }
    this->board.last_tick = now.time_since_epoch().count();
}

void control_loop::step_target(time_point now)
{
    const std::lock_guard lock(this->board.target_mutex);
    if (this->board.target && this->board.target->lease_deadline <= now) {
        log_warning("target-lease-expired", {{"address", this->board.target->address}});
        this->board.target.reset();
    }
}

void control_loop::step_links(time_point now)
{
    const auto summaries = this->board.hub.summaries();
    if (!this->board.joined && std::any_of(summaries.begin(), summaries.end(), [](const link_summary& l) {
            return l.established && l.synchronised;
        })) {
        this->board.joined = true;
        log_info("joined", {{"through", summaries.front().remote_node}});
    }
    link_plan plan = this->board.hub.read([&](const sync_state& state) {
        const std::lock_guard lock(this->planner_mutex);
        link_inputs inputs;
        inputs.state = &state;
        inputs.links = summaries;
        inputs.joined = this->board.joined;
        inputs.needs_confirmation = this->board.joined && !this->board.ready && this->board.log_unavailable;
        inputs.now = now;
        inputs.random = random_draw();
        return plan_links(inputs, this->planner_state);
    });
    this->apply(plan, now);
}

void control_loop::apply(const link_plan& plan, time_point now)
{
    const bool reads = plan.reader || plan.acting_reader;
    if (this->board.is_reader.exchange(reads) != reads) {
        log_info(reads ? "reader-duty-taken" : "reader-duty-ended",
                 {{"acting", plan.acting_reader ? "yes" : "no"}});
    }
    this->board.is_assigned_reader = plan.reader;
    if (this->parent != plan.parent) {
        log_info("parent-changed", {{"from", this->parent}, {"to", plan.parent}});
        this->parent = plan.parent;
    }
    if (!plan.closes.empty()) {
        this->board.hub.cancel_if([&plan](const link_summary& l) {
            return std::find(plan.closes.begin(), plan.closes.end(), l.id) != plan.closes.end();
        });
    }
    for (const dial_request& request : plan.dials) {
        this->links.dial(request.address, request.kind, request.node);
    }
    if (plan.declare_gone.empty()) {
        return;
    }
    this->board.hub.update([&](sync_state& state) {
        for (const std::string& node : plan.declare_gone) {
            if (declare_gone(state.members, node, now)) {
                ++this->board.events.members_declared_gone;
                log_warning("member-declared-gone", {{"member", node}});
            }
        }
        return true;
    });
    const std::lock_guard lock(this->board.change_mutex);
    this->board.members_dirty = true;
}

void control_loop::step_own_entry(time_point now)
{
    member_state wanted_state = member_state::idle;
    std::string service;
    {
        const std::lock_guard lock(this->board.target_mutex);
        wanted_state = this->board.drained ? member_state::gone
                                           : own_state(this->board.target, this->board.stopping, now);
        service = this->board.target ? this->board.target->service : "";
    }
    const auto differs = [&](const member& own) {
        return own.incarnation != this->board.incarnation || own.state != wanted_state ||
               own.service != service || own.owner != this->parent;
    };
    const bool changed = this->board.hub.read(
        [&](const sync_state& state) { return differs(*find_member(state.members, state.node)); });
    if (!changed) {
        return;
    }
    this->board.hub.update([&](sync_state& state) {
        member own = *find_member(state.members, state.node);
        // A higher incarnation under this node's name belongs to a process that has replaced this one.
        if (own.incarnation > this->board.incarnation) {
            return false;
        }
        own.incarnation = this->board.incarnation;
        own.sequence += 1;
        own.state = wanted_state;
        own.service = service;
        own.owner = this->parent;
        own.data_centre = this->board.settings.data_centre;
        own.peer_address = advertised_peer(this->board.settings);
        own.control_address = advertised_control(this->board.settings);
        return merge(state.members, own, 0, now);
    });
    log_info("own-entry-changed",
             {{"state", name_of(member_state_names, wanted_state)}, {"service", service}});
    const std::lock_guard lock(this->board.change_mutex);
    this->board.members_dirty = true;
}

void control_loop::step_view()
{
    {
        const std::lock_guard lock(this->board.change_mutex);
        if (!this->board.members_dirty && !this->board.config_dirty) {
            return;
        }
        this->board.members_dirty = false;
        this->board.config_dirty = false;
    }
    node_directory directory;
    const auto next = this->board.hub.read([&](const sync_state& state) {
        for (const auto& [node, entry] : state.members.entries) {
            const bool gone = entry.value.state == member_state::gone;
            directory.emplace(node, node_address{entry.value.peer_address, entry.value.incarnation, gone});
        }
        view_inputs inputs;
        inputs.config = state.config.fold->current;
        inputs.members = &state.members;
        inputs.own_node = state.node;
        inputs.own_data_centre = state.data_centre;
        return build_view(inputs, this->loads);
    });
    this->board.issuers.store(std::move(directory));
    ++this->board.events.views_built;
    const auto previous = this->board.current_view.load();
    const auto references = check_references(*next);
    if (!references || next->config->version < previous->config->version) {
        ++this->board.events.views_rejected;
        log_warning("view-rejected", {{"reason", references ? "older than the active version"
                                                            : to_string(references.error())}});
        return;
    }
    this->board.current_view.store(next);
    if (next->config->version != previous->config->version) {
        this->activate_config(*next);
    }
    const std::lock_guard lock(this->board.target_mutex);
    if (this->board.target) {
        apply_limits(this->board, this->board.target->service);
    }
}

void control_loop::activate_config(const view& next)
{
    {
        const std::lock_guard lock(this->board.versions_mutex);
        this->board.in_force_since_ms = wall_clock_ms();
        this->board.recent_versions.push_back(next.config);
        if (this->board.recent_versions.size() > max_recent_versions) {
            this->board.recent_versions.pop_front();
        }
    }
    this->board.hub.update([&next](sync_state& state) {
        const sync_options previous = state.options;
        state.options = sync_options_for(next.config->doc.distribution);
        // These two come from this node's settings, not from the configuration.
        state.options.mode = previous.mode;
        state.options.max_full_syncs = previous.max_full_syncs;
        return true;
    });
    log_info("config-activated", {{"version", next.config->version}, {"hash", next.config->hash}});
}

void control_loop::step_quarantine(time_point now)
{
    {
        const std::lock_guard lock(this->board.change_mutex);
        if (!std::exchange(this->board.quarantine_dirty, false)) {
            return;
        }
    }
    auto set = std::make_shared<quarantine_set>();
    this->board.hub.read([&](const sync_state& state) {
        for (const auto& [fingerprint, unused] : state.quarantine.by_fingerprint) {
            if (is_quarantined(state.quarantine, fingerprint, now)) {
                set->insert(fingerprint);
            }
        }
        return true;
    });
    const std::size_t before = this->board.quarantined.load()->size();
    if (set->size() != before) {
        log_info("quarantine", {{"requests", static_cast<std::uint64_t>(set->size())}});
    }
    this->board.has_quarantine = !set->empty();
    this->board.quarantined.store(std::move(set));
}

void control_loop::step_ready()
{
    if (this->board.ready || !this->board.joined) {
        return;
    }
    const auto summaries = this->board.hub.summaries();
    const bool is_current = this->board.hub.read([&](const sync_state& state) {
        const std::uint64_t offset = state.config.fold->next_offset;
        if (is_any_link_ahead(summaries, offset)) {
            return false;
        }
        return holds_log_end(this->board, offset) ||
               (this->board.log_unavailable &&
                count_confirmations(summaries, offset) >= confirmations_needed);
    });
    const bool is_active =
        this->board.current_view.load()->config->version ==
        this->board.hub.read([](const sync_state& s) { return s.config.fold->current->version; });
    if (is_current && is_active) {
        this->board.ready = true;
        log_info("ready", {{"version", this->board.current_view.load()->config->version}});
    }
}

void control_loop::step_housekeeping(time_point now)
{
    if (now < this->next_housekeeping) {
        return;
    }
    this->next_housekeeping = now + housekeeping_interval;
    this->board.peer_connections.sweep();
    this->board.target_connections.sweep();
    if (this->housekeeping_hook) {
        this->housekeeping_hook();
    }
    this->board.hub.update([now](sync_state& state) {
        purge_gone(state.members, now - gone_member_retention);
        expire_reports(state.quarantine, now);
        return true;
    });
    if (this->board.has_quarantine) {
        const std::lock_guard lock(this->board.change_mutex);
        this->board.quarantine_dirty = true;
    }
}

} // namespace pomeloloft
