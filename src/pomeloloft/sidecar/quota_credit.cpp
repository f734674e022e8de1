#include "pomeloloft/sidecar/quota_credit.hpp"

#include <algorithm>
#include <cmath>

namespace pomeloloft::sidecar {
namespace {

/// Time over which the arrival rate is smoothed.
constexpr double smoothing_s = 0.5;
/// Time without arrivals after which the state is removed.
constexpr milliseconds idle_time{5000};

double rate_at(const quota_credit& credit, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - credit.last_arrival).count();
    return credit.arrivals_per_s * std::exp(-std::max(elapsed, 0.0) / smoothing_s);
}

bool is_about_to_expire(const credit_batch& batch, time_point now, const quota_options& options)
{
    return batch.token.expires_at > now && batch.token.expires_at - now <= options.return_margin;
}

} // namespace

void record_arrival(quota_credit& credit, time_point now)
{
    credit.arrivals_per_s = rate_at(credit, now) + 1.0 / smoothing_s;
    credit.last_arrival = now;
}

std::optional<quota_token> spend(quota_credit& credit, time_point now)
{
    std::erase_if(credit.batches, [now](const credit_batch& b) { return b.token.expires_at <= now; });
    const auto first = std::min_element(
        credit.batches.begin(), credit.batches.end(),
        [](const credit_batch& a, const credit_batch& b) { return a.token.expires_at < b.token.expires_at; });
    if (first == credit.batches.end()) {
        return std::nullopt;
    }
    const quota_token out = first->token;
    if (--first->count == 0) {
        credit.batches.erase(first);
    }
    return out;
}

void give_back(quota_credit& credit, const quota_token& token, time_point now)
{
    if (token.expires_at > now) {
        credit.batches.push_back({token, 1});
    }
}

std::uint32_t held(const quota_credit& credit, time_point now)
{
    std::uint32_t out = 0;
    for (const credit_batch& batch : credit.batches) {
        out += batch.token.expires_at > now ? batch.count : 0;
    }
    return out;
}

std::uint32_t wanted(const quota_credit& credit, time_point now, const quota_options& options)
{
    constexpr double min_prefetch = 2.0;
    // While the limit binds, credits ahead of need are lacking elsewhere.
    const milliseconds period = credit.limited ? options.limited_interval : options.prefetch;
    const double expected = rate_at(credit, now) * std::chrono::duration<double>(period).count();
    const double ahead = expected < min_prefetch ? 0.0 : std::ceil(expected);
    const double present = held(credit, now);
    // Half of the need is left when more is asked for, which covers the time until the response.
    if (credit.waiting == 0 && present * 2 >= ahead) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::max(ahead + credit.waiting - present, 0.0));
}

bool is_refused(const quota_credit& credit, time_point now)
{
    return credit.limited && now < credit.next_ask && !credit.asking;
}

void add_grant(quota_credit& credit, const std::string& holder, std::uint32_t count, time_point asked_at,
               const quota_options& options)
{
    if (count > 0) {
        credit.batches.push_back({{holder, asked_at + options.credit_lifetime}, count});
    }
}

bool record_answer(quota_credit& credit, std::uint32_t asked_for, std::uint32_t granted, std::size_t holders,
                   time_point now, const quota_options& options)
{
    ++credit.asked;
    if (granted >= asked_for) {
        credit.limited = false;
        credit.asked = 0;
        return false;
    }
    ++credit.next_holder;
    if (!credit.limited && held(credit, now) >= credit.waiting) {
        credit.asked = 0;
        return false;
    }
    if (credit.limited || credit.asked >= holders) {
        credit.limited = true;
        credit.next_ask = now + options.limited_interval;
        credit.asked = 0;
        return false;
    }
    return true;
}

bool has_unused(const quota_credit& credit, const std::string& holder, time_point now,
                const quota_options& options)
{
    return std::any_of(credit.batches.begin(), credit.batches.end(), [&](const credit_batch& b) {
        return b.token.holder == holder && is_about_to_expire(b, now, options);
    });
}

std::uint32_t take_unused(quota_credit& credit, const std::string& holder, time_point now,
                          const quota_options& options)
{
    std::uint32_t out = 0;
    std::erase_if(credit.batches, [&](const credit_batch& b) {
        const bool unused = b.token.holder == holder && is_about_to_expire(b, now, options);
        out += unused ? b.count : 0;
        return unused;
    });
    return out;
}

bool is_idle(const quota_credit& credit, time_point now)
{
    return credit.waiting == 0 && !credit.asking && held(credit, now) == 0 &&
           now - credit.last_arrival > idle_time;
}

} // namespace pomeloloft::sidecar
