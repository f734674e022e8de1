#include "pomeloloft/traffic/dispatch.hpp"

namespace pomeloloft {

dispatch_verdict decide_dispatch(const dispatch_facts& facts, time_point now)
{
    if (!facts.caller_connected) {
        return dispatch_verdict::caller_gone;
    }
    if (facts.quarantined) {
        return dispatch_verdict::quarantined;
    }
    return now < facts.deadline ? dispatch_verdict::send : dispatch_verdict::expired;
}

} // namespace pomeloloft
