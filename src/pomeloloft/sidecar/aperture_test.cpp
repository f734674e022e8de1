#include "pomeloloft/sidecar/aperture.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "pomeloloft/sidecar/choose.hpp"
#include "test/named_row.hpp"

namespace pomeloloft::sidecar {
namespace {

struct coverage_row : testing::named_row {
    std::size_t senders;
    std::size_t endpoints;
    std::size_t fewest_senders;
    std::size_t most_senders;
};

const coverage_row coverage_rows[] = {
    {"as many endpoints as senders", 30, 30, aperture_size, aperture_size},
    {"fewer endpoints than the aperture", 13, 3, 13, 13},
    {"one endpoint for each five senders", 35, 7, 25, 25},
    {"more endpoints than senders", 10, 100, 0, 1},
};

/// A data centre in virtual time: senders that choose endpoints by the load reports that they get with
/// responses, and endpoints of uneven speed that refuse a request when all slots are taken.
struct simulated_data_centre {
    static constexpr std::size_t nodes = 33;
    static constexpr std::uint32_t slots = 8;
    static constexpr double mean_service_ms = 350;
    static constexpr double utilisation = 0.85;

    struct endpoint {
        double service_ms = 0;
        std::uint32_t running = 0;
    };

    struct sender {
        std::vector<endpoint_load> loads = std::vector<endpoint_load>(nodes);
        std::vector<candidate> candidates;
    };

    explicit simulated_data_centre(bool uses_aperture)
    {
        std::uniform_real_distribution<double> speed(0.6, 1.4);
        for (endpoint& e : this->endpoints) {
            e.service_ms = mean_service_ms * speed(this->generator);
        }
        for (std::size_t s = 0; s < nodes; ++s) {
            sender& added = this->senders[s];
            for (std::size_t i = 0; i < nodes; ++i) {
                added.loads[i].slots = slots;
                added.candidates.push_back(
                    {std::to_string(i), i == s, true, &added.loads[i], !uses_aperture || i == s});
            }
            for (const std::size_t i : aperture_positions(s, nodes, nodes, aperture_size)) {
                added.candidates[i].in_aperture = true;
            }
        }
    }

    [[nodiscard]] load_report report_of(const endpoint& e) const
    {
        load_report out;
        out.running = e.running;
        out.slots = slots;
        out.service_us = static_cast<std::uint32_t>(e.service_ms * 1000);
        return out;
    }

    void send(sender& from)
    {
        const chosen_endpoint chosen =
            choose({from.candidates, {}, 0, this->generator(), this->now}, choice_options{});
        const auto position = static_cast<std::size_t>(chosen.endpoint - from.candidates.data());
        endpoint& to = this->endpoints[position];
        endpoint_load& load = from.loads[position];
        ++this->sent;
        if (to.running >= slots) {
            ++this->refused;
            apply_load_report(load, this->report_of(to), this->now);
            return;
        }
        ++to.running;
        ++load.in_flight;
        ++load.sent_since_report;
        const auto service = milliseconds(static_cast<std::int64_t>(to.service_ms));
        this->events.emplace(this->now + service, [this, &to, &load] {
            --to.running;
            --load.in_flight;
            apply_load_report(load, this->report_of(to), this->now);
        });
    }

    /// @return the share of first tries that found no free slot.
    double refused_share_after(milliseconds duration)
    {
        const time_point end = this->now + duration;
        const double per_ms = utilisation * nodes * slots / mean_service_ms;
        std::exponential_distribution<double> gap_ms(per_ms);
        std::uniform_int_distribution<std::size_t> any_sender(0, nodes - 1);
        double clock_ms = 0;
        const time_point start = this->now;
        while (this->now < end) {
            clock_ms += gap_ms(this->generator);
            const time_point arrival = start + milliseconds(static_cast<std::int64_t>(clock_ms));
            while (!this->events.empty() && this->events.begin()->first <= arrival) {
                this->now = this->events.begin()->first;
                const auto finish = this->events.begin()->second;
                this->events.erase(this->events.begin());
                finish();
            }
            this->now = arrival;
            this->send(this->senders[any_sender(this->generator)]);
        }
        return static_cast<double>(this->refused) / static_cast<double>(this->sent);
    }

    std::mt19937_64 generator{20261204};
    std::vector<endpoint> endpoints = std::vector<endpoint>(nodes);
    std::vector<sender> senders = std::vector<sender>(nodes);
    std::multimap<time_point, std::function<void()>> events;
    time_point now = time_point{} + std::chrono::hours(1);
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(aperture)

BOOST_DATA_TEST_CASE(endpoints_are_preferred_by_about_as_many_senders,
                     boost::unit_test::data::make(coverage_rows), row)
{
    std::vector<std::size_t> senders_of(row.endpoints, 0);
    for (std::size_t s = 0; s < row.senders; ++s) {
        for (const std::size_t i : aperture_positions(s, row.senders, row.endpoints, aperture_size)) {
            ++senders_of.at(i);
        }
    }
    const auto [fewest, most] = std::minmax_element(senders_of.begin(), senders_of.end());
    BOOST_TEST(*fewest >= row.fewest_senders);
    BOOST_TEST(*most <= row.most_senders);
}

BOOST_AUTO_TEST_CASE(more_first_tries_find_a_free_slot_than_without_an_aperture)
{
    constexpr milliseconds duration{60'000};
    const double plain = simulated_data_centre(false).refused_share_after(duration);
    const double with_aperture = simulated_data_centre(true).refused_share_after(duration);
    BOOST_TEST_MESSAGE("refused first tries: " << plain << " without, " << with_aperture << " with");
    BOOST_TEST(with_aperture < plain);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace pomeloloft::sidecar
