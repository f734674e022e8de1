#pragma once

#include <cstddef>
#include <cstdint>

#include "pomeloloft/base/clock.hpp"

namespace pomeloloft::sidecar {

/// Limit of an organisation's requests, or a part of it.
struct quota_limit {
    /// Requests per second; 0 for no limit.
    double rate_per_s = 0;
    /// Requests beyond the rate that may arrive at once.
    double burst = 0;
};

/// Parameters of the quotas of the whole fleet.
struct quota_options {
    /// Nodes that each grant an equal part of an organisation's limit.
    std::size_t holders = 3;
    /// Time after the message that asked for a credit until which the credit may be used.
    milliseconds credit_lifetime{450};
    /// Time after which a node that has become a holder begins to grant: until then, nodes that do not know
    /// it may still get credits from its predecessor.
    milliseconds handover{500};
    /// Need for which a node holds credits.
    milliseconds prefetch{250};
    /// Unused credits are given back this long before they expire.
    milliseconds return_margin{150};
    /// Interval of the messages of a node while the holders have less than it needs.
    milliseconds limited_interval{150};
    /// Time without a response of any holder after which a node uses its share of the limit. Until then the
    /// holders have found it unreachable and reduced what they grant.
    milliseconds isolation{3000};
};

/// One of `parts` equal parts of a limit.
[[nodiscard]] quota_limit part_of(quota_limit whole, std::size_t parts);

/// Credits that a holder can grant of its part of a limit: a token bucket. It refills with time only, so that
/// a restarted process does not grant again what its predecessor granted.
struct quota_bucket {
    double level = 0;
    /// Time up to which `level` accounts for the rate; in the future while the holder may not grant yet.
    time_point updated_at;
};

/// Returns a bucket that was empty at `accrues_from`.
[[nodiscard]] quota_bucket make_bucket(quota_limit limit, time_point accrues_from, time_point now);

/// Takes up to `wanted` credits.
/// @param limit limit in force; a changed one applies from now on.
/// @return the number of credits granted.
[[nodiscard]] std::uint32_t grant(quota_bucket& bucket, quota_limit limit, std::uint32_t wanted,
                                  time_point now);

/// Returns credits that were granted and not used.
void give_back(quota_bucket& bucket, quota_limit limit, std::uint32_t count, time_point now);

/// Whether the bucket is full, so that it can be removed and made again later.
[[nodiscard]] bool is_full(quota_bucket& bucket, quota_limit limit, time_point now);

/// Share of a limit for a node that no holder responds to, such that the shares of all nodes add up to the
/// limit.
/// @param rank position of the node in an order of all nodes that they agree on.
/// @return a rate of 0 for nodes without a share, where there are more nodes than requests per second.
[[nodiscard]] quota_limit isolated_share(quota_limit whole, std::size_t nodes, std::size_t rank);

} // namespace pomeloloft::sidecar
