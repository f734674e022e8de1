#include "pomeloloft/sidecar/admission.hpp"

#include <algorithm>
#include <tuple>

namespace pomeloloft::sidecar {

bool is_served_before(const slot_request& first, const slot_request& second)
{
    return std::tie(first.priority, first.deadline) < std::tie(second.priority, second.deadline);
}

std::uint32_t queue_rank(std::uint32_t rank, bool is_call_of_run)
{
    return is_call_of_run ? 0 : rank + 1;
}

std::chrono::microseconds expected_wait(const gate_snapshot& snapshot)
{
    if (snapshot.running < snapshot.slots && snapshot.queued_ahead == 0) {
        return std::chrono::microseconds{0};
    }
    const std::uint32_t slots = std::max(snapshot.slots, 1U);
    const std::uint32_t excess = snapshot.running >= slots ? snapshot.running - slots : 0;
    return snapshot.service_time * (snapshot.queued_ahead + excess + 1) / slots;
}

bool is_queue_standing(const gate_snapshot& snapshot, const slot_request& request, time_point now)
{
    return request.deadline != no_deadline && snapshot.queued_for > request.deadline - now;
}

time_point latest_start(const gate_snapshot& snapshot, const slot_request& request)
{
    return request.deadline == no_deadline ? no_deadline : request.deadline - snapshot.max_service_time;
}

admission_verdict admit_request(const gate_snapshot& snapshot, const slot_request& request, time_point now)
{
    if (request.deadline <= now) {
        return admission_verdict::refuse_deadline;
    }
    if (snapshot.running < snapshot.slots && snapshot.queued_ahead == 0) {
        return admission_verdict::run;
    }
    const auto wait = expected_wait(snapshot);
    const bool adds_only_delay = is_queue_standing(snapshot, request, now) && wait > snapshot.service_time;
    if (wait > request.max_wait || adds_only_delay) {
        return admission_verdict::refuse_full;
    }
    return now + wait <= latest_start(snapshot, request) ? admission_verdict::wait
                                                         : admission_verdict::refuse_deadline;
}

} // namespace pomeloloft::sidecar
