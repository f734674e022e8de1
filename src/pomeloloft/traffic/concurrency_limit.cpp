#include "pomeloloft/traffic/concurrency_limit.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

/// Mean response time of the window, or the best known one if every request of the window was shed.
double mean_of(const limit_state& state)
{
    const std::uint32_t measured = state.responses - state.shed;
    return measured > 0 ? state.sum_us / measured : state.best_mean_us;
}

void adjust_limit(limit_state& state, double mean_us, const limit_options& options)
{
    const bool slow = state.best_mean_us > 0 && mean_us > state.best_mean_us * options.overload_ratio;
    if (slow) {
        state.limit = std::max(1.0, state.limit * options.decrease_factor);
        state.doubling = false;
    } else if (state.max_running >= effective_slots(state, options) &&
               state.windows >= state.growth_allowed_from) {
        const double grown = state.doubling ? state.limit * 2 : state.limit + 1;
        state.limit = std::min<double>(state.ceiling, grown);
    }
    state.best_mean_us = state.best_mean_us == 0 ? mean_us : std::min(state.best_mean_us, mean_us);
}

void end_window(limit_state& state, const limit_options& options)
{
    const double mean_us = mean_of(state);
    if (state.probing) {
        state.best_mean_us = mean_us;
    } else {
        adjust_limit(state, mean_us, options);
    }
    ++state.windows;
    state.probing = state.windows % options.probe_interval_windows == 0;
}

void decrease_after_shed(limit_state& state, std::uint32_t running, const limit_options& options)
{
    const double reduced_limit = running > 1 ? running - 1 : 1;
    state.limit = std::max(1.0, std::min(state.limit, reduced_limit));
    state.doubling = false;
    state.growth_allowed_from = state.windows + options.growth_hold_windows;
}

} // namespace

limit_state make_initial_limit(std::uint32_t ceiling, time_point now)
{
    limit_state state;
    state.ceiling = std::max(ceiling, 1U);
    state.window_end = now;
    return state;
}

void update_limit(limit_state& state, const limit_sample& sample, time_point now,
                  const limit_options& options)
{
    ++state.responses;
    state.shed += sample.shed ? 1 : 0;
    state.sum_us += sample.shed ? 0.0 : static_cast<double>(sample.response_time.count());
    state.max_running = std::max(state.max_running, sample.running);
    if (sample.shed) {
        decrease_after_shed(state, sample.running, options);
    }
    if (now < state.window_end || state.responses < options.min_responses) {
        return;
    }
    end_window(state, options);
    state.window_end = now + options.window;
    state.sum_us = 0;
    state.responses = 0;
    state.shed = 0;
    state.max_running = 0;
}

std::uint32_t effective_slots(const limit_state& state, const limit_options& options)
{
    const double share = state.probing ? options.probe_share : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(state.limit * share));
}

std::uint32_t concurrency_limit::set_ceiling(std::uint32_t ceiling, time_point now)
{
    const std::lock_guard lock(this->mutex);
    if (this->state.ceiling != std::max(ceiling, 1U) || this->state.window_end == time_point{}) {
        this->state = make_initial_limit(ceiling, now);
    }
    return effective_slots(this->state);
}

void concurrency_limit::reset()
{
    const std::lock_guard lock(this->mutex);
    this->state = limit_state{};
}

std::uint32_t concurrency_limit::add_sample(const limit_sample& sample, time_point now)
{
    const std::lock_guard lock(this->mutex);
    update_limit(this->state, sample, now);
    return effective_slots(this->state);
}

} // namespace pomeloloft
