#include "pomeloloft/traffic/decision_recorder.hpp"

#include <utility>

namespace pomeloloft {

void decision_recorder::add(decision added)
{
    if (!this->enabled()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->decisions.push_back(std::move(added));
    if (this->decisions.size() > this->capacity) {
        this->decisions.pop_front();
    }
}

std::vector<decision> decision_recorder::recorded_decisions() const
{
    const std::lock_guard lock(this->mutex);
    return {this->decisions.begin(), this->decisions.end()};
}

} // namespace pomeloloft
