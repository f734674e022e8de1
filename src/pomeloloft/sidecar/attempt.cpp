#include "pomeloloft/sidecar/attempt.hpp"

namespace pomeloloft::sidecar {

bool was_withheld(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::refused:
    case attempt_outcome::unavailable:
    case attempt_outcome::abandoned:
    case attempt_outcome::quarantined:
        return true;
    case attempt_outcome::answered:
    case attempt_outcome::rejected:
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
    case attempt_outcome::cancelled:
        break;
    }
    return false;
}

std::uint64_t fingerprint_of(const net::request& sent, const header_names& names)
{
    const auto method = sent.method_string();
    const auto target = sent.target();
    request_identity request;
    request.caller_service = net::header_text(sent, names.caller_service);
    request.method = {method.data(), method.size()};
    request.host = net::header_text(sent, net::http::field::host);
    request.target = {target.data(), target.size()};
    request.body = sent.body();
    return fingerprint_of(request);
}

dispatch_verdict decide_dispatch(const net::request& sent, const target_call& call,
                                 const crash_suspects& suspects, const header_names& names)
{
    const time_point now = steady_clock::now();
    dispatch_facts facts;
    facts.caller_connected = call.caller == nullptr || !call.caller->has_closed();
    facts.quarantined = !suspects.empty() && suspects.is_quarantined(fingerprint_of(sent, names), now);
    facts.deadline = call.deadline;
    return pomeloloft::decide_dispatch(facts, now);
}

attempt_outcome outcome_of(dispatch_verdict withheld)
{
    switch (withheld) {
    case dispatch_verdict::caller_gone:
        return attempt_outcome::abandoned;
    case dispatch_verdict::quarantined:
        return attempt_outcome::quarantined;
    case dispatch_verdict::expired:
    case dispatch_verdict::send:
        break;
    }
    return attempt_outcome::refused;
}

} // namespace pomeloloft::sidecar
