#include "pomeloloft/sidecar/run_limit.hpp"

#include <algorithm>

namespace pomeloloft::sidecar {
namespace {

constexpr double decrease_factor = 0.5;
/// Without a limit of one run, the route would never be seen to recover.
constexpr double min_limit = 1.0;

} // namespace

double grown_limit(const run_limit& limit, std::chrono::microseconds service_time, time_point now)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const auto age_us = static_cast<double>(duration_cast<microseconds>(now - limit.lowered_at).count());
    return limit.lowered_to + age_us / static_cast<double>(std::max(service_time, microseconds{1}).count());
}

void run_limits::record_refused_call(const std::string& route, std::uint32_t slots,
                                     std::chrono::microseconds service_time, time_point now)
{
    const double all_slots = std::max(slots, 1U);
    const auto found = this->limits.find(route);
    if (found == this->limits.end()) {
        this->limits[route] = {std::max(min_limit, all_slots * decrease_factor), now};
        return;
    }
    if (now < found->second.lowered_at + service_time) {
        return;
    }
    const double current = std::min(all_slots, grown_limit(found->second, service_time, now));
    found->second = {std::max(min_limit, current * decrease_factor), now};
}

bool run_limits::admits(const std::string& route, std::uint32_t running, std::uint32_t slots,
                        std::chrono::microseconds service_time, time_point now) const
{
    if (this->limits.empty()) {
        return true;
    }
    const auto found = this->limits.find(route);
    if (found == this->limits.end()) {
        return true;
    }
    const double limit = grown_limit(found->second, service_time, now);
    return limit >= slots || running + 1 <= limit;
}

void run_limits::sweep(std::uint32_t slots, std::chrono::microseconds service_time, time_point now)
{
    std::erase_if(this->limits,
                  [&](const auto& entry) { return grown_limit(entry.second, service_time, now) >= slots; });
}

} // namespace pomeloloft::sidecar
