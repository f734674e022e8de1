#include <algorithm>

#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {

std::optional<target_call_result> target_gate::find_call_refusal(const target_call& call,
                                                                 time_point now) const
{
    if (this->limits.empty()) {
        return std::nullopt;
    }
    const auto running_of_route =
        std::count_if(this->runs_at_target.begin(), this->runs_at_target.end(),
                      [&call](const auto& run) { return run.second == call.route; });
    const std::chrono::microseconds mean = this->service_time.mean();
    if (this->limits.admits(call.route, static_cast<std::uint32_t>(running_of_route), this->target.slots,
                            mean, now)) {
        return std::nullopt;
    }
    target_call_result out;
    out.outcome = attempt_outcome::refused;
    out.wait = std::chrono::ceil<milliseconds>(mean);
    return out;
}

void target_gate::record_refused_call(const std::string& route)
{
    this->limits.record_refused_call(route, this->target.slots, this->service_time.mean(),
                                     steady_clock::now());
}

net::task<void> target_gate::hold_slot(time_point until)
{
    co_await net::sleep_for(remaining(until, steady_clock::now()));
    this->release_slot();
}

void target_gate::sweep()
{
    this->pool.sweep();
    this->limits.sweep(this->target.slots, this->service_time.mean(), steady_clock::now());
}

} // namespace pomeloloft::sidecar
