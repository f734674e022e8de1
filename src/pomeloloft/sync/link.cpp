#include "pomeloloft/sync/link.hpp"

#include <algorithm>
#include <utility>

#include "distribution.pb.h"
#include "pomeloloft/sync/wire_member.hpp"

namespace pomeloloft {
namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t members_per_frame = 256;
constexpr std::size_t max_batch_bytes = 256U << 10U;
constexpr std::size_t snapshot_chunk_bytes = 64U << 10U;
constexpr std::size_t max_snapshot_bytes = 16U << 20U;
/// Consecutive heartbeats with a different digest before the digests of the buckets are compared. Entries in
/// transit make the digests differ briefly.
constexpr std::uint32_t digest_mismatch_threshold = 2;
/// Log age in a heartbeat whose sender does not know of any read of the log's end.
constexpr std::uint64_t unknown_age_ms = ~std::uint64_t{0};

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

wire::Frame hello_frame(sync_state& state, link_state& link, time_point now)
{
    wire::Frame frame;
    wire::Hello& hello = *frame.mutable_hello();
    hello.set_protocol(protocol_version);
    hello.set_node(state.node);
    hello.set_data_centre(state.data_centre);
    hello.set_kind(link.kind == link_kind::child ? wire::CHILD : wire::PEER);
    fill_heartbeat(*hello.mutable_state(), state, now);
    detail::fill_digest(*hello.mutable_digest(), state.members);
    link.hello_sent = true;
    link.next_heartbeat = now + state.options.heartbeat_interval;
    return frame;
}

/// A parent pushes changes to its children at once. On other links, configuration is sent only to a remote
/// node that has reported an older offset.
bool pushes_config(const link_state& link)
{
    return (link.inbound && link.kind == link_kind::child) || link.remote_behind;
}

/// Counts a link towards `max_full_syncs`, unless it is counted already.
/// @return false when the limit is reached.
bool begin_full_sync(sync_state& state, link_state& link)
{
    if (link.in_full_sync) {
        return true;
    }
    if (state.active_full_syncs >= state.options.max_full_syncs) {
        return false;
    }
    ++state.active_full_syncs;
    link.in_full_sync = true;
    return true;
}

void end_full_sync(sync_state& state, link_state& link)
{
    if (link.in_full_sync) {
        --state.active_full_syncs;
        link.in_full_sync = false;
    }
}

std::optional<wire::Frame> snapshot_frame(sync_state& state, link_state& link)
{
    if (!link.outgoing_snapshot) {
        link.outgoing_snapshot = shared_snapshot(state.config);
        link.outgoing_snapshot_position = 0;
        link.outgoing_snapshot_offset = state.config.fold->next_offset;
    }
    const std::string& text = *link.outgoing_snapshot;
    const std::size_t count = (text.size() + snapshot_chunk_bytes - 1) / snapshot_chunk_bytes;
    wire::Frame frame;
    wire::SnapshotChunk& chunk = *frame.mutable_snapshot();
    chunk.set_index(static_cast<std::uint32_t>(link.outgoing_snapshot_position / snapshot_chunk_bytes));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_data(text.substr(link.outgoing_snapshot_position, snapshot_chunk_bytes));
    link.outgoing_snapshot_position += snapshot_chunk_bytes;
    if (link.outgoing_snapshot_position >= text.size()) {
        link.outgoing_snapshot.reset();
        link.needs_snapshot = false;
        link.sent_offset = link.outgoing_snapshot_offset;
    }
    return frame;
}

std::optional<wire::Frame> records_frame(const sync_state& state, link_state& link)
{
    auto batch = records_from(state.config, link.sent_offset, max_batch_bytes);
    if (!batch) {
        link.needs_snapshot = true;
        return std::nullopt;
    }
    wire::Frame frame;
    wire::Records& out = *frame.mutable_records();
    out.set_from(batch->from);
    out.set_chain(*batch->chain);
    for (const log_record& record : batch->records) {
        wire::LogRecord& entry = *out.add_records();
        entry.set_offset(record.offset);
        entry.set_data(record.data);
    }
    link.sent_offset = batch->records.back().offset + 1;
    if (link.sent_offset >= state.config.fold->next_offset) {
        link.remote_behind = false;
    }
    return frame;
}

std::optional<wire::Frame> config_frame(sync_state& state, link_state& link)
{
    const bool behind = link.sent_offset < state.config.fold->next_offset;
    if (!pushes_config(link) || (!behind && !link.needs_snapshot)) {
        return std::nullopt;
    }
    link.needs_snapshot = link.needs_snapshot || state.options.mode == distribution_mode::full_state;
    if (!link.needs_snapshot) {
        if (auto frame = records_frame(state, link)) {
            return frame;
        }
    }
    return begin_full_sync(state, link) ? snapshot_frame(state, link) : std::nullopt;
}

std::optional<wire::Frame> members_frame(sync_state& state, link_state& link)
{
    const bool is_bulk = link.pending_members.size() > members_per_frame;
    if (is_bulk && !begin_full_sync(state, link)) {
        return std::nullopt;
    }
    std::vector<member> entries;
    while (!link.pending_members.empty() && entries.size() < members_per_frame) {
        entries.push_back(std::move(link.pending_members.front()));
        link.pending_members.pop_front();
    }
    if (link.pending_members.empty()) {
        const auto changed = changes_after(state.members, link.member_cursor, link.id, members_per_frame);
        entries.insert(entries.end(), changed.begin(), changed.end());
    }
    const bool initial_done = link.pending_members.empty() && !link.initial_members_sent;
    if (entries.empty() && !initial_done) {
        return std::nullopt;
    }
    wire::Frame frame;
    for (const member& m : entries) {
        *frame.mutable_members()->add_members() = detail::to_wire(m);
    }
    frame.mutable_members()->set_initial_done(initial_done);
    link.initial_members_sent = link.initial_members_sent || initial_done;
    return frame;
}

std::optional<wire::Frame> quarantine_frame(const sync_state& state, link_state& link, time_point now)
{
    if (link.quarantine_cursor >= state.quarantine.last_change) {
        return std::nullopt;
    }
    const auto reports = reports_after(state.quarantine, link.quarantine_cursor);
    if (reports.empty()) {
        return std::nullopt;
    }
    wire::Frame frame;
    for (const crash_report& report : reports) {
        wire::CrashReport& out = *frame.mutable_quarantine()->add_reports();
        out.set_fingerprint(report.fingerprint);
        out.set_node(report.crash_id);
        out.set_ttl_ms(static_cast<std::uint64_t>(remaining(report.expires_at, now).count()));
    }
    return frame;
}

wire::Frame heartbeat_frame(sync_state& state, link_state& link, time_point now)
{
    wire::Frame frame;
    fill_heartbeat(*frame.mutable_heartbeat(), state, now);
    if (link.send_digest) {
        detail::fill_digest(*frame.mutable_heartbeat()->mutable_digest(), state.members);
        link.send_digest = false;
    }
    link.next_heartbeat = now + state.options.heartbeat_interval;
    return frame;
}

std::optional<wire::Frame> next_change_frame(sync_state& state, link_state& link, time_point now)
{
    if (auto frame = config_frame(state, link)) {
        return frame;
    }
    if (auto frame = quarantine_frame(state, link, now)) {
        return frame;
    }
    auto frame = members_frame(state, link);
    if (!link.outgoing_snapshot && !link.needs_snapshot && link.pending_members.empty()) {
        end_full_sync(state, link);
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

void queue_differing_members(sync_state& state, link_state& link, const table_digest& remote)
{
    for (member& m : entries_differing(state.members, remote)) {
        link.pending_members.push_back(std::move(m));
    }
}

void update_log_end_read_at(sync_state& state, const wire::Heartbeat& heartbeat, time_point now)
{
    const bool holds_all = state.config.fold->next_offset >= heartbeat.next_offset();
    if (heartbeat.log_age_ms() == unknown_age_ms || !holds_all) {
        return;
    }
    constexpr std::uint64_t max_log_age_ms = 86'400'000;
    const time_point read_at = now - milliseconds(std::min(heartbeat.log_age_ms(), max_log_age_ms));
    if (!state.log_end_ever_read || read_at > state.log_end_read_at) {
        state.log_end_read_at = read_at;
        state.log_end_ever_read = true;
    }
}

/// Compares the remote node's position in the log with the local one. A remote node whose hash chain at its
/// own offset differs or is no longer known here needs a snapshot.
void update_remote_position(sync_state& state, link_state& link, const wire::Heartbeat& heartbeat)
{
    link.remote_version = heartbeat.version();
    link.remote_next_offset = heartbeat.next_offset();
    const fold_state& fold = *state.config.fold;
    if (heartbeat.next_offset() >= fold.next_offset) {
        link.remote_behind = false;
        return;
    }
    if (!pushes_config(link) || heartbeat.next_offset() < link.sent_offset) {
        link.sent_offset = heartbeat.next_offset();
        link.remote_behind = true;
    }
    const auto chain = chain_at(state.config, heartbeat.next_offset());
    if (!chain || *chain != heartbeat.chain()) {
        link.needs_snapshot = true;
    }
}

frame_effects handle_hello(sync_state& state, link_state& link, const wire::Hello& hello, time_point now)
{
    if (link.hello_received || hello.protocol() != protocol_version || hello.node().empty()) {
        return close_with("invalid hello frame: repeated, other protocol version or no node name");
    }
    if (hello.node() == state.node) {
        return close_with("remote node has the same name as this node");
    }
    const auto digest = detail::read_digest(hello.digest());
    if (!digest) {
        return close_with("hello frame has a member digest of the wrong length");
    }
    link.hello_received = true;
    link.remote_node = hello.node();
    link.remote_data_centre = hello.data_centre();
    if (link.inbound) {
        link.kind = hello.kind() == wire::CHILD ? link_kind::child : link_kind::peer;
    }
    link.sent_offset = hello.state().next_offset();
    link.member_cursor = state.members.last_change;
    update_remote_position(state, link, hello.state());
    update_log_end_read_at(state, hello.state(), now);
    queue_differing_members(state, link, *digest);
    return {};
}

frame_effects handle_records(sync_state& state, const wire::Records& in)
{
    record_batch batch;
    batch.from = in.from();
    batch.chain = in.chain();
    for (const wire::LogRecord& record : in.records()) {
        batch.records.push_back({record.offset(), record.data()});
    }
    const auto folded = fold_batch(state.config, batch);
    if (!folded && folded.error().code == error_code::corrupt) {
        return close_with(to_string(folded.error()));
    }
    frame_effects effects;
    // A gap is closed after the next heartbeat, which reports this node's offset to the sender.
    effects.config_changed = folded && folded.value();
    return effects;
}

frame_effects handle_snapshot(sync_state& state, link_state& link, const wire::SnapshotChunk& chunk)
{
    if (chunk.index() == 0) {
        link.incoming_snapshot.clear();
        link.incoming_snapshot_chunks = 0;
    }
    const bool in_order = chunk.index() == link.incoming_snapshot_chunks && chunk.index() < chunk.count();
    if (!in_order || link.incoming_snapshot.size() + chunk.data().size() > max_snapshot_bytes) {
        return close_with("snapshot chunks out of order or too large");
    }
    link.incoming_snapshot += chunk.data();
    if (++link.incoming_snapshot_chunks < chunk.count()) {
        return {};
    }
    auto decoded = decode_snapshot(link.incoming_snapshot);
    link.incoming_snapshot.clear();
    link.incoming_snapshot.shrink_to_fit();
    link.incoming_snapshot_chunks = 0;
    if (!decoded) {
        return close_with(to_string(decoded.error()));
    }
    frame_effects effects;
    effects.config_changed = install_newer_state(state.config, std::move(decoded).value());
    return effects;
}

frame_effects handle_heartbeat(sync_state& state, link_state& link, const wire::Heartbeat& heartbeat,
                               time_point now)
{
    update_remote_position(state, link, heartbeat);
    update_log_end_read_at(state, heartbeat, now);
    if (const auto digest = detail::read_digest(heartbeat.digest())) {
        queue_differing_members(state, link, *digest);
    }
    const bool differs = heartbeat.member_digest() != combined_digest(state.members);
    link.digest_mismatches = differs ? link.digest_mismatches + 1 : 0;
    if (link.digest_mismatches >= digest_mismatch_threshold) {
        link.digest_mismatches = 0;
        link.send_digest = true;
    }
    return {};
}

frame_effects handle_members(sync_state& state, link_state& link, const wire::Members& in, time_point now)
{
    frame_effects effects;
    for (const wire::Member& entry : in.members()) {
        const auto decoded = detail::from_wire(entry);
        if (!decoded) {
            return close_with("member entry without a node name or with an unknown state");
        }
        effects.members_changed |= merge(state.members, *decoded, link.id, now);
    }
    link.initial_members_received = link.initial_members_received || in.initial_done();
    return effects;
}

frame_effects handle_quarantine(sync_state& state, const wire::Quarantine& in, time_point now)
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

std::optional<wire::Frame> next_frame(sync_state& state, link_state& link, time_point now)
{
    if (!link.refusal.empty()) {
        if (link.refusal_sent) {
            return std::nullopt;
        }
        link.refusal_sent = true;
        wire::Frame frame;
        frame.mutable_refusal()->set_reason(link.refusal);
        return frame;
    }
    if (!link.hello_sent) {
        return hello_frame(state, link, now);
    }
    if (!link.hello_received) {
        return std::nullopt;
    }
    if (now >= link.next_heartbeat || link.send_digest) {
        return heartbeat_frame(state, link, now);
    }
    if (now < link.next_batch) {
        return std::nullopt;
    }
    auto frame = next_change_frame(state, link, now);
    if (frame && !link.in_full_sync) {
        link.next_batch = now + state.options.batch_window;
    }
    return frame;
}

frame_effects handle_frame(sync_state& state, link_state& link, const wire::Frame& frame, time_point now)
{
    link.lease_deadline = now + state.options.lease;
    if (!link.hello_received && !frame.has_hello() && !frame.has_refusal()) {
        return close_with("received another frame before the hello frame");
    }
    switch (frame.body_case()) {
    case wire::Frame::kHello:
        return handle_hello(state, link, frame.hello(), now);
    case wire::Frame::kRecords:
        return handle_records(state, frame.records());
    case wire::Frame::kSnapshot:
        return handle_snapshot(state, link, frame.snapshot());
    case wire::Frame::kHeartbeat:
        return handle_heartbeat(state, link, frame.heartbeat(), now);
    case wire::Frame::kMembers:
        return handle_members(state, link, frame.members(), now);
    case wire::Frame::kQuarantine:
        return handle_quarantine(state, frame.quarantine(), now);
    case wire::Frame::kRefusal:
        return close_with("refused by the remote node: " + frame.refusal().reason());
    case wire::Frame::BODY_NOT_SET:
        break;
    }
    return close_with("frame has no body");
}

void release_link(sync_state& state, link_state& link)
{
    end_full_sync(state, link);
}

frame_kind frame_kind_of(const wire::Frame& frame)
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
