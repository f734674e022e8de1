#include "pomeloloft/traffic/choose.hpp"

#include <algorithm>
#include <vector>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

using candidates = std::vector<const endpoint*>;

bool was_tried(const endpoint& e, std::span<const std::string> tried)
{
    return std::find(tried.begin(), tried.end(), e.node) != tried.end();
}

/// Whether the request has been to another data centre in vain, which may be lost as a whole.
bool was_tried_far(const endpoint_choice_inputs& request)
{
    const std::vector<endpoint>& remote = request.target->remote;
    return std::any_of(remote.begin(), remote.end(),
                       [&request](const endpoint& e) { return was_tried(e, request.tried); });
}

/// Whether so many of a list are passed over that their failures are not their own.
bool too_few_are_left(const std::vector<endpoint>& list, const endpoint_choice_inputs& request,
                      const endpoint_choice_options& options)
{
    const auto ejected = std::count_if(list.begin(), list.end(),
                                       [&request](const endpoint& e) { return is_ejected(e, request.now); });
    return static_cast<std::size_t>(ejected) * 100 > list.size() * options.max_ejected_percent;
}

/// Endpoints that were not tried, and not passed over unless `all` are asked for.
candidates untried(const std::vector<endpoint>& list, const endpoint_choice_inputs& request, bool all)
{
    candidates out;
    for (const endpoint& e : list) {
        if (!was_tried(e, request.tried) && (all || !is_ejected(e, request.now))) {
            out.push_back(&e);
        }
    }
    return out;
}

candidates usable(const std::vector<endpoint>& list, const endpoint_choice_inputs& request,
                  const endpoint_choice_options& options)
{
    return untried(list, request, too_few_are_left(list, request, options));
}

struct scored {
    const endpoint* chosen = nullptr;
    double score = 0;
};

/// Now and then times are left out of account; the draws that pick the two must not decide this as well.
bool explores(const endpoint_choice_inputs& request, const endpoint_choice_options& options)
{
    constexpr std::uint64_t salt = 0x6578706c6f726521;
    return hash_combine(request.random, salt) % std::max(options.explore_one_in, 1U) == 0;
}

double answer_time(const endpoint& e)
{
    return e.load->response_time_us.load(std::memory_order_relaxed);
}

scored better_of_two(const candidates& from, const endpoint_choice_inputs& request,
                     const endpoint_choice_options& options)
{
    if (from.empty()) {
        return {};
    }
    const std::size_t first = (request.random & 0xffffffffU) % from.size();
    std::size_t second = (request.random >> 32U) % from.size();
    if (second == first) {
        second = (second + 1) % from.size();
    }
    const service& limits = request.target->limits;
    const double a = load_score(*from[first], limits, request.now, options);
    const double b = load_score(*from[second], limits, request.now, options);
    const bool timed = has_recent_response_time(*from[first]->load, request.now, options) &&
                       has_recent_response_time(*from[second]->load, request.now, options) &&
                       !explores(request, options);
    const bool second_is_better =
        timed ? b * answer_time(*from[second]) < a * answer_time(*from[first]) : b < a;
    return second_is_better ? scored{from[second], b} : scored{from[first], a};
}

} // namespace

double load_score(const endpoint& e, const service& limits, time_point now,
                  const endpoint_choice_options& options)
{
    const std::uint32_t own = e.load->in_flight.load(std::memory_order_relaxed);
    const std::uint32_t reported_load = e.load->reported_load.load(std::memory_order_relaxed);
    double trusted = 1.0;
    const auto age = static_cast<double>(remaining(now, e.serving_since).count());
    if (limits.slow_start_ms > 0 && age < limits.slow_start_ms) {
        trusted = std::max(options.cold_share, age / limits.slow_start_ms);
    }
    return (std::max(own, reported_load) + 1) / (limits.slots * trusted);
}

bool is_ejected(const endpoint& e, time_point now)
{
    return e.load->ejected_until.load(std::memory_order_relaxed) > now.time_since_epoch().count();
}

bool has_recent_response_time(const endpoint_load& load, time_point now,
                              const endpoint_choice_options& options)
{
    const time_point told{
        steady_clock::duration(load.response_time_updated_at.load(std::memory_order_relaxed))};
    return load.response_time_us.load(std::memory_order_relaxed) > 0 && now - told < options.time_memory;
}

const endpoint* choose_endpoint(const endpoint_choice_inputs& request, const endpoint_choice_options& options)
{
    const scored near = better_of_two(usable(request.target->local, request, options), request, options);
    if (near.chosen != nullptr && (near.score <= options.spill_load || was_tried_far(request))) {
        return near.chosen;
    }
    // A lost data centre's endpoints look idle: while there are others, those passed over stay so.
    const candidates beyond = near.chosen != nullptr ? untried(request.target->remote, request, false)
                                                     : usable(request.target->remote, request, options);
    const scored far = better_of_two(beyond, request, options);
    if (near.chosen == nullptr || (far.chosen != nullptr && far.score < near.score)) {
        return far.chosen;
    }
    return near.chosen;
}

void record_failure(endpoint_load& load, endpoint_failure failure, time_point now,
                    const endpoint_choice_options& options)
{
    const std::uint32_t failures = load.consecutive_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failure == endpoint_failure::unreachable || failures >= options.failures_to_eject) {
        const time_point until = now + options.ejection;
        load.ejected_until.store(until.time_since_epoch().count(), std::memory_order_relaxed);
    }
}

void apply_report(endpoint_load& load, const endpoint_report& report, time_point now)
{
    load.reported_load.store(report.load, std::memory_order_relaxed);
    if (report.response_time_us > 0) {
        load.response_time_us.store(report.response_time_us, std::memory_order_relaxed);
        load.response_time_updated_at.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    }
}

void record_success(endpoint_load& load)
{
    load.consecutive_failures.store(0, std::memory_order_relaxed);
    load.ejected_until.store(0, std::memory_order_relaxed);
}

} // namespace pomeloloft
