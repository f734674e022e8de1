#include "pomeloloft/sidecar/choose.hpp"

#include <algorithm>
#include <cmath>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr double bytes_per_kb = 1024.0;
constexpr double us_per_ms = 1000.0;

bool was_tried(const candidate& c, std::span<const std::string> tried)
{
    return std::find(tried.begin(), tried.end(), c.node) != tried.end();
}

/// A factor around 1 drawn for one endpoint and one request.
double jitter_of(std::size_t position, const choice& request, double spread)
{
    constexpr double most = static_cast<double>(UINT64_MAX);
    const auto draw = static_cast<double>(hash_combine(request.random, position)) / most;
    return 1.0 + spread * (2.0 * draw - 1.0);
}

/// How much of what was told still counts, when it is forgotten evenly over `memory`.
double freshness_of(const endpoint_load& load, time_point now, milliseconds memory)
{
    const auto age = static_cast<double>(remaining(now, load.told_at).count());
    return std::max(0.0, 1.0 - age / static_cast<double>(memory.count()));
}

double service_ms_of(const endpoint_load& load, const choice_options& options)
{
    return load.service_us > 0 ? load.service_us / us_per_ms : options.default_service_ms;
}

double share_of(std::uint32_t percent)
{
    constexpr double whole = 100.0;
    return percent / whole;
}

double failing_ms_of(const endpoint_load& load, time_point now, const choice_options& options)
{
    constexpr int failed_power = 3;
    constexpr int rejected_power = 4;
    const double failed = options.failing_ms * std::pow(share_of(load.failed_percent), failed_power);
    const double rejected = options.rejecting_ms * std::pow(share_of(load.rejected_percent), rejected_power);
    return (failed + rejected) * freshness_of(load, now, options.failure_memory);
}

double usual_service_ms(std::span<const candidate> from, const choice_options& options)
{
    // None tells it before its first answer; one taken to be fast until then would be sent too much.
    double total_us = 0;
    std::size_t known = 0;
    for (const candidate& c : from) {
        total_us += c.load->service_us;
        known += c.load->service_us > 0 ? 1 : 0;
    }
    return known > 0 ? total_us / us_per_ms / static_cast<double>(known) : options.default_service_ms;
}

/// Expected wait for a slot, in milliseconds.
double expected_wait_ms(const candidate& c, time_point now, const choice_options& options)
{
    const double slots = std::max(c.load->slots, 1U);
    const double excess = std::max(0.0, believed_load(*c.load, now, options) + 1 - slots);
    return excess * service_ms_of(*c.load, options) / slots;
}

const candidate* best_of(const choice& request, const choice_options& options, bool avoided)
{
    const candidate* best = nullptr;
    double best_ms = 0;
    for (std::size_t i = 0; i < request.from.size(); ++i) {
        const candidate& c = request.from[i];
        if (was_tried(c, request.tried) || (c.load->avoid_until > request.now) != avoided) {
            continue;
        }
        const double ms = expected_ms(c, request, options) * jitter_of(i, request, options.jitter);
        if (best == nullptr || ms < best_ms) {
            best = &c;
            best_ms = ms;
        }
    }
    return best;
}

} // namespace

double believed_load(const endpoint_load& load, time_point now, const choice_options& options)
{
    const double told = (load.told + load.sent_since) * freshness_of(load, now, options.load_memory);
    return std::max<double>(load.in_flight, told);
}

double expected_ms(const candidate& c, const choice& request, const choice_options& options)
{
    const endpoint_load& load = *c.load;
    const double service = service_ms_of(load, options);
    const double slots = std::max(load.slots, 1U);
    const double wait = expected_wait_ms(c, request.now, options);
    const double busy = std::min(1.0, believed_load(load, request.now, options) / slots);
    double distance = c.own ? 0.0 : options.peer_ms;
    const double kb = static_cast<double>(request.body_bytes) / bytes_per_kb;
    if (!c.own) {
        distance +=
            options.peer_ms_per_kb * kb + load.link_ms * freshness_of(load, request.now, options.load_memory);
    }
    if (!c.own && !c.same_data_centre) {
        distance += options.far_ms + options.far_ms_per_kb * kb;
    }
    const double failing = failing_ms_of(load, request.now, options);
    return wait + service * (1.0 + options.busy_share * busy) + distance + failing;
}

chosen_endpoint choose(const choice& request, const choice_options& options)
{
    choice_options usual = options;
    usual.default_service_ms = usual_service_ms(request.from, options);
    const candidate* best = best_of(request, usual, false);
    if (best == nullptr) {
        best = best_of(request, usual, true);
    }
    if (best == nullptr) {
        return {};
    }
    return {best, milliseconds(static_cast<std::int64_t>(expected_wait_ms(*best, request.now, usual)))};
}

void note_failure(endpoint_load& load, time_point now, const choice_options& options)
{
    constexpr std::uint32_t most_doublings = 5;
    const auto pause = options.avoid_first * (1U << std::min(load.failures, most_doublings));
    load.avoid_until = now + std::min(pause, options.avoid_most);
    ++load.failures;
}

void note_success(endpoint_load& load)
{
    load.failures = 0;
    load.avoid_until = {};
}

void note_load(endpoint_load& load, const load_report& told, time_point now)
{
    load.told = told.running + told.waiting;
    load.sent_since = 0;
    load.slots = std::max(told.slots, 1U);
    load.service_us = told.service_us;
    load.link_ms = told.link_ms;
    load.failed_percent = told.failed_percent;
    load.rejected_percent = told.rejected_percent;
    load.told_at = now;
}

} // namespace pomeloloft::sidecar
