#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace pomeloloft::testing {

/// Time limit for hundreds of proxies on one machine to start or to converge.
inline constexpr milliseconds large_fleet_timeout{120'000};

/// Patch operations of a small change; the value depends on the version, so that each patch changes
/// something.
[[nodiscard]] nlohmann::json make_queue_change(std::int64_t version);

/// Kills and restarts half of the proxies at once and submits a change while they start.
/// @param version the version in force; incremented for each accepted change, as in all scenarios.
[[nodiscard]] nlohmann::json run_restart(fleet& f, std::int64_t& version);

/// Kills all log readers at once, submits a change and waits until the surviving proxies have it in force;
/// then starts the killed proxies again.
[[nodiscard]] nlohmann::json run_reader_crash(fleet& f, std::int64_t& version);

/// Makes the log unavailable for 10 s, then submits a change as soon as the log accepts one.
[[nodiscard]] nlohmann::json run_log_outage(fleet& f, std::int64_t& version);

/// Announces a target with a new service and port at every tenth proxy in turn, many times per second.
[[nodiscard]] nlohmann::json run_endpoint_churn(fleet& f, milliseconds window);

} // namespace pomeloloft::testing
