#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "pomeloloft/proxy/blackboard.hpp"

namespace pomeloloft {

/// The log thread. Finds readers to join through, tails the configuration stream while this node is a reader,
/// and renews the snapshots in the log.
class log_loop {
public:
    /// @param on_found called with the control addresses of the readers announced in the log.
    log_loop(blackboard& shared, std::function<void(const std::vector<std::string>&)> on_found);
    log_loop(const log_loop&) = delete;
    log_loop& operator=(const log_loop&) = delete;
    ~log_loop();

    /// Starts the thread.
    void start();

    /// Waits for the thread to end; `blackboard::stopped` must be set before.
    void stop();

private:
    void run();
    result<log_bounds> read_reader_stream();
    void scan_readers(time_point now);
    void announce_reader(time_point now);
    void fetch_log_end();
    void record_log_end(std::uint64_t next_offset);
    void tail();
    bool apply_batch(const log_batch& batch);
    void recover_from_snapshot(const log_bounds& bounds);
    void renew_snapshot(time_point now);
    void pause(milliseconds time);
    void back_off();
    bool append(std::string_view stream, const std::string& data);

    blackboard& board;
    std::function<void(const std::vector<std::string>&)> on_readers_found;
    /// When this node may join without a reader if none is announced: its start plus jitter. If readers are
    /// announced, it may do so `join_timeout` later.
    time_point solo_join_at;
    time_point next_scan;
    time_point next_announcement;
    time_point next_snapshot_check;
    milliseconds backoff{0};
    /// The newest reader announcements, oldest first, and the offset of the next one.
    std::vector<log_record> announcements;
    std::uint64_t next_announcement_offset = 0;
    /// A read has returned no records, so later reads wait for new ones.
    bool reached_log_end = false;
    std::thread thread;
};

/// Encodes a snapshot as the records of the snapshot stream, one per chunk.
/// @return the records to append, in order.
[[nodiscard]] std::vector<std::string> snapshot_records(const std::string& id, std::uint64_t next_offset,
                                                        std::int64_t at_ms, const std::string& snapshot);

/// The newest complete and intact snapshot among records of the snapshot stream.
struct found_snapshot {
    fold_state state;
    /// When it was written, in Unix milliseconds.
    std::int64_t at_ms = 0;
};

/// The position of a snapshot, without its content.
struct snapshot_position {
    /// First offset of the configuration stream that the snapshot does not include.
    std::uint64_t next_offset = 0;
    /// When it was written, in Unix milliseconds.
    std::int64_t at_ms = 0;
};

/// The position of the snapshot in the newest record, whether that snapshot is complete or not.
[[nodiscard]] std::optional<snapshot_position> newest_position(const std::vector<log_record>& records);

/// Finds the newest snapshot that has all its chunks and a matching hash.
[[nodiscard]] std::optional<found_snapshot> newest_snapshot(const std::vector<log_record>& records);

} // namespace pomeloloft
