#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// Progress of an attempt at the proxy of its target.
enum class attempt_state : std::uint8_t {
    /// Did not run and is barred from running later.
    fenced,
    /// Arrived and waiting for a slot.
    waiting,
    started,
    finished,
};

/// Names of `attempt_state` in responses to a fence request.
inline constexpr name_table<attempt_state, 4> attempt_state_names{{
    {attempt_state::fenced, "fenced"},
    {attempt_state::waiting, "waiting"},
    {attempt_state::started, "started"},
    {attempt_state::finished, "finished"},
}};

/// Records attempts so that a proxy that lost a response can ask whether its request ran and, if it did not,
/// bar it from running (fencing). Thread-safe.
class attempt_registry {
public:
    /// Records that an attempt has arrived.
    /// @return false if it was fenced or has arrived before; it must not run then.
    [[nodiscard]] bool record_arrival(const std::string& id);

    /// Records that an attempt is about to be sent to its target.
    /// @return false if it was fenced; it must not run then.
    [[nodiscard]] bool begin(const std::string& id);

    /// Records that an attempt has ended.
    /// @param ran whether any part of it reached the target.
    void finish(const std::string& id, bool ran);

    /// Bars an attempt that has not arrived yet from running.
    /// @param include_waiting whether to bar an attempt that waits for a slot, too.
    /// @return the state of the attempt after the call.
    attempt_state fence(const std::string& id, bool include_waiting);

private:
    /// Stores the state of an attempt and drops expired entries.
    void store_state(const std::string& id, attempt_state state);

    std::mutex mutex;
    std::unordered_map<std::string, attempt_state> states;
    struct expiring_id {
        std::string id;
        time_point expires_at;
    };
    std::deque<expiring_id> expiry_order;
};

} // namespace pomeloloft
