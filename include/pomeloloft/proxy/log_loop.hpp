#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "pomeloloft/proxy/blackboard.hpp"

namespace pomeloloft {

/// The log thread: finds readers to join through, tails the configuration stream while this node is a reader,
/// and renews snapshots.
class log_loop {
public:
    /// @param found called with the control addresses of readers named in the log.
    log_loop(blackboard& shared, std::function<void(const std::vector<std::string>&)> found);
    log_loop(const log_loop&) = delete;
    log_loop& operator=(const log_loop&) = delete;
    ~log_loop();

    /// Starts the thread.
    void start();

    /// Ends the thread.
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
    time_point started_at;
    time_point next_scan;
    time_point next_announcement;
    time_point next_snapshot_check;
    milliseconds backoff{0};
    /// Newest announcements of readers, oldest first, and where the next one will stand.
    std::vector<log_record> announcements;
    std::uint64_t next_announcement_offset = 0;
    bool reached_log_end = false;
    std::thread thread;
};

/// Snapshots as they stand in the log, in chunks.
/// @return the records to append, in order.
[[nodiscard]] std::vector<std::string> snapshot_records(const std::string& id, std::uint64_t next_offset,
                                                        std::int64_t at_ms, const std::string& snapshot);

/// The newest whole and intact snapshot among records of the snapshot stream.
struct found_snapshot {
    fold_state state;
    std::int64_t at_ms = 0;
};

/// Where the snapshot of a record stands, without its content.
struct snapshot_position {
    std::uint64_t next_offset = 0;
    std::int64_t at_ms = 0;
};

/// The position of the newest record of the snapshot stream, whole or not.
[[nodiscard]] std::optional<snapshot_position> newest_position(const std::vector<log_record>& records);

/// Finds the newest snapshot whose chunks are all there and whose hash fits.
[[nodiscard]] std::optional<found_snapshot> newest_snapshot(const std::vector<log_record>& records);

} // namespace pomeloloft
