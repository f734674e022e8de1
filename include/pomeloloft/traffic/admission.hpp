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

/// Admission decision for a request that arrives at the proxy of its target.
enum class admission : std::uint8_t { run, wait, refuse_full, refuse_deadline };

/// Names of `admission` in decision traces.
inline constexpr name_table<admission, 4> admission_names{{
    {admission::run, "run"},
    {admission::wait, "wait"},
    {admission::refuse_full, "refuse-full"},
    {admission::refuse_deadline, "refuse-deadline"},
}};

/// Snapshot of the slots and the queue of one target.
struct admission_view {
    /// Requests that may run at the same time.
    std::uint32_t slots = 1;
    /// Capacity of the queue, in requests.
    std::uint32_t queue = 0;
    /// Requests that hold a slot.
    std::uint32_t running = 0;
    /// Queued requests by priority class.
    std::array<std::uint32_t, priority_count> waiting{};
    /// Smoothed time for which a request holds a slot; zero while unknown.
    milliseconds service_time{0};
};

/// Properties of a request that decide its admission.
struct admission_request {
    pomeloloft::priority priority = pomeloloft::priority::standard;
    time_point deadline = no_deadline;
};

/// Decides whether a request runs in a free slot, waits in the queue or is refused. It waits only if its
/// deadline leaves time for the requests ahead of it. Lower priority classes may fill only part of the queue.
[[nodiscard]] admission decide_admission(const admission_view& view, const admission_request& request,
                                         time_point now);

/// Estimated time until a request of this priority class gets a slot, from the smoothed service time.
[[nodiscard]] milliseconds expected_wait(const admission_view& view, priority p);

/// Result of a request for a slot.
enum class acquire_result : std::uint8_t { granted, refused_full, refused_deadline, closed };

/// Callback for each admission decision, called with the controller's mutex locked.
using admission_observer =
    std::function<void(const admission_view&, const admission_request&, admission, time_point now)>;

/// Owns the slots of one target and the queue of requests that wait for one. Thread-safe.
class admission_controller {
public:
    /// Sets the callback for admission decisions. Call it only before the first request.
    void set_observer(admission_observer function) { this->observer = std::move(function); }

    /// Sets the number of slots and the queue capacity. Requests that already run keep their slots.
    void set_limits(std::uint32_t slots, std::uint32_t queue);

    /// Sets the number of slots and leaves the queue capacity unchanged.
    void set_slots(std::uint32_t slots);

    /// Acquires a slot, waiting in the queue until the deadline of the request if necessary.
    acquire_result acquire_slot(const admission_request& request);

    /// Releases a slot.
    /// @param hold_time time for which the slot was held.
    void release_slot(milliseconds hold_time);

    /// Refuses all queued requests, and all new ones until `open` is called.
    void close();

    /// Accepts requests again after `close`.
    void open();

    /// Waits until no request holds a slot.
    /// @return false if the deadline passed first.
    bool wait_idle(time_point deadline);

    /// Returns the current state of the slots and the queue.
    [[nodiscard]] admission_view view() const;

private:
    struct waiter {
        admission_request request;
        bool granted = false;
        bool evicted = false;
        std::condition_variable ready;
    };

    /// Evicts the newest queued request of the lowest class below `p`; returns false if there is none.
    bool evict_below(priority p);
    /// Grants free slots to queued requests, higher classes first.
    void grant_next();

    mutable std::mutex mutex;
    std::condition_variable idle;
    admission_view current;
    std::array<std::list<waiter*>, priority_count> waiters;
    admission_observer observer;
    bool closed = false;
};

} // namespace pomeloloft
