#include "pomeloloft/sync/wire_member.hpp"

namespace pomeloloft::detail {

wire::Member to_wire(const member& m)
{
    wire::Member out;
    out.set_node(m.node);
    out.set_incarnation(m.incarnation);
    out.set_sequence(m.sequence);
    out.set_state(static_cast<std::uint32_t>(m.state));
    out.set_data_centre(m.data_centre);
    out.set_service(m.service);
    out.set_peer_address(m.peer_address);
    out.set_control_address(m.control_address);
    out.set_owner(m.owner);
    return out;
}

std::optional<member> from_wire(const wire::Member& in)
{
    if (in.node().empty() || in.state() >= member_state_names.size()) {
        return std::nullopt;
    }
    member out;
    out.node = in.node();
    out.incarnation = in.incarnation();
    out.sequence = in.sequence();
    out.state = static_cast<member_state>(in.state());
    out.data_centre = in.data_centre();
    out.service = in.service();
    out.peer_address = in.peer_address();
    out.control_address = in.control_address();
    out.owner = in.owner();
    return out;
}

} // namespace pomeloloft::detail
