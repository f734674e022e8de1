#include "pomeloloft/traffic/concurrency_limit.hpp"

#include <algorithm>

namespace pomeloloft {
namespace {

/// Mean answer time of the window; that of the best one when every request was shed.
double mean_of(const limit_state& state)
{
    const std::uint32_t timed = state.answers - state.shed;
    return timed > 0 ? state.sum_us / timed : state.best_us;
}

void adjust_limit(limit_state& state, double mean_us, const limit_options& options)
{
    const bool slow = state.best_us > 0 && mean_us > state.best_us * options.slow_ratio;
    if (slow) {
        state.limit = std::max(1.0, state.limit * options.backoff);
        state.doubling = false;
    } else if (state.most_running >= slots_of(state, options) && state.windows >= state.grows_from) {
        const double grown = state.doubling ? state.limit * 2 : state.limit + 1;
        state.limit = std::min<double>(state.ceiling, grown);
    }
    state.best_us = state.best_us == 0 ? mean_us : std::min(state.best_us, mean_us);
}

void end_window(limit_state& state, const limit_options& options)
{
    const double mean_us = mean_of(state);
    if (state.probing) {
        state.best_us = mean_us;
    } else {
        adjust_limit(state, mean_us, options);
    }
    ++state.windows;
    state.probing = state.windows % options.windows_to_probe == 0;
}

void note_shed(limit_state& state, std::uint32_t running, const limit_options& options)
{
    const double taken = running > 1 ? running - 1 : 1;
    state.limit = std::max(1.0, std::min(state.limit, taken));
    state.doubling = false;
    state.grows_from = state.windows + options.windows_held;
}

} // namespace

limit_state begin_limit(std::uint32_t ceiling, time_point now)
{
    limit_state state;
    state.ceiling = std::max(ceiling, 1U);
    state.window_end = now;
    return state;
}

void update_limit(limit_state& state, const limit_sample& sample, time_point now,
                  const limit_options& options)
{
    ++state.answers;
    state.shed += sample.shed ? 1 : 0;
    state.sum_us += sample.shed ? 0.0 : static_cast<double>(sample.answer_time.count());
    state.most_running = std::max(state.most_running, sample.running);
    if (sample.shed) {
        note_shed(state, sample.running, options);
    }
    if (now < state.window_end || state.answers < options.least_answers) {
        return;
    }
    end_window(state, options);
    state.window_end = now + options.window;
    state.sum_us = 0;
    state.answers = 0;
    state.shed = 0;
    state.most_running = 0;
}

std::uint32_t slots_of(const limit_state& state, const limit_options& options)
{
    const double share = state.probing ? options.probe_share : 1.0;
    return std::max(1U, static_cast<std::uint32_t>(state.limit * share));
}

std::uint32_t concurrency_limit::set_ceiling(std::uint32_t ceiling, time_point now)
{
    const std::lock_guard lock(this->mutex);
    if (this->state.ceiling != std::max(ceiling, 1U) || this->state.window_end == time_point{}) {
        this->state = begin_limit(ceiling, now);
    }
    return slots_of(this->state);
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
    return slots_of(this->state);
}

} // namespace pomeloloft
