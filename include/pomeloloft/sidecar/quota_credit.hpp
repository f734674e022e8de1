#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/sidecar/quota_bucket.hpp"

namespace pomeloloft::sidecar {

/// One credit, which admits one request.
struct quota_token {
    /// Node that granted it; empty for a credit of the node's own share.
    std::string holder;
    time_point expires_at;
};

/// Credits that were granted together.
struct credit_batch {
    quota_token token;
    std::uint32_t count = 0;
};

/// Credits that a node holds for one organisation, and its need for them.
struct quota_credit {
    std::vector<credit_batch> batches;
    /// Smoothed arrival rate of the organisation's requests at this node, as of `last_arrival`.
    double arrivals_per_s = 0;
    time_point last_arrival;
    /// Requests that wait for a credit.
    std::uint32_t waiting = 0;
    /// Whether a message to a holder is under way.
    bool asking = false;
    /// Whether the holders had less than this node needed when it asked last.
    bool limited = false;
    /// Until this time, no holder is asked while `limited`.
    time_point next_ask;
    /// Holders asked in turn since the need arose.
    std::size_t asked = 0;
    /// Position of the holder that is asked next.
    std::size_t next_holder = 0;
};

/// Records the arrival of a request.
void record_arrival(quota_credit& credit, time_point now);

/// Uses the credit that expires first.
/// @return nothing if none is left.
[[nodiscard]] std::optional<quota_token> spend(quota_credit& credit, time_point now);

/// Returns the credit of a request that was refused before it ran. A credit that has expired is dropped, as
/// it would admit a request outside the time for which it was granted.
void give_back(quota_credit& credit, const quota_token& token, time_point now);

/// Number of credits held.
[[nodiscard]] std::uint32_t held(const quota_credit& credit, time_point now);

/// Number of credits to ask for; 0 while enough are held.
[[nodiscard]] std::uint32_t wanted(const quota_credit& credit, time_point now, const quota_options& options);

/// Whether a request that finds no credit is refused without asking a holder.
[[nodiscard]] bool is_refused(const quota_credit& credit, time_point now);

/// Adds granted credits.
/// @param asked_at time at which the message to the holder was sent.
void add_grant(quota_credit& credit, const std::string& holder, std::uint32_t count, time_point asked_at,
               const quota_options& options);

/// Records the response of a holder, or that none came.
/// @param asked_for number of credits that the message asked for.
/// @param holders number of holders. While the limit binds, only one is asked at a time, so that the messages
/// do not grow with the excess.
/// @return whether the next holder is asked at once.
[[nodiscard]] bool record_answer(quota_credit& credit, std::uint32_t asked_for, std::uint32_t granted,
                                 std::size_t holders, time_point now, const quota_options& options);

/// Whether credits of a holder are about to expire unused.
[[nodiscard]] bool has_unused(const quota_credit& credit, const std::string& holder, time_point now,
                              const quota_options& options);

/// Removes the credits of a holder that are about to expire unused.
/// @return their number, to be given back.
[[nodiscard]] std::uint32_t take_unused(quota_credit& credit, const std::string& holder, time_point now,
                                        const quota_options& options);

/// Whether nothing would be lost with the state.
[[nodiscard]] bool is_idle(const quota_credit& credit, time_point now);

} // namespace pomeloloft::sidecar
