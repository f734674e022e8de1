#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/mesh/member_table.hpp"
#include "pomeloloft/sync/config_store.hpp"
#include "pomeloloft/sync/options.hpp"
#include "pomeloloft/sync/quarantine.hpp"

namespace pomeloloft::wire {
class Frame;
}

namespace pomeloloft {

/// Role of the connecting node on a link: a child, to which its parent pushes configuration, or a peer.
enum class link_kind : std::uint8_t { child, peer };

/// Names of `link_kind` in logs and status output.
inline constexpr name_table<link_kind, 2> link_kind_names{{
    {link_kind::child, "child"},
    {link_kind::peer, "peer"},
}};

/// Kind of a frame's content, by which control traffic is counted.
enum class frame_kind : std::uint8_t { hello, records, snapshot, heartbeat, members, refusal, quarantine };

/// Names of `frame_kind` in metrics.
inline constexpr name_table<frame_kind, 7> frame_kind_names{{
    {frame_kind::hello, "hello"},
    {frame_kind::records, "records"},
    {frame_kind::snapshot, "snapshot"},
    {frame_kind::heartbeat, "heartbeat"},
    {frame_kind::members, "members"},
    {frame_kind::refusal, "refusal"},
    {frame_kind::quarantine, "quarantine"},
}};

/// State that all links of a process share. Not thread-safe; the owner holds a lock.
struct sync_state {
    std::string node;
    std::string data_centre;
    sync_options options;
    config_store config;
    member_table members;
    quarantine_table quarantine;
    /// When the log was last read up to its end, by this node or by the reader that its configuration comes
    /// from.
    time_point log_end_read_at;
    bool log_end_ever_read = false;
    /// Links that count towards `sync_options::max_full_syncs`.
    std::size_t active_full_syncs = 0;
};

/// State of one bidirectional stream to another node. The next frame is derived from cursors into the shared
/// state, so a slow receiver delays only its own link and frames for it do not queue up in memory.
struct link_state {
    std::uint64_t id = 0;
    link_kind kind = link_kind::child;
    /// Whether the remote node opened the link.
    bool inbound = false;
    std::string remote_node;
    std::string remote_data_centre;
    bool hello_sent = false;
    bool hello_received = false;
    /// Reason to send in a refusal before the link closes; empty for none.
    std::string refusal;
    bool refusal_sent = false;

    /// The remote node holds, or was sent, all records before this offset.
    std::uint64_t sent_offset = 0;
    std::uint64_t remote_version = 0;
    std::uint64_t remote_next_offset = 0;
    /// The remote node reported an older offset on a link that does not push configuration by default.
    bool remote_behind = false;
    /// Last change of the member table that was sent.
    std::uint64_t member_cursor = 0;
    /// Last change of the quarantine table that was sent.
    std::uint64_t quarantine_cursor = 0;
    /// Entries from buckets whose digests differed, still to be sent.
    std::deque<member> pending_members;
    bool initial_members_sent = false;
    /// The remote node has sent all entries that differed when the link was established.
    bool initial_members_received = false;
    /// A heartbeat with the digest of each bucket of members is to be sent at once.
    bool send_digest = false;
    /// Consecutive heartbeats whose member digest differed from the local one.
    std::uint32_t digest_mismatches = 0;

    /// The link is counted in `sync_state::active_full_syncs`.
    bool in_full_sync = false;
    bool needs_snapshot = false;
    std::shared_ptr<const std::string> outgoing_snapshot;
    std::size_t outgoing_snapshot_position = 0;
    std::uint64_t outgoing_snapshot_offset = 0;
    std::string incoming_snapshot;
    std::uint32_t incoming_snapshot_chunks = 0;

    /// When the link counts as lost unless a frame arrives.
    time_point lease_deadline = no_deadline;
    time_point next_heartbeat;
    /// Changes are not sent before this time, so that they are batched.
    time_point next_batch;
};

/// Effects of handling a received frame.
struct frame_effects {
    bool config_changed = false;
    bool members_changed = false;
    bool quarantine_changed = false;
    bool close = false;
    /// Reason for closing the link; empty unless `close` is set.
    std::string reason;
};

/// The next frame to send on a link; nothing when none is due.
[[nodiscard]] std::optional<wire::Frame> next_frame(sync_state& state, link_state& link, time_point now);

/// Applies a received frame to the shared state and to the state of its link.
[[nodiscard]] frame_effects handle_frame(sync_state& state, link_state& link, const wire::Frame& frame,
                                         time_point now);

/// Ends a closing link's full synchronisation, so that it no longer counts towards the limit.
void release_link(sync_state& state, link_state& link);

/// The kind of a frame's content.
[[nodiscard]] frame_kind frame_kind_of(const wire::Frame& frame);

} // namespace pomeloloft
