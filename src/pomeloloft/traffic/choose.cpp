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

/// Whether the request has failed in another data centre. That data centre may be lost as a whole.
bool has_failed_remotely(const endpoint_choice_inputs& inputs)
{
    const std::vector<endpoint>& remote = inputs.target->remote;
    return std::any_of(remote.begin(), remote.end(),
                       [&inputs](const endpoint& e) { return was_tried(e, inputs.tried); });
}

/// Whether so many endpoints of a list are ejected that the cause is not the endpoints themselves.
bool ignores_ejections(const std::vector<endpoint>& list, const endpoint_choice_inputs& inputs,
                       const endpoint_choice_options& options)
{
    const auto ejected = std::count_if(list.begin(), list.end(),
                                       [&inputs](const endpoint& e) { return is_ejected(e, inputs.now); });
    return static_cast<std::size_t>(ejected) * 100 > list.size() * options.max_ejected_percent;
}

/// Endpoints that this request has not been sent to. Ejected ones are left out unless `include_ejected` is
/// set.
candidates untried(const std::vector<endpoint>& list, const endpoint_choice_inputs& inputs,
                   bool include_ejected)
{
    candidates found;
    for (const endpoint& e : list) {
        if (!was_tried(e, inputs.tried) && (include_ejected || !is_ejected(e, inputs.now))) {
            found.push_back(&e);
        }
    }
    return found;
}

candidates usable(const std::vector<endpoint>& list, const endpoint_choice_inputs& inputs,
                  const endpoint_choice_options& options)
{
    return untried(list, inputs, ignores_ejections(list, inputs, options));
}

struct scored_endpoint {
    const endpoint* chosen = nullptr;
    double score = 0;
};

/// Whether this choice ignores response times. The random bits are hashed first, so that the result is
/// independent of the two draws that pick the endpoints.
bool ignores_response_times(const endpoint_choice_inputs& inputs, const endpoint_choice_options& options)
{
    constexpr std::uint64_t salt = 0x6578706c6f726521;
    return hash_combine(inputs.random, salt) % std::max(options.explore_one_in, 1U) == 0;
}

double response_time_of(const endpoint& e)
{
    return e.load->response_time_us.load(std::memory_order_relaxed);
}

scored_endpoint better_of_two(const candidates& from, const endpoint_choice_inputs& inputs,
                              const endpoint_choice_options& options)
{
    if (from.empty()) {
        return {};
    }
    const std::size_t first = (inputs.random & 0xffffffffU) % from.size();
    std::size_t second = (inputs.random >> 32U) % from.size();
    if (second == first) {
        second = (second + 1) % from.size();
    }
    const service& limits = inputs.target->limits;
    const double a = load_score(*from[first], limits, inputs.now, options);
    const double b = load_score(*from[second], limits, inputs.now, options);
    const bool compare_response_times = has_recent_response_time(*from[first]->load, inputs.now, options) &&
                                        has_recent_response_time(*from[second]->load, inputs.now, options) &&
                                        !ignores_response_times(inputs, options);
    const bool second_is_better =
        compare_response_times ? b * response_time_of(*from[second]) < a * response_time_of(*from[first])
                               : b < a;
    return second_is_better ? scored_endpoint{from[second], b} : scored_endpoint{from[first], a};
}

} // namespace

double load_score(const endpoint& e, const service& limits, time_point now,
                  const endpoint_choice_options& options)
{
    const std::uint32_t own_in_flight = e.load->in_flight.load(std::memory_order_relaxed);
    const std::uint32_t reported_load = e.load->reported_load.load(std::memory_order_relaxed);
    double slot_share = 1.0;
    const auto age = static_cast<double>(remaining(now, e.serving_since).count());
    if (limits.slow_start_ms > 0 && age < limits.slow_start_ms) {
        slot_share = std::max(options.initial_share, age / limits.slow_start_ms);
    }
    return (std::max(own_in_flight, reported_load) + 1) / (limits.slots * slot_share);
}

bool is_ejected(const endpoint& e, time_point now)
{
    return e.load->ejected_until.load(std::memory_order_relaxed) > now.time_since_epoch().count();
}

bool has_recent_response_time(const endpoint_load& load, time_point now,
                              const endpoint_choice_options& options)
{
    const time_point reported_at{
        steady_clock::duration(load.response_time_updated_at.load(std::memory_order_relaxed))};
    return load.response_time_us.load(std::memory_order_relaxed) > 0 &&
           now - reported_at < options.response_time_max_age;
}

const endpoint* choose_endpoint(const endpoint_choice_inputs& inputs, const endpoint_choice_options& options)
{
    const scored_endpoint local_choice =
        better_of_two(usable(inputs.target->local, inputs, options), inputs, options);
    if (local_choice.chosen != nullptr &&
        (local_choice.score <= options.spillover_load || has_failed_remotely(inputs))) {
        return local_choice.chosen;
    }
    // The endpoints of a lost data centre look idle, so ejected remote endpoints are used only if there is no
    // local one.
    const candidates remote_candidates = local_choice.chosen != nullptr
                                             ? untried(inputs.target->remote, inputs, false)
                                             : usable(inputs.target->remote, inputs, options);
    const scored_endpoint remote_choice = better_of_two(remote_candidates, inputs, options);
    if (local_choice.chosen == nullptr ||
        (remote_choice.chosen != nullptr && remote_choice.score < local_choice.score)) {
        return remote_choice.chosen;
    }
    return local_choice.chosen;
}

void record_failure(endpoint_load& load, endpoint_failure failure, time_point now,
                    const endpoint_choice_options& options)
{
    const std::uint32_t failures = load.consecutive_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failure == endpoint_failure::unreachable || failures >= options.failures_to_eject) {
        const time_point until = now + options.ejection_time;
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
