#include "pomeloloft/sync/link_hub.hpp"

#include <algorithm>

#include "distribution.pb.h"
#include "pomeloloft/base/log_line.hpp"

namespace pomeloloft {
namespace {

/// Size of the gRPC message prefix and the HTTP/2 frame header, which are sent with each message.
constexpr std::size_t frame_overhead_bytes = 14;

void count_frame(control_counters::direction& direction, const wire::Frame& frame)
{
    const auto kind = static_cast<std::size_t>(frame_kind_of(frame));
    direction.frames[kind].fetch_add(1, std::memory_order_relaxed);
    direction.bytes[kind].fetch_add(frame.ByteSizeLong() + frame_overhead_bytes, std::memory_order_relaxed);
}

link_summary summarise(const link_state& link, const std::string& address)
{
    return {link.id,
            link.kind,
            link.inbound,
            link.hello_received,
            link.initial_members_received,
            link.remote_node,
            address,
            link.remote_version,
            link.remote_next_offset};
}

} // namespace

std::uint64_t link_hub::open(link_request request)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t id = ++this->last_id;
    open_link& opened = this->links[id];
    opened.state.id = id;
    opened.state.kind = request.kind;
    opened.state.inbound = request.inbound;
    opened.state.remote_node = std::move(request.remote_node);
    opened.state.lease_deadline = steady_clock::now() + this->state.options.lease;
    opened.address = std::move(request.address);
    opened.transport = std::move(request.transport);
    ++this->counters.links_opened;
    return id;
}

std::optional<wire::Frame> link_hub::next_to_send(std::uint64_t id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return std::nullopt;
    }
    auto frame = next_frame(this->state, found->second.state, steady_clock::now());
    if (frame) {
        count_frame(this->counters.sent, *frame);
    }
    return frame;
}

std::string link_hub::refusal_for(const link_state& candidate) const
{
    if (!candidate.inbound || candidate.kind != link_kind::child) {
        return {};
    }
    const auto is_child = [](const auto& item) {
        return item.second.state.inbound && item.second.state.kind == link_kind::child &&
               item.second.state.hello_received;
    };
    const auto children = std::count_if(this->links.begin(), this->links.end(), is_child);
    return static_cast<std::size_t>(children) > this->state.options.max_children ? "too many children" : "";
}

bool link_hub::receive(std::uint64_t id, const wire::Frame& frame)
{
    count_frame(this->counters.received, frame);
    frame_effects effects;
    link_transport transport;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->links.find(id);
        if (found == this->links.end()) {
            return false;
        }
        link_state& link = found->second.state;
        effects = handle_frame(this->state, link, frame, steady_clock::now());
        if (frame.has_hello() && !effects.close) {
            link.refusal = this->refusal_for(link);
            this->counters.links_refused += link.refusal.empty() ? 0 : 1;
        }
        transport = found->second.transport;
    }
    this->notify_listeners(effects);
    if (effects.close) {
        this->counters.bad_frames += frame.has_refusal() ? 0 : 1;
        log_warning("link-aborted", {{"reason", effects.reason}});
        return false;
    }
    transport.wake();
    return true;
}

void link_hub::notify_listeners(const frame_effects& effects)
{
    if (effects.config_changed && this->listeners.config_changed) {
        this->listeners.config_changed();
    }
    if (effects.members_changed && this->listeners.members_changed) {
        this->listeners.members_changed();
    }
    if (effects.quarantine_changed && this->listeners.quarantine_changed) {
        this->listeners.quarantine_changed();
    }
    if (effects.config_changed || effects.members_changed || effects.quarantine_changed) {
        this->wake_links();
    }
}

void link_hub::close(std::uint64_t id, const std::string& reason)
{
    std::optional<open_link> ended;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->links.find(id);
        if (found == this->links.end()) {
            return;
        }
        release_link(this->state, found->second.state);
        ended = std::move(found->second);
        this->links.erase(found);
        ++this->counters.links_closed;
    }
    const bool reached = ended->state.hello_received;
    if (reached) {
        log_info("link-closed", {{"remote", ended->state.remote_node}, {"reason", reason}});
    }
    if (this->listeners.link_closed) {
        this->listeners.link_closed(ended->state, ended->address, reached);
    }
}

void link_hub::wake_links()
{
    std::vector<link_transport> transports;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, open] : this->links) {
            transports.push_back(open.transport);
        }
    }
    for (const link_transport& transport : transports) {
        transport.wake();
    }
}

void link_hub::tick()
{
    const time_point now = steady_clock::now();
    std::vector<link_transport> expired;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, open] : this->links) {
            if (now > open.state.lease_deadline || open.state.refusal_sent) {
                expired.push_back(open.transport);
            }
        }
    }
    for (const link_transport& transport : expired) {
        transport.cancel();
    }
    this->wake_links();
}

void link_hub::cancel_if(const std::function<bool(const link_summary&)>& matches)
{
    std::vector<link_transport> matching;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, open] : this->links) {
            if (matches(summarise(open.state, open.address))) {
                matching.push_back(open.transport);
            }
        }
    }
    for (const link_transport& transport : matching) {
        transport.cancel();
    }
}

std::vector<link_summary> link_hub::summaries()
{
    const std::lock_guard lock(this->mutex);
    std::vector<link_summary> out;
    for (const auto& [id, open] : this->links) {
        out.push_back(summarise(open.state, open.address));
    }
    return out;
}

} // namespace pomeloloft
