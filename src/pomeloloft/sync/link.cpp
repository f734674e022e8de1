#include "pomeloloft/sync/link.hpp"

#include <algorithm>
#include <utility>

#include "distribution.pb.h"

namespace pomeloloft {
namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t members_per_frame = 256;
constexpr std::size_t max_run_bytes = 256U << 10U;
constexpr std::size_t snapshot_chunk_bytes = 64U << 10U;
constexpr std::size_t max_snapshot_bytes = 16U << 20U;
/// Heartbeats with differing digests before the groups are compared; entries under way make it differ
/// briefly.
constexpr std::uint32_t mismatches_to_compare = 2;
/// Stands for "never" in a heartbeat's log age.
constexpr std::uint64_t unknown_age_ms = ~std::uint64_t{0};

wire::Member to_wire(const member& m)
{
    wire::Member out;
    out.set_node(m.node);
    out.set_incarnation(m.incarnation);
    out.set_sequence(m.sequence);
    out.set_state(static_cast<std::uint32_t>(m.state));
    out.set_data_centre(m.data_centre);
    out.set_service(m.service);
    out.set_peer_address(m.peer_address);
    out.set_control_address(m.control_address);
    out.set_owner(m.owner);
    return out;
}

std::optional<member> from_wire(const wire::Member& in)
{
    if (in.node().empty() || in.state() >= member_state_names.size()) {
        return std::nullopt;
    }
    member out;
    out.node = in.node();
    out.incarnation = in.incarnation();
    out.sequence = in.sequence();
    out.state = static_cast<member_state>(in.state());
    out.data_centre = in.data_centre();
    out.service = in.service();
    out.peer_address = in.peer_address();
    out.control_address = in.control_address();
    out.owner = in.owner();
    return out;
}

std::uint64_t log_age_ms(const sync_state& state, time_point now)
{
    if (!state.log_end_ever_read) {
        return unknown_age_ms;
    }
    return static_cast<std::uint64_t>(remaining(now, state.log_end_read_at).count());
}

void fill_heartbeat(wire::Heartbeat& out, const sync_state& state, time_point now)
{
    out.set_next_offset(state.config.fold->next_offset);
    out.set_chain(state.config.fold->chain);
    out.set_version(state.config.fold->current->version);
    out.set_log_age_ms(log_age_ms(state, now));
    out.set_member_digest(combined_digest(state.members));
}

template <typename Repeated>
void fill_digest(Repeated& out, const member_table& table)
{
    for (const std::uint64_t bucket : table.digest) {
        out.Add(bucket);
    }
}

template <typename Repeated>
std::optional<table_digest> read_digest(const Repeated& in)
{
    if (static_cast<std::size_t>(in.size()) != digest_buckets) {
        return std::nullopt;
    }
    table_digest out{};
    std::copy(in.begin(), in.end(), out.begin());
    return out;
}

wire::Frame hello_frame(sync_state& state, link_state& l, time_point now)
{
    wire::Frame frame;
    wire::Hello& hello = *frame.mutable_hello();
    hello.set_protocol(protocol_version);
    hello.set_node(state.node);
    hello.set_data_centre(state.data_centre);
    hello.set_kind(l.kind == link_kind::child ? wire::CHILD : wire::PEER);
    fill_heartbeat(*hello.mutable_state(), state, now);
    fill_digest(*hello.mutable_digest(), state.members);
    l.hello_sent = true;
    l.next_heartbeat = now + state.options.heartbeat_interval;
    return frame;
}

/// A parent pushes to its children at once; other links only help a remote that says it is behind.
bool pushes_config(const link_state& l)
{
    return (l.inbound && l.kind == link_kind::child) || l.remote_behind;
}

bool begin_full_sync(sync_state& state, link_state& l)
{
    if (l.full_sync) {
        return true;
    }
    if (state.full_syncs >= state.options.max_full_syncs) {
        return false;
    }
    ++state.full_syncs;
    l.full_sync = true;
    return true;
}

void end_full_sync(sync_state& state, link_state& l)
{
    if (l.full_sync) {
        --state.full_syncs;
        l.full_sync = false;
    }
}

std::optional<wire::Frame> snapshot_frame(sync_state& state, link_state& l)
{
    if (!l.snapshot_out) {
        l.snapshot_out = shared_snapshot(state.config);
        l.snapshot_out_position = 0;
        l.snapshot_out_offset = state.config.fold->next_offset;
    }
    const std::string& text = *l.snapshot_out;
    const std::size_t count = (text.size() + snapshot_chunk_bytes - 1) / snapshot_chunk_bytes;
    wire::Frame frame;
    wire::SnapshotChunk& chunk = *frame.mutable_snapshot();
    chunk.set_index(static_cast<std::uint32_t>(l.snapshot_out_position / snapshot_chunk_bytes));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_data(text.substr(l.snapshot_out_position, snapshot_chunk_bytes));
    l.snapshot_out_position += snapshot_chunk_bytes;
    if (l.snapshot_out_position >= text.size()) {
        l.snapshot_out.reset();
        l.needs_snapshot = false;
        l.sent_offset = l.snapshot_out_offset;
    }
    return frame;
}

std::optional<wire::Frame> records_frame(const sync_state& state, link_state& l)
{
    auto run = records_from(state.config, l.sent_offset, max_run_bytes);
    if (!run) {
        l.needs_snapshot = true;
        return std::nullopt;
    }
    wire::Frame frame;
    wire::Records& out = *frame.mutable_records();
    out.set_from(run->from);
    out.set_chain(*run->chain);
    for (const log_record& record : run->records) {
        wire::LogRecord& entry = *out.add_records();
        entry.set_offset(record.offset);
        entry.set_data(record.data);
    }
    l.sent_offset = run->records.back().offset + 1;
    if (l.sent_offset >= state.config.fold->next_offset) {
        l.remote_behind = false;
    }
    return frame;
}

std::optional<wire::Frame> config_frame(sync_state& state, link_state& l)
{
    const bool behind = l.sent_offset < state.config.fold->next_offset;
    if (!pushes_config(l) || (!behind && !l.needs_snapshot)) {
        return std::nullopt;
    }
    l.needs_snapshot = l.needs_snapshot || state.options.mode == distribution_mode::whole;
    if (!l.needs_snapshot) {
        if (auto frame = records_frame(state, l)) {
            return frame;
        }
    }
    return begin_full_sync(state, l) ? snapshot_frame(state, l) : std::nullopt;
}

std::optional<wire::Frame> members_frame(sync_state& state, link_state& l)
{
    const bool bulk = l.pending_members.size() > members_per_frame;
    if (bulk && !begin_full_sync(state, l)) {
        return std::nullopt;
    }
    std::vector<member> batch;
    while (!l.pending_members.empty() && batch.size() < members_per_frame) {
        batch.push_back(std::move(l.pending_members.front()));
        l.pending_members.pop_front();
    }
    if (l.pending_members.empty()) {
        const auto fresh = changes_after(state.members, l.member_cursor, l.id, members_per_frame);
        batch.insert(batch.end(), fresh.begin(), fresh.end());
    }
    const bool initial_done = l.pending_members.empty() && !l.initial_members_sent;
    if (batch.empty() && !initial_done) {
        return std::nullopt;
    }
    wire::Frame frame;
    for (const member& m : batch) {
        *frame.mutable_members()->add_members() = to_wire(m);
    }
    frame.mutable_members()->set_initial_done(initial_done);
    l.initial_members_sent = l.initial_members_sent || initial_done;
    return frame;
}

std::optional<wire::Frame> quarantine_frame(const sync_state& state, link_state& l, time_point now)
{
    if (l.quarantine_cursor >= state.quarantine.last_change) {
        return std::nullopt;
    }
    const auto reports = reports_after(state.quarantine, l.quarantine_cursor);
    if (reports.empty()) {
        return std::nullopt;
    }
    wire::Frame frame;
    for (const crash_report& report : reports) {
        wire::CrashReport& out = *frame.mutable_quarantine()->add_reports();
        out.set_fingerprint(report.fingerprint);
        out.set_node(report.node);
        out.set_ttl_ms(static_cast<std::uint64_t>(remaining(report.expires_at, now).count()));
    }
    return frame;
}

wire::Frame heartbeat_frame(sync_state& state, link_state& l, time_point now)
{
    wire::Frame frame;
    fill_heartbeat(*frame.mutable_heartbeat(), state, now);
    if (l.send_digest) {
        fill_digest(*frame.mutable_heartbeat()->mutable_digest(), state.members);
        l.send_digest = false;
    }
    l.next_heartbeat = now + state.options.heartbeat_interval;
    return frame;
}

std::optional<wire::Frame> change_frame(sync_state& state, link_state& l, time_point now)
{
    if (auto frame = config_frame(state, l)) {
        return frame;
    }
    if (auto frame = quarantine_frame(state, l, now)) {
        return frame;
    }
    auto frame = members_frame(state, l);
    if (!l.snapshot_out && !l.needs_snapshot && l.pending_members.empty()) {
        end_full_sync(state, l);
    }
    return frame;
}

frame_effects close_with(std::string reason)
{
    frame_effects effects;
    effects.close = true;
    effects.reason = std::move(reason);
    return effects;
}

void queue_differing(sync_state& state, link_state& l, const table_digest& remote)
{
    for (member& m : entries_differing(state.members, remote)) {
        l.pending_members.push_back(std::move(m));
    }
}

void note_log_age(sync_state& state, const wire::Heartbeat& beat, time_point now)
{
    const bool holds_all = state.config.fold->next_offset >= beat.next_offset();
    if (beat.log_age_ms() == unknown_age_ms || !holds_all) {
        return;
    }
    constexpr std::uint64_t longest_ms = 86'400'000;
    const time_point seen = now - milliseconds(std::min(beat.log_age_ms(), longest_ms));
    if (!state.log_end_ever_read || seen > state.log_end_read_at) {
        state.log_end_read_at = seen;
        state.log_end_ever_read = true;
    }
}

/// Compares the remote's position with ours; a remote whose chain differs at its own offset needs a snapshot.
void note_position(sync_state& state, link_state& l, const wire::Heartbeat& beat)
{
    l.remote_version = beat.version();
    l.remote_next_offset = beat.next_offset();
    const fold_state& fold = *state.config.fold;
    if (beat.next_offset() >= fold.next_offset) {
        l.remote_behind = false;
        return;
    }
    if (!pushes_config(l) || beat.next_offset() < l.sent_offset) {
        l.sent_offset = beat.next_offset();
        l.remote_behind = true;
    }
    const auto chain = chain_at(state.config, beat.next_offset());
    if (!chain || *chain != beat.chain()) {
        l.needs_snapshot = true;
    }
}

frame_effects take_hello(sync_state& state, link_state& l, const wire::Hello& hello, time_point now)
{
    if (l.hello_received || hello.protocol() != protocol_version || hello.node().empty()) {
        return close_with("bad hello");
    }
    if (hello.node() == state.node) {
        return close_with("linked to itself");
    }
    const auto digest = read_digest(hello.digest());
    if (!digest) {
        return close_with("bad digest");
    }
    l.hello_received = true;
    l.remote_node = hello.node();
    l.remote_data_centre = hello.data_centre();
    if (l.inbound) {
        l.kind = hello.kind() == wire::CHILD ? link_kind::child : link_kind::peer;
    }
    l.sent_offset = hello.state().next_offset();
    l.member_cursor = state.members.last_change;
    note_position(state, l, hello.state());
    note_log_age(state, hello.state(), now);
    queue_differing(state, l, *digest);
    return {};
}

frame_effects take_records(sync_state& state, const wire::Records& in)
{
    record_batch run;
    run.from = in.from();
    run.chain = in.chain();
    for (const wire::LogRecord& record : in.records()) {
        run.records.push_back({record.offset(), record.data()});
    }
    const auto folded = fold_batch(state.config, run);
    if (!folded && folded.error().code == error_code::corrupt) {
        return close_with(to_string(folded.error()));
    }
    frame_effects effects;
    // A gap is healed by the next heartbeat, which tells the sender where this node stands.
    effects.config_changed = folded && folded.value();
    return effects;
}

frame_effects take_snapshot(sync_state& state, link_state& l, const wire::SnapshotChunk& chunk)
{
    if (chunk.index() == 0) {
        l.snapshot_in.clear();
        l.snapshot_in_chunks = 0;
    }
    const bool in_order = chunk.index() == l.snapshot_in_chunks && chunk.index() < chunk.count();
    if (!in_order || l.snapshot_in.size() + chunk.data().size() > max_snapshot_bytes) {
        return close_with("snapshot chunks out of order or too large");
    }
    l.snapshot_in += chunk.data();
    if (++l.snapshot_in_chunks < chunk.count()) {
        return {};
    }
    auto decoded = decode_snapshot(l.snapshot_in);
    l.snapshot_in.clear();
    l.snapshot_in.shrink_to_fit();
    l.snapshot_in_chunks = 0;
    if (!decoded) {
        return close_with(to_string(decoded.error()));
    }
    frame_effects effects;
    effects.config_changed = install_newer_state(state.config, std::move(decoded).value());
    return effects;
}

frame_effects take_heartbeat(sync_state& state, link_state& l, const wire::Heartbeat& beat, time_point now)
{
    note_position(state, l, beat);
    note_log_age(state, beat, now);
    if (const auto digest = read_digest(beat.digest())) {
        queue_differing(state, l, *digest);
    }
    const bool differs = beat.member_digest() != combined_digest(state.members);
    l.digest_mismatches = differs ? l.digest_mismatches + 1 : 0;
    if (l.digest_mismatches >= mismatches_to_compare) {
        l.digest_mismatches = 0;
        l.send_digest = true;
    }
    return {};
}

frame_effects take_members(sync_state& state, link_state& l, const wire::Members& in, time_point now)
{
    frame_effects effects;
    for (const wire::Member& entry : in.members()) {
        const auto decoded = from_wire(entry);
        if (!decoded) {
            return close_with("bad member entry");
        }
        effects.members_changed |= merge(state.members, *decoded, l.id, now);
    }
    l.initial_members_received = l.initial_members_received || in.initial_done();
    return effects;
}

frame_effects take_quarantine(sync_state& state, const wire::Quarantine& in, time_point now)
{
    frame_effects effects;
    for (const wire::CrashReport& report : in.reports()) {
        const auto ttl = std::min<std::uint64_t>(report.ttl_ms(), crash_report_ttl.count());
        effects.quarantine_changed |=
            add_crash_report(state.quarantine, report.fingerprint(), report.node(), now + milliseconds(ttl));
    }
    return effects;
}

} // namespace

std::optional<wire::Frame> next_frame(sync_state& state, link_state& l, time_point now)
{
    if (!l.refusal.empty()) {
        if (l.refusal_sent) {
            return std::nullopt;
        }
        l.refusal_sent = true;
        wire::Frame frame;
        frame.mutable_refusal()->set_reason(l.refusal);
        return frame;
    }
    if (!l.hello_sent) {
        return hello_frame(state, l, now);
    }
    if (!l.hello_received) {
        return std::nullopt;
    }
    if (now >= l.next_heartbeat || l.send_digest) {
        return heartbeat_frame(state, l, now);
    }
    if (now < l.next_batch) {
        return std::nullopt;
    }
    auto frame = change_frame(state, l, now);
    if (frame && !l.full_sync) {
        l.next_batch = now + state.options.batch_window;
    }
    return frame;
}

frame_effects take_frame(sync_state& state, link_state& l, const wire::Frame& frame, time_point now)
{
    l.heard_deadline = now + state.options.lease;
    if (!l.hello_received && !frame.has_hello() && !frame.has_refusal()) {
        return close_with("no hello first");
    }
    switch (frame.body_case()) {
    case wire::Frame::kHello:
        return take_hello(state, l, frame.hello(), now);
    case wire::Frame::kRecords:
        return take_records(state, frame.records());
    case wire::Frame::kSnapshot:
        return take_snapshot(state, l, frame.snapshot());
    case wire::Frame::kHeartbeat:
        return take_heartbeat(state, l, frame.heartbeat(), now);
    case wire::Frame::kMembers:
        return take_members(state, l, frame.members(), now);
    case wire::Frame::kQuarantine:
        return take_quarantine(state, frame.quarantine(), now);
    case wire::Frame::kRefusal:
        return close_with("refused: " + frame.refusal().reason());
    case wire::Frame::BODY_NOT_SET:
        break;
    }
    return close_with("empty frame");
}

void release_link(sync_state& state, link_state& l)
{
    end_full_sync(state, l);
}

frame_kind kind_of(const wire::Frame& frame)
{
    switch (frame.body_case()) {
    case wire::Frame::kHello:
        return frame_kind::hello;
    case wire::Frame::kRecords:
        return frame_kind::records;
    case wire::Frame::kSnapshot:
        return frame_kind::snapshot;
    case wire::Frame::kMembers:
        return frame_kind::members;
    case wire::Frame::kRefusal:
        return frame_kind::refusal;
    case wire::Frame::kQuarantine:
        return frame_kind::quarantine;
    case wire::Frame::kHeartbeat:
    case wire::Frame::BODY_NOT_SET:
        break;
    }
    return frame_kind::heartbeat;
}

} // namespace pomeloloft
