#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/error.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft::sidecar {

/// How far a roll-out has come.
enum class rollout_phase : std::uint8_t {
    /// The operator's order is known; nothing has been decided.
    ordered,
    running,
    completed,
    rolled_back,
};

/// Names of `rollout_phase` in messages, stored records, logs and the operator's status.
inline constexpr name_table<rollout_phase, 4> rollout_phase_names{{
    {rollout_phase::ordered, "ordered"},
    {rollout_phase::running, "running"},
    {rollout_phase::completed, "completed"},
    {rollout_phase::rolled_back, "rolled_back"},
}};

/// The operator's order to move a service's requests to targets of another version.
struct rollout_order {
    std::string service;
    std::string version;
    milliseconds duration{0};
    /// Position of the order among the operator's records; a later order has a higher one.
    std::uint64_t id = 0;
};

/// Shares of requests are stated in thousandths.
inline constexpr std::uint32_t full_share = 1000;

/// State of the newest roll-out of a service.
struct rollout {
    std::string service;
    std::string version;
    std::uint64_t order = 0;
    time_point started_at;
    time_point deadline = no_deadline;
    rollout_phase phase = rollout_phase::ordered;
    /// Increases with each decision written to the store.
    std::uint32_t revision = 0;
    /// Share of requests that targets of `version` get while the roll-out runs, in thousandths.
    std::uint32_t share = 0;
    /// Time of the last change of `share`.
    time_point changed_at;
    /// The version has proved bad and gets nothing more; the store may not yet know.
    bool halted = false;
    /// Node that wrote the last decision; empty before the first.
    std::string decider;
    /// Versions of earlier orders that were replaced before they completed.
    std::vector<std::string> excluded;
    /// Time until which messages to other sidecars include this state.
    time_point share_until = no_deadline;
};

/// Newest roll-out of each service.
using rollout_table = std::map<std::string, rollout>;

/// Whether no decision is left to make.
[[nodiscard]] bool is_final(const rollout& r);

/// Share of requests that targets of the ordered version get, in thousandths.
[[nodiscard]] std::uint32_t share_in_force(const rollout& r);

/// State of a roll-out when its order is read.
[[nodiscard]] rollout begin_rollout(const rollout_order& order, time_point now);

/// Merges a state into the table. The later order wins, then the higher revision; a halt is never undone.
/// The result does not depend on the sequence of merges.
/// @return whether the table has changed.
bool merge_rollout(rollout_table& table, const rollout& incoming, time_point now);

/// How the endpoints of a version are used.
enum class version_use : std::uint8_t {
    /// They get the requests that are not for the new version.
    current,
    /// They get the share of the new version.
    next,
    /// They get nothing while others are there.
    unused,
};

/// Use of the endpoints of `version` during a roll-out.
/// @param r null if the service has none.
[[nodiscard]] version_use use_of(const rollout* r, const std::string& version, time_point now);

/// When the versions of a service's targets were first seen.
struct seen_versions {
    std::map<std::string, time_point> first_seen;
};

/// Records the versions present now and forgets the others.
/// @return end of the time for which a version must wait for its order; nothing if none must.
std::optional<time_point> update_seen(seen_versions& seen, const std::vector<std::string>& present,
                                      time_point now);

/// Whether a version that joined beside others must still wait for an order that may be on its way.
[[nodiscard]] bool awaits_order(const seen_versions& seen, const std::string& version, time_point now);

/// Encodes a state as JSON; times are relative to `now`.
[[nodiscard]] std::string encode_rollout(const rollout& r, time_point now);

/// Decodes a state; errors name the field.
[[nodiscard]] result<rollout> decode_rollout(std::string_view text, time_point now);

} // namespace pomeloloft::sidecar
