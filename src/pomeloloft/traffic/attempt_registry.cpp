#include "pomeloloft/traffic/attempt_registry.hpp"

namespace pomeloloft {
namespace {

/// Longer than the longest request deadline, so that a fence outlives every attempt it may have to stop.
constexpr milliseconds attempt_retention{660'000};

} // namespace

void attempt_registry::store_state(const std::string& id, attempt_state state)
{
    const time_point now = steady_clock::now();
    while (!this->expiry_order.empty() && this->expiry_order.front().expires_at <= now) {
        this->states.erase(this->expiry_order.front().id);
        this->expiry_order.pop_front();
    }
    if (this->states.insert_or_assign(id, state).second) {
        this->expiry_order.push_back({id, now + attempt_retention});
    }
}

bool attempt_registry::record_arrival(const std::string& id)
{
    const std::lock_guard lock(this->mutex);
    if (this->states.contains(id)) {
        return false;
    }
    this->store_state(id, attempt_state::waiting);
    return true;
}

bool attempt_registry::begin(const std::string& id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(id);
    if (found == this->states.end() || found->second != attempt_state::waiting) {
        return false;
    }
    found->second = attempt_state::started;
    return true;
}

void attempt_registry::finish(const std::string& id, bool ran)
{
    const std::lock_guard lock(this->mutex);
    this->store_state(id, ran ? attempt_state::finished : attempt_state::fenced);
}

attempt_state attempt_registry::fence(const std::string& id, bool include_waiting)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(id);
    if (found == this->states.end()) {
        this->store_state(id, attempt_state::fenced);
        return attempt_state::fenced;
    }
    if (found->second == attempt_state::waiting && include_waiting) {
        found->second = attempt_state::fenced;
    }
    return found->second;
}

} // namespace pomeloloft
