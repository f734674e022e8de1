#pragma once

#include <functional>
#include <string>
#include <thread>

#include "pomeloloft/proxy/blackboard.hpp"
#include "pomeloloft/proxy/link_plan.hpp"
#include "pomeloloft/sync/grpc_links.hpp"

namespace pomeloloft {

/// The control thread: keeps this node's own entry, links, view and leases up to date, a step at a time.
class control_loop {
public:
    control_loop(blackboard& shared, grpc_links& streams);
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    ~control_loop();

    /// Starts the thread.
    void start();

    /// Ends the thread.
    void stop();

    /// Sets what is called every second or so on the control thread; before `start` only.
    void set_housekeeping_hook(std::function<void()> function)
    {
        this->housekeeping_hook = std::move(function);
    }

    /// Adds addresses to join through.
    void update_bootstrap_addresses(const std::vector<std::string>& addresses);

    /// Notes that a link ended.
    void link_closed(const peer_link& ended, bool reached);

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

/// The state this node's own entry should have.
[[nodiscard]] member_state own_state(const std::optional<announced_target>& target, bool stopping,
                                     time_point now);

} // namespace pomeloloft
