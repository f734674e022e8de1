#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// Classes of the time that a target needs for an answer; each is longer by a factor of the root of 2.
inline constexpr std::size_t time_classes = 26;

/// Answers of one target on one route since a roll-out began.
struct answer_counts {
    std::uint64_t answers = 0;
    /// Failures of the target among them.
    std::uint64_t failures = 0;
    /// Answers by the time that the target needed, without those of a target that is still starting.
    std::array<std::uint64_t, time_classes> times{};
};

/// Class of a time in `answer_counts::times`.
[[nodiscard]] std::size_t time_class_of(std::chrono::microseconds taken);

/// Counts by route.
using route_counts = std::map<std::string, answer_counts>;

/// Report of a target's sidecar. Counts are totals, so that a lost or repeated report does no harm and a new
/// decider soon knows what the last one knew.
struct rollout_report {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string version;
    /// The order that the counts belong to.
    std::uint64_t order = 0;
    /// Requests that run or wait at the target.
    std::uint32_t in_flight = 0;
    route_counts routes;
};

[[nodiscard]] std::string encode_report(const rollout_report& report);

/// Decodes a report; errors name the field.
[[nodiscard]] result<rollout_report> decode_report(std::string_view text);

/// What is known of one target.
struct target_evidence {
    std::string version;
    std::uint64_t incarnation = 0;
    std::uint32_t in_flight = 0;
    time_point heard_at;
    route_counts total;
    /// Totals of the sidecar's earlier processes.
    route_counts earlier;
    /// Totals at earlier times, oldest first, for the evidence of the last seconds.
    std::deque<std::pair<time_point, route_counts>> history;
};

/// Evidence about the versions of a service, by node.
struct rollout_evidence {
    std::uint64_t order = 0;
    std::map<std::string, target_evidence> targets;
};

/// Adds a report. Evidence of an earlier order is dropped; reports of an earlier one are ignored.
void add_report(rollout_evidence& evidence, const rollout_report& report, time_point now);

/// What is compared between versions.
enum class rollout_complaint : std::uint8_t { none, failures, slow };

/// Names of `rollout_complaint` in logs and metrics.
inline constexpr name_table<rollout_complaint, 3> rollout_complaint_names{{
    {rollout_complaint::none, "none"},
    {rollout_complaint::failures, "failures"},
    {rollout_complaint::slow, "slow"},
}};

/// Answers and the bad ones among them.
struct bad_share {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
};

/// Whether the next version has more bad answers than chance explains, and enough more to matter.
[[nodiscard]] bool is_worse(const bad_share& next, const bad_share& current);

/// Result of comparing a version with the others.
struct rollout_verdict {
    rollout_complaint complaint = rollout_complaint::none;
    /// Route on which the version is worse; empty if it is so over all.
    std::string route;
    bad_share next;
    bad_share current;
};

/// Compares a version with the others: over all routes and on each, since the order and in the last seconds.
/// The target with most bad answers of either side is left out where there are several, since one failing
/// target does not make a version bad.
[[nodiscard]] rollout_verdict judge(const rollout_evidence& evidence, const std::string& version,
                                    time_point now);

/// Targets heard of lately, and the requests at them.
struct rollout_coverage {
    std::uint32_t next_targets = 0;
    std::uint32_t current_targets = 0;
    std::uint32_t current_in_flight = 0;
};

[[nodiscard]] rollout_coverage coverage_of(const rollout_evidence& evidence, const std::string& version,
                                           time_point now);

} // namespace pomeloloft::sidecar
