#include "pomeloloft/sidecar/quota_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace pomeloloft::sidecar {
namespace {

/// Smallest capacity in terms of the rate, for limits without a burst: credits accrue between two messages.
constexpr double min_capacity_s = 0.05;
/// Smallest capacity in credits: a fraction that accrues while a whole credit is left is not lost.
constexpr double min_capacity = 2.0;

double capacity_of(quota_limit limit)
{
    return std::max({limit.burst, limit.rate_per_s * min_capacity_s, min_capacity});
}

void refill(quota_bucket& bucket, quota_limit limit, time_point now)
{
    if (now > bucket.updated_at) {
        const double elapsed = std::chrono::duration<double>(now - bucket.updated_at).count();
        bucket.level += elapsed * limit.rate_per_s;
        bucket.updated_at = now;
    }
    bucket.level = std::min(bucket.level, capacity_of(limit));
}

} // namespace

quota_limit part_of(quota_limit whole, std::size_t parts)
{
    const auto divisor = static_cast<double>(std::max<std::size_t>(parts, 1));
    return {whole.rate_per_s / divisor, whole.burst / divisor};
}

quota_bucket make_bucket(quota_limit limit, time_point accrues_from, time_point now)
{
    quota_bucket out;
    out.updated_at = accrues_from;
    refill(out, limit, now);
    return out;
}

std::uint32_t grant(quota_bucket& bucket, quota_limit limit, std::uint32_t wanted, time_point now)
{
    refill(bucket, limit, now);
    const double granted = std::floor(std::min(bucket.level, static_cast<double>(wanted)));
    bucket.level -= granted;
    return static_cast<std::uint32_t>(granted);
}

void give_back(quota_bucket& bucket, quota_limit limit, std::uint32_t count, time_point now)
{
    refill(bucket, limit, now);
    bucket.level = std::min(bucket.level + count, capacity_of(limit));
}

bool is_full(quota_bucket& bucket, quota_limit limit, time_point now)
{
    refill(bucket, limit, now);
    return bucket.level >= capacity_of(limit);
}

quota_limit isolated_share(quota_limit whole, std::size_t nodes, std::size_t rank)
{
    const double most = std::max(1.0, std::floor(whole.rate_per_s));
    const auto sharers = static_cast<std::size_t>(std::min(most, static_cast<double>(nodes)));
    if (rank >= sharers) {
        return {};
    }
    // No burst: it is not known how much of it was used before the node was cut off.
    return {part_of(whole, sharers).rate_per_s, 0};
}

} // namespace pomeloloft::sidecar
