#pragma once

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

namespace pomeloloft::testing {

/// Targets of one service (three by default) and two proxies without targets, `entry` and `other`, in one
/// data centre, each node behind fault proxies.
struct request_fleet {
    explicit request_fleet(std::size_t targets = 3, const stand_ins::target_options& setup = {},
                           const std::vector<std::string>& flags = {})
    {
        for (std::size_t i = 0; i < targets; ++i) {
            this->f.add({"t" + std::to_string(i), "celje-1", "register", setup, flags, true});
        }
        this->f.add({"entry", "celje-1", "", {}, flags, true});
        this->f.add({"other", "celje-1", "", {}, flags, true});
        BOOST_REQUIRE(this->f.bring_up(this->entry(), example_path("savinja/pattern-shop.yaml")));
        this->targets = targets;
        for (const auto& n : this->f.nodes) {
            BOOST_REQUIRE(this->f.wait_for_endpoints(*n, targets, startup_timeout));
        }
    }

    [[nodiscard]] node& entry() { return *this->f.nodes[this->f.nodes.size() - 2]; }
    [[nodiscard]] node& other() { return *this->f.nodes.back(); }

    [[nodiscard]] std::uint64_t runs(const std::string& id) const
    {
        std::uint64_t total = 0;
        for (const auto& n : this->f.nodes) {
            total += n->target ? n->target->runs(id) : 0;
        }
        return total;
    }

    fleet f;
    std::size_t targets = 0;
};

inline client_request repair_request(const std::string& id, const std::string& key, int work_ms = 0)
{
    return {"POST",
            "/repairs",
            {{"X-Request-Id", id}, {"Idempotency-Key", key}, {"X-Work-Ms", std::to_string(work_ms)}},
            "{\"repair\": \"" + id + "\"}",
            milliseconds{8000}};
}

inline client_request read_request(const std::string& id, int work_ms = 0, int answer_bytes = 0)
{
    return {"GET",
            "/records/" + id,
            {{"X-Request-Id", id},
             {"X-Work-Ms", std::to_string(work_ms)},
             {"X-Answer-Bytes", std::to_string(answer_bytes)}},
            "",
            milliseconds{8000}};
}

/// Checks the outcome reported to the caller against the number of runs that the targets counted.
inline void check_outcome(const std::string& outcome, std::uint64_t runs)
{
    if (outcome == "not-run") {
        BOOST_TEST(runs == 0U);
    }
    if (outcome == "ran") {
        BOOST_TEST(runs == 1U);
    }
    BOOST_TEST(runs <= 1U);
}

} // namespace pomeloloft::testing
