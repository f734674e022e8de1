#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/names.hpp"

namespace pomeloloft::net {

/// Limits on the requests of one connection that are handled at the same time.
struct pipelining_limits {
    std::uint32_t max_in_progress = 16;
    /// Bytes of request bodies and of responses that wait for earlier ones.
    std::size_t max_held_bytes = 256U << 10U;
};

/// A complete request that was sent before the earlier ones of its connection were answered.
struct sent_ahead_facts {
    /// Whether this request, and each of those in progress, may be handled beside others.
    bool may_overlap = false;
    bool earlier_may_overlap = false;
    /// Whether the response to one of those in progress will close the connection.
    bool closes_before = false;
    /// Requests that were read and whose responses have not been written.
    std::uint32_t in_progress = 0;
    /// Bytes held by those in progress.
    std::size_t held_bytes = 0;
    std::size_t body_bytes = 0;
};

/// Whether a request that was sent ahead is started.
enum class start_verdict : std::uint8_t {
    start,
    /// When responses have been written.
    wait_for_room,
    /// When all earlier requests have been answered.
    wait_for_earlier,
    /// Never: the connection closes before its turn, and its client sends it again.
    unread,
};

inline constexpr name_table<start_verdict, 4> start_verdict_names{{
    {start_verdict::start, "start"},
    {start_verdict::wait_for_room, "wait-for-room"},
    {start_verdict::wait_for_earlier, "wait-for-earlier"},
    {start_verdict::unread, "unread"},
}};

/// Decides whether a request that was sent ahead is started now. It answers clients that send several
/// requests at once and would otherwise wait for the sum of their times.
[[nodiscard]] start_verdict decide_start(const sent_ahead_facts& facts, const pipelining_limits& limits);

/// How often requests that were sent ahead were handled beside earlier ones.
struct pipelining_counters {
    std::uint64_t started = 0;
    /// Requests in progress that were started beside earlier ones.
    std::uint32_t in_progress = 0;
    /// Times a connection reached one of its limits.
    std::uint64_t limit_reached = 0;
};

} // namespace pomeloloft::net
