#pragma once

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.hpp"
#include "process_usage.hpp"

namespace pomeloloft::testing {

/// Metrics and resource usage of one proxy at one time.
struct sample {
    std::map<std::string, double> metrics;
    process_usage usage;
};

/// One sample per proxy, in the order of `fleet::nodes`.
using samples = std::vector<sample>;

/// Calls `work` with every index below `count`, on up to 16 threads, and waits until all calls have returned.
template <typename Work>
void parallel_for(std::size_t count, Work work)
{
    constexpr std::size_t max_workers = 16;
    std::atomic<std::size_t> next{0};
    std::vector<std::future<void>> workers;
    for (std::size_t w = 0; w < std::min(max_workers, count); ++w) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t i = next++; i < count; i = next++) {
                work(i);
            }
        }));
    }
    for (std::future<void>& worker : workers) {
        worker.get();
    }
}

/// Takes a sample of every proxy; up to 16 proxies are sampled concurrently.
[[nodiscard]] samples take_samples(const fleet& f);

/// Value of a metric in a sample; 0 when the sample does not contain it.
[[nodiscard]] double sample_metric(const sample& s, const std::string& name);

/// Mean, p50, p99 and maximum of the values as a JSON object; null when there are no values.
[[nodiscard]] nlohmann::json summary_statistics(std::vector<double> values);

/// CPU time, memory, links and control traffic between two samples, by role (reader, relay, leaf).
/// @param seconds the time between the samples.
[[nodiscard]] nlohmann::json usage_by_role(const samples& before, const samples& after, double seconds);

/// Control bytes sent by all proxies between two samples, by kind of frame. The counters of a restarted proxy
/// begin at 0, so a counter that has decreased contributes its whole value.
[[nodiscard]] nlohmann::json bytes_by_kind(const samples& before, const samples& after);

/// Reads the counters of the log stand-in.
[[nodiscard]] nlohmann::json log_counters(const fleet& f);

/// Increase of each counter of the log stand-in.
[[nodiscard]] nlohmann::json log_counter_deltas(const nlohmann::json& before, const nlohmann::json& after);

/// Whether every proxy has at least this version in force.
[[nodiscard]] bool all_reached_version(const fleet& f, std::int64_t version);

/// Prints a progress line to stderr.
void print_progress(const std::string& text);

} // namespace pomeloloft::testing
