#include "pomeloloft/sidecar/suspects.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/traffic/crash_evidence.hpp"

namespace pomeloloft::sidecar {

bool crash_suspects::add(const crash_observation& observation, time_point now)
{
    const milliseconds time_left = std::min(observation.time_left, crash_observation_retention);
    const auto clearance = this->cleared.find(observation.fingerprint);
    if (time_left.count() <= 0 || (clearance != this->cleared.end() && now < clearance->second)) {
        return false;
    }
    suspect& crashes = this->suspects[observation.fingerprint];
    const bool known = std::any_of(crashes.begin(), crashes.end(), [&observation](const observed_crash& c) {
        return c.crash == observation.crash;
    });
    if (known) {
        return false;
    }
    crashes.push_back({observation.crash, now, now + time_left});
    if (this->suspects.size() > this->options.max_tracked) {
        this->remove_weakest();
    }
    return true;
}

void crash_suspects::remove_weakest()
{
    const auto weakest =
        std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto& a, const auto& b) {
            return std::make_tuple(a.second.size(), a.second.back().learned_at) <
                   std::make_tuple(b.second.size(), b.second.back().learned_at);
        });
    this->suspects.erase(weakest);
}

bool crash_suspects::clear(const cleared_suspect& request, time_point now)
{
    if (request.time_left.count() <= 0) {
        return false;
    }
    const time_point until = now + std::min(request.time_left, this->options.clearance);
    const auto [known, is_new] = this->cleared.try_emplace(request.fingerprint, until);
    known->second = std::max(known->second, until);
    return this->suspects.erase(request.fingerprint) > 0;
}

std::size_t crash_suspects::crash_count(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [now](const observed_crash& c) { return now < c.expires_at; }));
}

milliseconds crash_suspects::quarantine_left(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->suspects.find(fingerprint);
    const std::size_t threshold = this->options.quarantine_threshold;
    if (found == this->suspects.end() || found->second.size() < threshold) {
        return milliseconds{0};
    }
    std::vector<time_point> ends;
    for (const observed_crash& observed : found->second) {
        ends.push_back(observed.expires_at);
    }
    // The quarantine ends when fewer observations than the threshold are left.
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    return remaining(ends[threshold - 1], now);
}

std::vector<crash_observation> crash_suspects::observations_to_share(observation_selection selection,
                                                                     time_point now) const
{
    const bool only_new = selection == observation_selection::recent;
    const std::size_t limit = only_new ? this->options.max_new_shared : this->options.max_shared;
    struct ranked {
        std::size_t crashes;
        time_point learned_at;
        std::uint64_t fingerprint;
        const observed_crash* observed;
    };
    std::vector<ranked> order;
    for (const auto& [fingerprint, crashes] : this->suspects) {
        for (const observed_crash& observed : crashes) {
            const bool is_new = now - observed.learned_at < this->options.new_for;
            if (now < observed.expires_at && (is_new || !only_new)) {
                order.push_back({crashes.size(), observed.learned_at, fingerprint, &observed});
            }
        }
    }
    std::sort(order.begin(), order.end(), [](const ranked& a, const ranked& b) {
        return std::make_tuple(a.crashes, a.learned_at, a.fingerprint) >
               std::make_tuple(b.crashes, b.learned_at, b.fingerprint);
    });
    order.resize(std::min(order.size(), limit));
    std::vector<crash_observation> out;
    for (const ranked& r : order) {
        out.push_back({r.fingerprint, r.observed->crash, remaining(r.observed->expires_at, now)});
    }
    return out;
}

std::vector<crash_observation> crash_suspects::quarantined_by(std::string_view process, time_point now) const
{
    const std::string prefix = std::string(process) + '.';
    std::vector<crash_observation> out;
    for (const auto& [fingerprint, crashes] : this->suspects) {
        const bool observed_here =
            std::any_of(crashes.begin(), crashes.end(),
                        [&prefix](const observed_crash& c) { return c.crash.starts_with(prefix); });
        if (!observed_here || !this->is_quarantined(fingerprint, now)) {
            continue;
        }
        for (const observed_crash& observed : crashes) {
            out.push_back({fingerprint, observed.crash, remaining(observed.expires_at, now)});
        }
    }
    return out;
}

std::vector<cleared_suspect> crash_suspects::cleared_to_share(time_point now) const
{
    std::vector<cleared_suspect> out;
    for (const auto& [fingerprint, expires_at] : this->cleared) {
        if (now < expires_at && out.size() < this->options.max_shared) {
            out.push_back({fingerprint, remaining(expires_at, now)});
        }
    }
    return out;
}

void crash_suspects::remove_expired(time_point now)
{
    for (auto& [fingerprint, crashes] : this->suspects) {
        std::erase_if(crashes, [now](const observed_crash& c) { return c.expires_at <= now; });
    }
    std::erase_if(this->suspects, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->cleared, [now](const auto& entry) { return entry.second <= now; });
}

bool clear_by_response(crash_suspects& suspects, std::uint64_t fingerprint, int status, time_point now)
{
    return shows_survival(status) && suspects.clear(fingerprint, now);
}

std::uint64_t fingerprint_of(const request_identity& request)
{
    std::uint64_t out = hash_bytes(request.caller_service);
    for (const std::string_view part : {request.method, request.host, request.target, request.body}) {
        out = hash_combine(out, hash_bytes(part));
    }
    return out;
}

} // namespace pomeloloft::sidecar
