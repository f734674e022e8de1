#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pomeloloft/sync/link.hpp"

namespace pomeloloft {

/// Control traffic of this process, by direction and kind of frame.
struct control_counters {
    struct direction {
        std::array<std::atomic<std::uint64_t>, frame_kind_names.size()> frames{};
        std::array<std::atomic<std::uint64_t>, frame_kind_names.size()> bytes{};
    };
    direction sent;
    direction received;
    std::atomic<std::uint64_t> links_opened{0};
    std::atomic<std::uint64_t> links_closed{0};
    std::atomic<std::uint64_t> links_refused{0};
    std::atomic<std::uint64_t> bad_frames{0};
};

/// Callbacks by which the hub drives a link's transport.
struct link_transport {
    /// Tells the transport that frames may be ready to send.
    std::function<void()> wake;
    /// Cancels the stream.
    std::function<void()> cancel;
};

/// Parameters of a link to open.
struct link_request {
    link_kind kind = link_kind::child;
    bool inbound = false;
    /// Name of the node expected at the other end; empty when not known yet.
    std::string remote_node;
    /// Address of the remote node; empty for inbound links.
    std::string address;
    link_transport transport;
};

/// Callbacks that the hub invokes after a change, without holding its lock.
struct hub_listeners {
    std::function<void()> config_changed;
    std::function<void()> members_changed;
    std::function<void()> quarantine_changed;
    /// A link has closed; `reached` is true when the remote node had sent its hello frame.
    std::function<void(const link_state& ended, const std::string& address, bool reached)> link_closed;
};

/// Public view of a link.
struct link_summary {
    std::uint64_t id = 0;
    link_kind kind = link_kind::child;
    bool inbound = false;
    /// The remote node has sent its hello frame.
    bool established = false;
    /// The remote node has sent all member entries that differed when the link was established.
    bool synchronised = false;
    std::string remote_node;
    std::string address;
    std::uint64_t remote_version = 0;
    std::uint64_t remote_next_offset = 0;
};

/// Owns the shared state and all links, and propagates changes between links. Thread-safe.
class link_hub {
public:
    explicit link_hub(sync_state initial) : state(std::move(initial)) {}

    /// Sets the listeners. Must be called before the first link is opened.
    void set_listeners(hub_listeners value) { this->listeners = std::move(value); }

    /// Registers a link.
    /// @return its id.
    std::uint64_t open(link_request request);

    /// The next frame to send on a link; nothing when none is due.
    std::optional<wire::Frame> next_to_send(std::uint64_t id);

    /// Handles a frame received on a link.
    /// @return whether the link stays open.
    bool receive(std::uint64_t id, const wire::Frame& frame);

    /// Removes a link whose stream has ended, and notifies the listeners.
    void close(std::uint64_t id, const std::string& reason);

    /// Wakes all links, and cancels those whose lease has expired or that were sent a refusal.
    void tick();

    /// Cancels the links that match.
    void cancel_if(const std::function<bool(const link_summary&)>& matches);

    /// Summaries of the links that are open now.
    [[nodiscard]] std::vector<link_summary> summaries();

    /// Runs `change` on the shared state under the hub's lock, then wakes all links.
    template <typename Change>
    auto update(Change change)
    {
        auto outcome = [&] {
            const std::lock_guard lock(this->mutex);
            return change(this->state);
        }();
        this->wake_links();
        return outcome;
    }

    /// Reads the shared state under the hub's lock.
    template <typename Read>
    auto read(Read reader)
    {
        const std::lock_guard lock(this->mutex);
        return reader(static_cast<const sync_state&>(this->state));
    }

    /// Counters of control traffic.
    [[nodiscard]] const control_counters& traffic() const { return this->counters; }

private:
    struct open_link {
        link_state state;
        std::string address;
        link_transport transport;
    };

    void wake_links();
    void notify_listeners(const frame_effects& effects);
    std::string refusal_for(const link_state& candidate) const;

    std::mutex mutex;
    sync_state state;
    std::map<std::uint64_t, open_link> links;
    std::uint64_t last_id = 0;
    hub_listeners listeners;
    control_counters counters;
};

} // namespace pomeloloft
