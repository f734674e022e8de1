#include "pomeloloft/sidecar/choose.hpp"

#include <algorithm>
#include <cmath>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/traffic/smoothed_time.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr double bytes_per_kb = 1024.0;
constexpr double us_per_ms = 1000.0;

bool was_tried(const candidate& c, std::span<const std::string> tried)
{
    return std::find(tried.begin(), tried.end(), c.node) != tried.end();
}

/// Random cost factor around 1, drawn per endpoint and request.
double jitter_of(std::size_t position, const choice_request& request, double spread)
{
    constexpr double max_draw = static_cast<double>(UINT64_MAX);
    const auto draw = static_cast<double>(hash_combine(request.random, position)) / max_draw;
    return 1.0 + spread * (2.0 * draw - 1.0);
}

/// Weight of the last load report at `now`, decaying linearly from 1 to 0 over `decay_time`.
double decay_factor(const endpoint_load& load, time_point now, milliseconds decay_time)
{
    const auto age = static_cast<double>(remaining(now, load.reported_at).count());
    return std::max(0.0, 1.0 - age / static_cast<double>(decay_time.count()));
}

/// An estimate that moves from the last report to what is assumed without one, as the report ages.
double aged_estimate(double reported, double assumed, double current)
{
    return reported * current + assumed * (1.0 - current);
}

double service_ms_of(const endpoint_load& load, time_point now, const choice_options& options)
{
    if (load.service_us == 0) {
        return options.default_service_ms;
    }
    const double current = decay_factor(load, now, options.failure_decay_time);
    return aged_estimate(load.service_us / us_per_ms, options.default_service_ms, current);
}

double fraction_of(std::uint32_t percent)
{
    constexpr double percent_scale = 100.0;
    return percent / percent_scale;
}

/// Time that a caller is expected to lose because the target fails or rejects the request.
double lost_ms_of(const endpoint_load& load, const choice_request& request, const choice_options& options)
{
    // A failed run may not be repeated, or not in time, so the caller loses all the time that it has left. A
    // rejected request is sent to other endpoints, about one after the other until one accepts it.
    constexpr double max_rejected = 0.99;
    const double current = decay_factor(load, request.now, options.failure_decay_time);
    const double failed = fraction_of(load.failed_percent) * current;
    const double rejected = std::min(max_rejected, fraction_of(load.rejected_percent) * current);
    const auto left_ms = static_cast<double>(remaining(request.deadline, request.now).count());
    return failed * left_ms + rejected / (1.0 - rejected) * options.default_service_ms;
}

/// Mean service time by the load reports, weighted by how recent they are.
double mean_service_ms(std::span<const candidate> candidates, time_point now, const choice_options& options)
{
    // An endpoint reports no service time before its first response. Assuming that it is fast until then
    // would send it too many requests.
    double total_us = 0;
    double weight = 0;
    for (const candidate& c : candidates) {
        const double current =
            c.load->service_us > 0 ? decay_factor(*c.load, now, options.failure_decay_time) : 0.0;
        total_us += c.load->service_us * current;
        weight += current;
    }
    return weight > 0 ? total_us / us_per_ms / weight : options.default_service_ms;
}

/// Slots of an endpoint; one that has not reported yet is assumed to have the mean of the others.
double slots_of(const endpoint_load& load, const choice_options& options)
{
    return load.reported_at == time_point{} ? options.default_slots : std::max(load.slots, 1U);
}

double mean_slots(std::span<const candidate> candidates)
{
    double total = 0;
    std::size_t known = 0;
    for (const candidate& c : candidates) {
        const bool has_reported = c.load->reported_at != time_point{};
        total += has_reported ? std::max(c.load->slots, 1U) : 0;
        known += has_reported ? 1 : 0;
    }
    return known > 0 ? total / static_cast<double>(known) : 1.0;
}

/// Mean load per slot of all endpoints, as far as recent load reports state it. Endpoints that were not heard
/// of count as idle, so that a sender which knows only busy ones asks the others.
double mean_load_per_slot(std::span<const candidate> candidates, time_point now,
                          const choice_options& options)
{
    double load_per_slot = 0;
    for (const candidate& c : candidates) {
        const double slots = slots_of(*c.load, options);
        load_per_slot += c.load->reported_load / slots * decay_factor(*c.load, now, options.load_decay_time);
    }
    return candidates.empty() ? 0.0 : load_per_slot / static_cast<double>(candidates.size());
}

/// Shortest network time to the endpoints of the same or of other data centres; zero when none is known.
double min_network_ms(std::span<const candidate> candidates, bool same_data_centre)
{
    std::uint32_t min_us = 0;
    for (const candidate& c : candidates) {
        const bool counts = c.same_data_centre == same_data_centre && c.load->network_us > 0;
        if (counts && (min_us == 0 || c.load->network_us < min_us)) {
            min_us = c.load->network_us;
        }
    }
    return min_us / us_per_ms;
}

/// Time that a request and its response spend on the network, without the transfer of the request's body.
double network_ms_of(const candidate& c, time_point now, const choice_options& options)
{
    if (c.is_own_target) {
        return 0.0;
    }
    // A delay of the past must not keep an endpoint from being measured again.
    const double assumed =
        c.same_data_centre ? options.default_local_network_ms : options.default_remote_network_ms;
    const double current = c.load->network_us > 0 ? decay_factor(*c.load, now, options.load_decay_time) : 0.0;
    return aged_estimate(c.load->network_us / us_per_ms, assumed, current);
}

/// Time to transfer the body of a request, and to wait for the link of the endpoint's VM.
double transfer_ms_of(const candidate& c, const choice_request& request, const choice_options& options)
{
    if (c.is_own_target) {
        return 0.0;
    }
    const double kb = static_cast<double>(request.body_bytes) / bytes_per_kb;
    return options.transfer_ms_per_kb * kb +
           c.load->link_ms * decay_factor(*c.load, request.now, options.load_decay_time);
}

/// Expected wait for a slot, in milliseconds.
double expected_wait_ms(const candidate& c, time_point now, const choice_options& options)
{
    const double slots = slots_of(*c.load, options);
    const double excess = std::max(0.0, estimated_load(*c.load, now, options) + 1 - slots);
    return excess * service_ms_of(*c.load, now, options) / slots;
}

/// An endpoint and its cost, by which endpoints are compared.
struct ranked_endpoint {
    const candidate* endpoint = nullptr;
    double cost_ms = 0;
};

/// Best endpoint among those that were not tried, apart from `except`.
ranked_endpoint best_of(const choice_request& request, const choice_options& options, bool in_backoff,
                        const candidate* except = nullptr)
{
    ranked_endpoint best;
    for (std::size_t i = 0; i < request.candidates.size(); ++i) {
        const candidate& c = request.candidates[i];
        const bool is_excluded = &c == except || was_tried(c, request.tried);
        if (is_excluded || (c.load->backoff_until > request.now) != in_backoff) {
            continue;
        }
        const double cost_ms = expected_cost_ms(c, request, options) * jitter_of(i, request, options.jitter);
        if (best.endpoint == nullptr || cost_ms < best.cost_ms) {
            best = {&c, cost_ms};
        }
    }
    return best;
}

/// Rounded up, so that a gate whose wait is as expected does not refuse for a fraction of a millisecond.
milliseconds to_milliseconds(double ms)
{
    return milliseconds(static_cast<std::int64_t>(std::ceil(ms)));
}

chosen_endpoint describe_choice(const choice_request& request, const choice_options& options,
                                const ranked_endpoint& best, const ranked_endpoint& second)
{
    const candidate& c = *best.endpoint;
    const double wait = expected_wait_ms(c, request.now, options);
    chosen_endpoint out{&c, to_milliseconds(wait), std::nullopt};
    if (second.endpoint != nullptr) {
        const double refusal = network_ms_of(c, request.now, options);
        out.max_wait = to_milliseconds(wait + second.cost_ms - best.cost_ms + refusal);
    }
    return out;
}

} // namespace

double estimated_load(const endpoint_load& load, time_point now, const choice_options& options)
{
    const double current = decay_factor(load, now, options.load_decay_time);
    const double assumed = options.default_load_per_slot * slots_of(load, options);
    const double reported = load.reported_load + load.sent_since_report;
    return std::max<double>(load.in_flight, aged_estimate(reported, assumed, current));
}

double expected_response_ms(const candidate& c, const choice_request& request, const choice_options& options)
{
    return expected_wait_ms(c, request.now, options) + service_ms_of(*c.load, request.now, options) +
           network_ms_of(c, request.now, options) + transfer_ms_of(c, request, options);
}

double expected_cost_ms(const candidate& c, const choice_request& request, const choice_options& options)
{
    const double slots = slots_of(*c.load, options);
    const double busy = std::min(1.0, estimated_load(*c.load, request.now, options) / slots);
    const double delay_of_next = busy * service_ms_of(*c.load, request.now, options) / slots;
    return expected_response_ms(c, request, options) + delay_of_next + lost_ms_of(*c.load, request, options);
}

chosen_endpoint choose(const choice_request& request, const choice_options& options)
{
    choice_options with_means = options;
    with_means.default_service_ms = mean_service_ms(request.candidates, request.now, options);
    with_means.default_local_network_ms = min_network_ms(request.candidates, true);
    with_means.default_remote_network_ms = min_network_ms(request.candidates, false);
    with_means.default_slots = mean_slots(request.candidates);
    with_means.default_load_per_slot = mean_load_per_slot(request.candidates, request.now, with_means);
    bool in_backoff = false;
    ranked_endpoint best = best_of(request, with_means, in_backoff);
    if (best.endpoint == nullptr) {
        in_backoff = true;
        best = best_of(request, with_means, in_backoff);
    }
    if (best.endpoint == nullptr) {
        return {};
    }
    return describe_choice(request, with_means, best,
                           best_of(request, with_means, in_backoff, best.endpoint));
}

void record_endpoint_failure(endpoint_load& load, time_point now, const choice_options& options)
{
    constexpr std::uint32_t max_doublings = 5;
    const auto pause = options.initial_backoff * (1U << std::min(load.consecutive_failures, max_doublings));
    load.backoff_until = now + std::min(pause, options.max_backoff);
    ++load.consecutive_failures;
}

void record_endpoint_success(endpoint_load& load)
{
    load.consecutive_failures = 0;
    load.backoff_until = {};
}

void record_network_time(endpoint_load& load, std::chrono::microseconds sample)
{
    load.network_us = smoothed_micros(load.network_us, sample);
}

void apply_load_report(endpoint_load& load, const load_report& report, time_point now)
{
    load.reported_load = report.running + report.waiting;
    load.sent_since_report = 0;
    load.slots = std::max(report.slots, 1U);
    load.service_us = report.service_us;
    load.link_ms = report.link_ms;
    load.failed_percent = report.failed_percent;
    load.rejected_percent = report.rejected_percent;
    load.reported_at = now;
}

} // namespace pomeloloft::sidecar
