#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Observation of a target that closed the connection while it ran a request.
struct crash_observation {
    /// Result of `fingerprint_of` for the request.
    std::uint64_t fingerprint = 0;
    /// Node whose target closed the connection.
    std::string node;
};

/// Parameters for detecting requests that crash targets.
struct crash_suspect_options {
    /// Number of nodes whose targets crashed, without a response from any target, after which a request is
    /// refused.
    std::size_t quarantine_threshold = 3;
    /// Time after which an observation expires.
    milliseconds retention{30'000};
    /// Maximum number of suspects shared with a peer at a time.
    std::size_t max_shared = 8;
    /// Maximum number of suspects tracked. Targets that are lost for other reasons produce many suspects for
    /// a short time.
    std::size_t max_tracked = 1024;
};

/// Tracks requests that appear to crash every target that runs them. Targets also crash for other reasons,
/// and then every request in flight is observed as a suspect; a response from any target clears a request.
/// Not synchronised.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspect_options limits = {}) : options(limits) {}

    /// Adds an observation made by this node or received from another.
    /// @return whether it was not known yet.
    bool add(const crash_observation& observation, time_point now);

    /// Clears a request because a target responded to it.
    void clear(std::uint64_t fingerprint) { this->suspects.erase(fingerprint); }

    /// Whether a request must be refused.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const;

    /// Whether no suspects are tracked. Checked first to avoid computing a fingerprint.
    [[nodiscard]] bool empty() const { return this->suspects.empty(); }

    /// Observations to share with peers, of the requests observed at the most nodes.
    [[nodiscard]] std::vector<crash_observation> observations_to_share(time_point now) const;

    /// Removes expired suspects.
    void remove_expired(time_point now);

private:
    struct suspect {
        std::vector<std::string> nodes;
        time_point expires_at;
    };

    crash_suspect_options options;
    std::unordered_map<std::uint64_t, suspect> suspects;
};

/// Fingerprint that is equal for requests that differ only in their ids.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view host, std::string_view target,
                                           std::string_view body);

} // namespace pomeloloft::sidecar
