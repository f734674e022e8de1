#include "pomeloloft/net/pipelining.hpp"

namespace pomeloloft::net {

start_verdict decide_start(const sent_ahead_facts& facts, const pipelining_limits& limits)
{
    if (facts.closes_before) {
        return start_verdict::unread;
    }
    if (facts.in_progress == 0) {
        return start_verdict::start;
    }
    if (!facts.may_overlap || !facts.earlier_may_overlap) {
        return start_verdict::wait_for_earlier;
    }
    if (facts.in_progress >= limits.max_in_progress ||
        facts.held_bytes + facts.body_bytes > limits.max_held_bytes) {
        return start_verdict::wait_for_room;
    }
    return start_verdict::start;
}

} // namespace pomeloloft::net
