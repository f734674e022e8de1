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

/// How the connecting side uses a link.
enum class link_kind : std::uint8_t { child, peer };

/// Names of `link_kind` in logs and status output.
inline constexpr name_table<link_kind, 2> link_kind_names{{
    {link_kind::child, "child"},
    {link_kind::peer, "peer"},
}};

/// What a frame carries, for counting control bytes.
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

/// What all links of a process share. Not synchronised; its owner holds a lock.
struct sync_state {
    std::string node;
    std::string data_centre;
    sync_options options;
    config_store config;
    member_table members;
    quarantine_table quarantine;
    /// Last time the log's end was read, here or by the reader this node hears through.
    time_point log_end_read_at;
    bool log_end_ever_read = false;
    std::size_t full_syncs = 0;
};

/// One bidirectional stream to another node. What to send next follows from cursors into the shared state, so
/// a slow receiver holds back only itself and never a growing queue.
struct link_state {
    std::uint64_t id = 0;
    link_kind kind = link_kind::child;
    /// Whether the remote node opened it.
    bool inbound = false;
    std::string remote_node;
    std::string remote_data_centre;
    bool hello_sent = false;
    bool hello_received = false;
    /// A refusal to send before closing; empty for none.
    std::string refusal;
    bool refusal_sent = false;

    /// The remote holds, or was sent, everything before this offset.
    std::uint64_t sent_offset = 0;
    std::uint64_t remote_version = 0;
    std::uint64_t remote_next_offset = 0;
    /// The remote said it is behind, on a link that does not push by itself.
    bool remote_behind = false;
    std::uint64_t member_cursor = 0;
    std::uint64_t quarantine_cursor = 0;
    std::deque<member> pending_members;
    bool initial_members_sent = false;
    /// The remote has sent every entry that differed when the link began.
    bool initial_members_received = false;
    bool send_digest = false;
    std::uint32_t digest_mismatches = 0;

    bool full_sync = false;
    bool needs_snapshot = false;
    std::shared_ptr<const std::string> snapshot_out;
    std::size_t snapshot_out_position = 0;
    std::uint64_t snapshot_out_offset = 0;
    std::string snapshot_in;
    std::uint32_t snapshot_in_chunks = 0;

    time_point heard_deadline = no_deadline;
    time_point next_heartbeat;
    time_point next_batch;
};

/// What taking in a frame changed.
struct frame_effects {
    bool config_changed = false;
    bool members_changed = false;
    bool quarantine_changed = false;
    bool close = false;
    /// Why the link is to be closed.
    std::string reason;
};

/// The next frame to send on a link, or nothing for now.
[[nodiscard]] std::optional<wire::Frame> next_frame(sync_state& state, link_state& l, time_point now);

/// Takes in a frame.
[[nodiscard]] frame_effects take_frame(sync_state& state, link_state& l, const wire::Frame& frame,
                                       time_point now);

/// Gives back what a closing link holds of the shared limits.
void release_link(sync_state& state, link_state& l);

/// What a frame carries.
[[nodiscard]] frame_kind kind_of(const wire::Frame& frame);

} // namespace pomeloloft
