#pragma once

#include <cstdint>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"

namespace pomeloloft {

/// Whether a request may be written to another node or to a target.
enum class dispatch_verdict : std::uint8_t {
    send,
    /// The caller has closed its connection.
    caller_gone,
    /// Targets have crashed while they ran the request.
    quarantined,
    /// The deadline has passed.
    expired,
};

/// Names of `dispatch_verdict` in metrics.
inline constexpr name_table<dispatch_verdict, 4> dispatch_verdict_names{{
    {dispatch_verdict::send, "send"},
    {dispatch_verdict::caller_gone, "caller-gone"},
    {dispatch_verdict::quarantined, "quarantined"},
    {dispatch_verdict::expired, "expired"},
}};

/// What a dispatch depends on. All of it may change while a request waits for a slot or a connection, so it
/// is determined immediately before each write.
struct dispatch_facts {
    bool caller_connected = true;
    bool quarantined = false;
    time_point deadline = no_deadline;
};

/// Decides whether a request may be written.
[[nodiscard]] dispatch_verdict decide_dispatch(const dispatch_facts& facts, time_point now);

} // namespace pomeloloft
