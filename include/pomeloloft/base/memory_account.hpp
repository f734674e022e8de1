#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft {

/// What a client's connection does.
enum class client_phase : std::uint8_t {
    /// Between requests.
    idle,
    /// Its request is being read.
    reading,
    /// Its request waits for memory; the client is not read meanwhile.
    waiting,
    /// Its request is being handled.
    handling,
    /// Its response is being written.
    writing,
};

/// Time without progress after which a client counts as stalled. A lost packet is sent again within it.
inline constexpr milliseconds client_stall_time{500};
/// Bytes that a client moves to make progress. Fewer do not count, or single bytes would keep a connection.
inline constexpr std::uint64_t min_progress_bytes = 1024;

/// What a process may hold for its clients.
struct memory_limits {
    /// Bytes of requests, responses and buffers over all connections.
    std::uint64_t bytes = 0;
    std::size_t connections = 0;
};

/// Shares the memory that a process's settings give it: what the process needs for itself comes first, and a
/// quarter of the rest is left to the allocator and to what is not counted.
/// @param memory_mb memory of the process, in MB.
[[nodiscard]] std::uint64_t client_bytes_of(std::uint64_t memory_mb);

/// Number of client connections, from the file descriptors that the settings give to a process. A quarter is
/// left to listeners, peers, the target and the store.
/// @param descriptors_per_connection descriptors that a connection needs at most.
[[nodiscard]] std::size_t client_connections_of(std::uint64_t max_descriptors,
                                                std::size_t descriptors_per_connection);

/// One connection in a `memory_account`.
struct account_entry {
    client_phase phase = client_phase::idle;
    /// Bytes held for the connection.
    std::uint64_t bytes = 0;
    /// When the client last made progress, or its phase changed.
    time_point progressed_at;
    /// Bytes that the client has moved since.
    std::uint64_t moved_bytes = 0;
};

/// Counts the bytes that a process holds for its clients and decides which client gives way when they do not
/// suffice. Decides only; closing connections is left to the caller. Not thread-safe.
class memory_account {
public:
    explicit memory_account(memory_limits set) : limits(set) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// Adds a connection. `entry` must stay valid until `close`.
    void open(account_entry& entry, time_point now);

    /// Removes a connection and gives back all that it holds. Does nothing for one that is not open.
    void close(account_entry& entry);

    /// Whether the connection is open here.
    [[nodiscard]] bool is_open(account_entry& entry) const { return this->entries.contains(&entry); }

    void enter(account_entry& entry, client_phase phase, time_point now) const;

    /// Records bytes that the client has sent or received.
    void record_progress(account_entry& entry, std::uint64_t bytes, time_point now) const;

    /// Takes `bytes` for a connection if there is room.
    /// @return whether they were taken.
    [[nodiscard]] bool reserve(account_entry& entry, std::uint64_t bytes);

    /// Takes `bytes` that the connection holds already, whether or not there is room.
    void charge(account_entry& entry, std::uint64_t bytes);

    /// Gives back bytes of a connection, at most what it holds.
    void release(account_entry& entry, std::uint64_t bytes);

    /// Whether `bytes` would have room if nothing else was held.
    [[nodiscard]] bool could_fit(std::uint64_t bytes) const { return bytes <= this->limits.bytes; }

    [[nodiscard]] bool is_overdrawn() const { return this->held_bytes > this->limits.bytes; }

    [[nodiscard]] bool has_room_for_connection() const
    {
        return this->entries.size() < this->limits.connections;
    }

    /// The connection that gives way to a new one: the one without progress for longest, of those whose
    /// request is neither handled nor waiting; null if there is none.
    [[nodiscard]] account_entry* least_recent() const;

    /// The connection that loses what it holds to others: the one without progress for longest, of those that
    /// hold bytes and are stalled; null if there is none.
    [[nodiscard]] account_entry* stalled_holder(time_point now) const;

    /// The connection in the middle of a request or response that has not made progress for longest, at least
    /// for `stall_time`; null if there is none.
    [[nodiscard]] account_entry* stalled_request(time_point now, milliseconds stall_time) const;

    /// When the next connection that holds bytes is stalled, unless it makes progress; `no_deadline` if none
    /// can be.
    [[nodiscard]] time_point next_stall() const;

    [[nodiscard]] std::uint64_t bytes() const { return this->held_bytes; }
    [[nodiscard]] std::size_t connections() const { return this->entries.size(); }

    const memory_limits limits;

private:
    std::unordered_set<account_entry*> entries;
    std::uint64_t held_bytes = 0;
};

} // namespace pomeloloft
