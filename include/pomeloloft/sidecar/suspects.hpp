#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Time after which a crash observation expires.
inline constexpr milliseconds crash_observation_retention{600'000};

/// Observation that a target crashed while it ran a request.
struct crash_observation {
    /// Result of `fingerprint_of` for the request.
    std::uint64_t fingerprint = 0;
    /// Identifies the crash: node, incarnation and number of the crash there.
    std::string crash;
    /// Time until the observation expires, which does not start anew when it is passed on.
    milliseconds time_left = crash_observation_retention;
};

/// A request that targets have responded to although others crashed while they ran it.
struct cleared_suspect {
    std::uint64_t fingerprint = 0;
    milliseconds time_left{0};
};

/// Parameters for detecting requests that crash targets.
struct crash_suspect_options {
    /// Number of crashes, without a response from any target, after which a request is refused.
    std::size_t quarantine_threshold = 3;
    /// Time for which observations of a cleared request are ignored.
    milliseconds clearance{30'000};
    /// Time for which an observation counts as new. New ones are shared without delay.
    milliseconds new_for{2'000};
    /// Maximum number of new observations in a message.
    std::size_t max_new_shared = 256;
    /// Maximum number of observations in a periodic message.
    std::size_t max_shared = 24;
    /// Maximum number of suspects tracked. When a target is lost for other reasons, each request in flight
    /// becomes a suspect.
    std::size_t max_tracked = 1024;
};

/// Which observations a message carries.
enum class observation_selection : std::uint8_t {
    /// Those learned within `crash_suspect_options::new_for`.
    recent,
    /// Those of the requests with the most crashes.
    most_crashes,
};

/// Tracks requests that appear to crash every target that runs them. Targets also crash for other reasons,
/// and then every request in flight is observed as a suspect; a response from any target clears a request.
/// Not synchronised.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspect_options limits = {}) : options(limits) {}

    /// Adds an observation made by this node or received from another. Ignored if the request was cleared.
    /// @return whether it was not known yet.
    bool add(const crash_observation& observation, time_point now);

    /// Clears a request because a target responded to it, as another node has seen.
    /// @return whether it was a suspect.
    bool clear(const cleared_suspect& request, time_point now);

    /// Clears a request because a target responded to it.
    /// @return whether it was a suspect.
    bool clear(std::uint64_t fingerprint, time_point now)
    {
        return this->suspects.contains(fingerprint) &&
               this->clear({fingerprint, this->options.clearance}, now);
    }

    /// Number of crashes observed for a request.
    [[nodiscard]] std::size_t crash_count(std::uint64_t fingerprint, time_point now) const;

    /// Whether a request must be refused.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const
    {
        return this->crash_count(fingerprint, now) >= this->options.quarantine_threshold;
    }

    /// Time for which a request must still be refused; zero if it is not quarantined.
    [[nodiscard]] milliseconds quarantine_left(std::uint64_t fingerprint, time_point now) const;

    /// Whether no suspects are tracked. Checked first to avoid computing a fingerprint.
    [[nodiscard]] bool empty() const { return this->suspects.empty(); }

    /// Number of suspects tracked.
    [[nodiscard]] std::size_t size() const { return this->suspects.size(); }

    /// Observations to share with peers.
    [[nodiscard]] std::vector<crash_observation> observations_to_share(observation_selection selection,
                                                                       time_point now) const;

    /// Observations of the quarantined requests that have crashed the target of a process.
    [[nodiscard]] std::vector<crash_observation> quarantined_by(std::string_view process,
                                                                time_point now) const;

    /// Cleared requests to share with peers, which may still hold observations of them.
    [[nodiscard]] std::vector<cleared_suspect> cleared_to_share(time_point now) const;

    /// Removes what has expired.
    void remove_expired(time_point now);

private:
    struct observed_crash {
        std::string crash;
        time_point learned_at;
        time_point expires_at;
    };
    using suspect = std::vector<observed_crash>;

    /// Removes the suspect with the fewest crashes, of these the one observed first.
    void remove_weakest();

    crash_suspect_options options;
    std::unordered_map<std::uint64_t, suspect> suspects;
    /// Expiry of each clearance.
    std::unordered_map<std::uint64_t, time_point> cleared;
};

/// Clears a request if a target's response shows that it does not crash targets.
/// @param status HTTP status of the response.
/// @return whether the request was a suspect until now.
bool clear_by_response(crash_suspects& suspects, std::uint64_t fingerprint, int status, time_point now);

/// What identifies a request to a target, apart from its id.
struct request_identity {
    /// Service on whose VM the request originated.
    std::string_view caller_service;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

/// Fingerprint that is equal for requests that differ only in their ids.
[[nodiscard]] std::uint64_t fingerprint_of(const request_identity& request);

} // namespace pomeloloft::sidecar
