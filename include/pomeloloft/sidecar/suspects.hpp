#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// A target that broke off while it ran a request.
struct crash_observation {
    /// `fingerprint_of` the request.
    std::uint64_t fingerprint = 0;
    /// The node whose target broke off.
    std::string node;
};

/// How requests come under suspicion.
struct crash_suspect_options {
    /// Nodes whose targets broke off, none of which answered, from which a request is refused.
    std::size_t quarantine_threshold = 3;
    /// Time a sighting counts.
    milliseconds retention{30'000};
    /// Suspects told to a peer at a time.
    std::size_t max_shared = 8;
    /// Suspects remembered; targets that are lost for other reasons bring many for a moment.
    std::size_t max_tracked = 1024;
};

/// Requests that seem to crash each target that runs them. Targets crash for other reasons too, and then all
/// that they run is seen to break off; an answer anywhere clears a request. Not synchronised.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspect_options limits = {}) : options(limits) {}

    /// Notes a sighting, of this node or told by another.
    void add(const crash_observation& observation, time_point now);

    /// Notes that a target answered the request.
    void clear(std::uint64_t fingerprint) { this->suspects.erase(fingerprint); }

    /// Whether a request is refused.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const;

    /// Whether there are any; asked before a fingerprint is computed.
    [[nodiscard]] bool empty() const { return this->suspects.empty(); }

    /// Sightings to tell others, of the requests seen at most nodes.
    [[nodiscard]] std::vector<crash_observation> observations_to_share(time_point now) const;

    /// Forgets what no longer counts.
    void expire(time_point now);

private:
    struct suspect {
        std::vector<std::string> nodes;
        time_point expires_at;
    };

    crash_suspect_options options;
    std::unordered_map<std::uint64_t, suspect> suspects;
};

/// Identifies requests that are the same but for their ids.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view host, std::string_view target,
                                           std::string_view body);

} // namespace pomeloloft::sidecar
