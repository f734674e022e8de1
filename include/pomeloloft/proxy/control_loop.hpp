#pragma once

#include <functional>
#include <string>
#include <thread>

#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/link_plan.hpp"
#include "pomeloloft/sync/grpc_links.hpp"

namespace pomeloloft {

/// The control thread. Updates this node's own member entry, links, view and leases in periodic steps.
class control_loop {
public:
    control_loop(blackboard& shared, grpc_links& streams);
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop();

    /// Starts the thread.
    void start();

    /// Waits for the thread to end; `blackboard::stopped` must be set before.
    void stop();

    /// Sets a function that the control thread calls about once per second. Only before `start`.
    void set_housekeeping_hook(std::function<void()> function)
    {
        this->housekeeping_hook = std::move(function);
    }

    /// Sets the addresses to join through: those from the settings, then `addresses`.
    void update_bootstrap_addresses(const std::vector<std::string>& addresses);

    /// Records that a link has closed.
    /// @param reached whether the remote node had sent its hello frame.
    void link_closed(const link_state& ended, bool reached);

private:
    void run();
    void step(time_point now);
    void detect_pause(time_point now);
    void step_target(time_point now);
    void step_links(time_point now);
    void apply(const link_plan& plan, time_point now);
    void step_own_entry(time_point now);
    void step_view();
    void activate_config(const view& next);
    void step_quarantine(time_point now);
    void step_ready();
    void step_housekeeping(time_point now);

    blackboard& board;
    grpc_links& links;
    std::mutex planner_mutex;
    link_planner_state planner_state;
    load_table loads;
    std::string parent;
    time_point next_housekeeping;
    std::function<void()> housekeeping_hook;
    std::thread thread;
};

/// The state that this node's own member entry should have.
[[nodiscard]] member_state own_state(const std::optional<announced_target>& target, bool stopping,
                                     time_point now);

} // namespace pomeloloft
