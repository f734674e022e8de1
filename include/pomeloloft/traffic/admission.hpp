#pragma once

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <utility>

#include "pomeloloft/base/clock.hpp"
#include "pomeloloft/base/names.hpp"
#include "pomeloloft/config/document.hpp"

namespace pomeloloft {

/// What becomes of a request that arrives at its target's proxy.
enum class admission : std::uint8_t { run, wait, refuse_full, refuse_deadline };

/// Names of `admission` in traces.
inline constexpr name_table<admission, 4> admission_names{{
    {admission::run, "run"},
    {admission::wait, "wait"},
    {admission::refuse_full, "refuse-full"},
    {admission::refuse_deadline, "refuse-deadline"},
}};

/// Slots and queue of one target at one moment.
struct admission_view {
    std::uint32_t slots = 1;
    std::uint32_t queue = 0;
    std::uint32_t running = 0;
    /// Requests waiting, by class.
    std::array<std::uint32_t, priority_count> waiting{};
    /// Smoothed time a request holds a slot; zero when not known yet.
    milliseconds service_time{0};
};

/// A request asking for a slot.
struct admission_request {
    pomeloloft::priority priority = pomeloloft::priority::standard;
    time_point deadline = no_deadline;
};

/// Decides on a request: it runs in a free slot, waits when its deadline leaves time for those ahead, and is
/// refused otherwise. Lower classes may fill only part of the queue.
[[nodiscard]] admission decide_admission(const admission_view& view, const admission_request& request,
                                         time_point now);

/// Time until a request of this class would get a slot, by the smoothed service time.
[[nodiscard]] milliseconds expected_wait(const admission_view& view, priority p);

/// How a wait for a slot ended.
enum class acquire_result : std::uint8_t { granted, refused_full, refused_deadline, closed };

/// Told of each admission, under the gate's lock.
using admission_observer =
    std::function<void(const admission_view&, const admission_request&, admission, time_point now)>;

/// Owns the slots of one target and the queue before them. Safe for many threads.
class admission_controller {
public:
    /// Sets who is told of each admission; before the first request only.
    void set_observer(admission_observer function) { this->observer = std::move(function); }

    /// Sets the limits; requests already running are let finish.
    void set_limits(std::uint32_t slots, std::uint32_t queue);

    /// Sets the slots alone.
    void set_slots(std::uint32_t slots);

    /// Waits for a slot.
    acquire_result acquire_slot(const admission_request& request);

    /// Gives a slot back.
    /// @param held how long it was held.
    void release_slot(milliseconds held);

    /// Refuses all that wait and all that come until `open`.
    void close();

    /// Takes requests again.
    void open();

    /// Waits until nothing runs.
    /// @return whether that came about before the deadline.
    bool wait_idle(time_point deadline);

    /// The slots and queue of this moment.
    [[nodiscard]] admission_view view() const;

private:
    struct waiter {
        admission_request request;
        bool granted = false;
        bool evicted = false;
        std::condition_variable ready;
    };

    bool evict_below(priority p);
    void grant_next();

    mutable std::mutex mutex;
    std::condition_variable idle;
    admission_view current;
    std::array<std::list<waiter*>, priority_count> waiters;
    admission_observer observer;
    bool closed = false;
};

} // namespace pomeloloft
