#include "pomeloloft/traffic/recent_set.hpp"

namespace pomeloloft {
namespace {

constexpr milliseconds retention{60'000};
constexpr std::size_t max_hashes = 4096;

} // namespace

void recent_set::add(std::uint64_t hash, time_point now)
{
    const std::lock_guard lock(this->mutex);
    if (this->expiry.insert_or_assign(hash, now + retention).second) {
        this->order.push_back(hash);
    }
    while (this->order.size() > max_hashes) {
        this->expiry.erase(this->order.front());
        this->order.pop_front();
    }
}

void recent_set::clear()
{
    const std::lock_guard lock(this->mutex);
    this->expiry.clear();
    this->order.clear();
}

bool recent_set::contains(std::uint64_t hash, time_point now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->expiry.find(hash);
    return found != this->expiry.end() && found->second > now;
}

} // namespace pomeloloft
