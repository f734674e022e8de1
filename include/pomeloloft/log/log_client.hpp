#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"

namespace pomeloloft {

/// Names of the log streams that pomeloloft uses.
inline constexpr std::string_view config_stream = "pomeloloft-config";
inline constexpr std::string_view snapshot_stream = "pomeloloft-snapshots";
inline constexpr std::string_view reader_stream = "pomeloloft-readers";

/// One record of a stream.
struct log_record {
    std::uint64_t offset = 0;
    std::string data;
};

/// Range of the offsets that a stream holds: `[oldest, next)`.
struct log_bounds {
    std::uint64_t oldest = 0;
    std::uint64_t next = 0;
};

/// Result of a read: the records, and the bounds of the stream at the time of the response.
struct log_batch {
    log_bounds bounds;
    std::vector<log_record> records;
};

/// Parameters of a read.
struct log_read_request {
    std::string_view stream;
    /// Offset of the first record to read.
    std::uint64_t from = 0;
    std::uint32_t max_records = 256;
    /// Until when a read past the end of the stream waits for a record.
    time_point wait_deadline;
    /// Time in which the log must have responded; the default of the client if it is not set.
    time_point response_deadline = no_deadline;
};

/// Client of the log service, as three operations. Errors: `unavailable`, `timeout` (an append may have taken
/// effect), `refused` (the rate limit of the log is exceeded; nothing was appended), `corrupt` (malformed or
/// incomplete response, or one of more than 64 MB; an append may have taken effect). A read whose records
/// exceed 64 MB returns fewer of them.
struct log_client {
    std::function<result<std::uint64_t>(std::string_view stream, std::string_view data)> append;
    std::function<result<log_batch>(const log_read_request& request)> read;
    std::function<result<log_bounds>(std::string_view stream)> bounds;
};

/// Creates a client that uses the HTTP interface of the log service.
/// @param address `host:port`.
[[nodiscard]] log_client make_http_log_client(const std::string& address);

} // namespace pomeloloft
