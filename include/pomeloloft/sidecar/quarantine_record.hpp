#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/error.hpp"
#include "pomeloloft/sidecar/suspects.hpp"

namespace pomeloloft::sidecar {

/// Encodes the observations of quarantined requests as JSON for the platform's store, from which they are
/// read when the whole fleet has restarted.
/// @param now_ms time of day in Unix milliseconds, because a record outlives the steady clock of a process.
[[nodiscard]] std::string encode_quarantine(const std::vector<crash_observation>& observations,
                                            std::int64_t now_ms);

/// Whether observations include a crash that is not among those stored.
[[nodiscard]] bool has_new_crash(const std::vector<crash_observation>& observations,
                                 const std::vector<crash_observation>& stored);

/// Whether a stored record holds crashes of a request that is no longer quarantined, as a target has survived
/// it.
/// @param stored the observations when they were stored.
/// @param stored_at when they were stored; expired ones are left out.
[[nodiscard]] bool has_cleared_request(const std::vector<crash_observation>& observations,
                                       const std::vector<crash_observation>& stored, time_point stored_at,
                                       time_point now);

/// Decodes a record; expired observations are left out. Errors name the field.
[[nodiscard]] result<std::vector<crash_observation>> decode_quarantine(std::string_view text,
                                                                       std::int64_t now_ms);

} // namespace pomeloloft::sidecar
