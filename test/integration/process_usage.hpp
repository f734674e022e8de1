#pragma once

namespace pomeloloft::testing {

/// CPU time and resident memory of a process.
struct process_usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
};

/// Reads the usage of a process from `/proc`; all zero if the process does not exist.
[[nodiscard]] process_usage read_usage(int process_id);

} // namespace pomeloloft::testing
