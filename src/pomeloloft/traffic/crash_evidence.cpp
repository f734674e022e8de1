#include "pomeloloft/traffic/crash_evidence.hpp"

namespace pomeloloft {

bool shows_survival(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

void survived_requests::add(std::uint64_t fingerprint, std::uint64_t life, time_point now)
{
    const std::lock_guard lock(this->mutex);
    if (this->current_life != life) {
        this->requests.clear();
        this->current_life = life;
    }
    this->requests.add(fingerprint, now);
}

bool survived_requests::contains(std::uint64_t fingerprint, std::uint64_t life, time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return this->current_life == life && this->requests.contains(fingerprint, now);
}

} // namespace pomeloloft
