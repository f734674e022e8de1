#include "pomeloloft/traffic/admission.hpp"

#include <algorithm>
#include <numeric>

namespace pomeloloft {
namespace {

/// Share of the queue, in percent, that each priority class may fill: lower classes leave room for higher
/// ones.
constexpr std::array<std::uint32_t, priority_count> queue_share_percent{100, 60, 30};
/// Divisor of the smoothed service time: each new sample has a weight of 1/8.
constexpr int smoothing_divisor = 8;

std::size_t class_index(priority p)
{
    return static_cast<std::size_t>(p);
}

std::uint32_t waiting_total(const admission_view& view)
{
    return std::accumulate(view.waiting.begin(), view.waiting.end(), std::uint32_t{0});
}

std::uint32_t waiting_ahead(const admission_view& view, priority p)
{
    const auto end_of_ahead = view.waiting.begin() + static_cast<std::ptrdiff_t>(class_index(p)) + 1;
    return std::accumulate(view.waiting.begin(), end_of_ahead, std::uint32_t{0});
}

bool has_lower_waiter(const admission_view& view, priority p)
{
    return waiting_total(view) > waiting_ahead(view, p);
}

bool queue_has_room(const admission_view& view, priority p)
{
    const std::uint32_t total = waiting_total(view);
    if (total >= view.queue) {
        return view.queue > 0 && has_lower_waiter(view, p);
    }
    return total * 100 < view.queue * queue_share_percent[class_index(p)];
}

} // namespace

milliseconds expected_wait(const admission_view& view, priority p)
{
    const std::uint32_t requests_to_finish = waiting_ahead(view, p) + 1;
    return view.service_time * requests_to_finish / std::max(view.slots, 1U);
}

admission decide_admission(const admission_view& view, const admission_request& request, time_point now)
{
    if (request.deadline <= now) {
        return admission::refuse_deadline;
    }
    if (view.running < view.slots && waiting_ahead(view, request.priority) == 0) {
        return admission::run;
    }
    if (!queue_has_room(view, request.priority)) {
        return admission::refuse_full;
    }
    const milliseconds required_time = expected_wait(view, request.priority) + view.service_time;
    return remaining(request.deadline, now) < required_time ? admission::refuse_deadline : admission::wait;
}

void admission_controller::set_limits(std::uint32_t slots, std::uint32_t queue)
{
    const std::lock_guard lock(this->mutex);
    this->current.slots = slots;
    this->current.queue = queue;
    this->grant_next();
}

void admission_controller::set_slots(std::uint32_t slots)
{
    const std::lock_guard lock(this->mutex);
    if (this->current.slots != slots) {
        this->current.slots = slots;
        this->grant_next();
    }
}

bool admission_controller::evict_below(priority p)
{
    for (std::size_t class_to_evict = priority_count; class_to_evict-- > class_index(p) + 1;) {
        if (this->waiters[class_to_evict].empty()) {
            continue;
        }
        waiter* newest = this->waiters[class_to_evict].back();
        this->waiters[class_to_evict].pop_back();
        --this->current.waiting[class_to_evict];
        newest->evicted = true;
        newest->ready.notify_one();
        return true;
    }
    return false;
}

void admission_controller::grant_next()
{
    for (std::size_t i = 0; i < priority_count && this->current.running < this->current.slots;) {
        if (this->waiters[i].empty()) {
            ++i;
            continue;
        }
        waiter* next = this->waiters[i].front();
        this->waiters[i].pop_front();
        --this->current.waiting[i];
        ++this->current.running;
        next->granted = true;
        next->ready.notify_one();
    }
}

acquire_result admission_controller::acquire_slot(const admission_request& request)
{
    std::unique_lock lock(this->mutex);
    if (this->closed) {
        return acquire_result::closed;
    }
    const time_point now = steady_clock::now();
    const admission decided = decide_admission(this->current, request, now);
    if (this->observer) {
        this->observer(this->current, request, decided, now);
    }
    switch (decided) {
    case admission::run:
        ++this->current.running;
        return acquire_result::granted;
    case admission::refuse_full:
        return acquire_result::refused_full;
    case admission::refuse_deadline:
        return acquire_result::refused_deadline;
    case admission::wait:
        break;
    }
    if (waiting_total(this->current) >= this->current.queue) {
        this->evict_below(request.priority);
    }
    waiter own_entry;
    own_entry.request = request;
    auto& queue_of_class = this->waiters[class_index(request.priority)];
    queue_of_class.push_back(&own_entry);
    ++this->current.waiting[class_index(request.priority)];
    const auto is_resolved = [this, &own_entry] {
        return own_entry.granted || own_entry.evicted || this->closed;
    };
    own_entry.ready.wait_until(lock, request.deadline, is_resolved);
    if (own_entry.granted) {
        return acquire_result::granted;
    }
    if (own_entry.evicted) {
        return acquire_result::refused_full;
    }
    queue_of_class.remove(&own_entry);
    --this->current.waiting[class_index(request.priority)];
    return this->closed ? acquire_result::closed : acquire_result::refused_deadline;
}

void admission_controller::release_slot(milliseconds hold_time)
{
    const std::lock_guard lock(this->mutex);
    --this->current.running;
    const bool is_first_sample = this->current.service_time.count() == 0;
    this->current.service_time =
        is_first_sample
            ? hold_time
            : (this->current.service_time * (smoothing_divisor - 1) + hold_time) / smoothing_divisor;
    this->grant_next();
    if (this->current.running == 0) {
        this->idle.notify_all();
    }
}

void admission_controller::close()
{
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    for (const auto& queue_of_class : this->waiters) {
        for (waiter* queued : queue_of_class) {
            queued->ready.notify_one();
        }
    }
}

void admission_controller::open()
{
    const std::lock_guard lock(this->mutex);
    this->closed = false;
}

bool admission_controller::wait_idle(time_point deadline)
{
    std::unique_lock lock(this->mutex);
    return this->idle.wait_until(lock, deadline, [this] { return this->current.running == 0; });
}

admission_view admission_controller::view() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

} // namespace pomeloloft
