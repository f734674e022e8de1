#include "pomeloloft/traffic/response_times.hpp"

#include <vector>

#include <boost/histogram.hpp>

namespace pomeloloft {
namespace {

namespace histogram = boost::histogram;

/// Response times outside of these bounds count as the nearest one, in microseconds.
constexpr double min_us = 100;
constexpr double max_us = 1e8;
/// Buckets of equal ratio, 20 to a power of ten.
constexpr unsigned bucket_count = 120;

using time_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto make_counts()
{
    return histogram::make_histogram_with(std::vector<std::uint32_t>(),
                                          time_axis(bucket_count, min_us, max_us));
}

} // namespace

struct response_times::windows {
    std::uint32_t window = 1;
    std::uint32_t in_current = 0;
    std::uint32_t in_previous = 0;
    decltype(make_counts()) current = make_counts();
    decltype(make_counts()) previous = make_counts();
};

response_times::response_times(std::uint32_t window) : kept(std::make_unique<windows>())
{
    this->kept->window = window;
}

response_times::~response_times() = default;
response_times::response_times(response_times&& other) noexcept = default;
response_times& response_times::operator=(response_times&& other) noexcept = default;

void response_times::add(std::chrono::microseconds sample)
{
    if (this->kept->in_current >= this->kept->window) {
        std::swap(this->kept->previous, this->kept->current);
        this->kept->in_previous = this->kept->in_current;
        this->kept->current.reset();
        this->kept->in_current = 0;
    }
    this->kept->current(static_cast<double>(sample.count()));
    ++this->kept->in_current;
}

std::optional<std::chrono::microseconds> response_times::quantile(double share) const
{
    const std::uint32_t total = this->kept->in_current + this->kept->in_previous;
    if (total < this->kept->window) {
        return std::nullopt;
    }
    const auto& axis = this->kept->current.axis();
    double below = 0;
    // -1 and `bucket_count` are the buckets outside of the bounds.
    for (int i = -1; i < static_cast<int>(bucket_count); ++i) {
        below += this->kept->current.at(i) + this->kept->previous.at(i);
        if (below >= share * total) {
            return std::chrono::microseconds(static_cast<std::int64_t>(axis.value(i + 1)));
        }
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(max_us));
}

} // namespace pomeloloft
