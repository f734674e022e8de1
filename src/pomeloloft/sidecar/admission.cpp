#include "pomeloloft/sidecar/admission.hpp"

#include <algorithm>
#include <tuple>

namespace pomeloloft::sidecar {

bool is_served_before(const gate_request& first, const gate_request& second)
{
    return std::tie(first.priority, first.deadline) < std::tie(second.priority, second.deadline);
}

std::chrono::microseconds expected_wait(const gate_view& view)
{
    if (view.running < view.slots && view.ahead == 0) {
        return std::chrono::microseconds{0};
    }
    const std::uint32_t slots = std::max(view.slots, 1U);
    const std::uint32_t excess = view.running >= slots ? view.running - slots : 0;
    return view.service_time * (view.ahead + excess + 1) / slots;
}

gate_verdict decide_entry(const gate_view& view, const gate_request& request, time_point now)
{
    if (request.deadline <= now) {
        return gate_verdict::refuse_deadline;
    }
    if (view.running < view.slots && view.ahead == 0) {
        return gate_verdict::run;
    }
    const auto wait = expected_wait(view);
    if (wait > request.max_wait) {
        return gate_verdict::refuse_full;
    }
    const bool in_time =
        request.deadline == no_deadline || now + wait + view.service_time <= request.deadline;
    return in_time ? gate_verdict::wait : gate_verdict::refuse_deadline;
}

} // namespace pomeloloft::sidecar
