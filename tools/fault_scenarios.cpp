#include "fault_scenarios.hpp"

#include <functional>
#include <optional>
#include <thread>

#include "fleet_samples.hpp"

namespace pomeloloft::testing {
namespace {

using nlohmann::json;

constexpr int ok = 200;

bool is_running(const node& n)
{
    return n.process && n.process->running();
}

/// Submits a change and waits until the chosen proxies have it.
/// @return the time it took, or nothing when it was not accepted.
std::optional<double> change_among(const fleet& f, const node& through, std::int64_t& version,
                                   const std::function<bool(std::size_t)>& chosen)
{
    const time_point begun = steady_clock::now();
    const auto answer = f.submit(through, "fault-" + std::to_string(version),
                                 static_cast<std::uint64_t>(version), change_of_queue(version).dump());
    if (answer.status != ok) {
        return std::nullopt;
    }
    ++version;
    wait_until(large_start_limit, [&] {
        for (std::size_t i = 0; i < f.nodes.size(); ++i) {
            if (chosen(i) && f.nodes[i]->version() < version) {
                return false;
            }
        }
        return true;
    });
    return static_cast<double>(remaining(steady_clock::now(), begun).count());
}

json to_json(const std::optional<double>& time)
{
    return time ? json(*time) : json(nullptr);
}

void announce(const node& n, std::uint16_t port, const std::string& service)
{
    const json body{
        {"service", service}, {"address", "127.0.0.1:" + std::to_string(port)}, {"ttl_ms", 60'000}};
    (void)call(n.at.local, {"PUT", "/v1/target", {}, body.dump(), milliseconds{2000}});
}

} // namespace

json change_of_queue(std::int64_t version)
{
    return {{{"op", "replace"}, {"path", "/services/service-0/queue"}, {"value", 50 + version}}};
}

json run_restart(fleet& f, std::int64_t& version)
{
    progress("restart of half the fleet");
    const json log_before = log_counters(f);
    const samples before = take_samples(f);
    const time_point started = steady_clock::now();
    for (std::size_t i = 0; i < f.nodes.size(); i += 2) {
        f.nodes[i]->process->kill();
    }
    for (std::size_t i = 0; i < f.nodes.size(); i += 2) {
        f.nodes[i]->start();
    }
    const auto change_ms = change_among(f, *f.nodes[1], version, [](std::size_t i) { return i % 2 == 1; });
    const bool ready = f.wait_until_ready(large_start_limit);
    const double took = static_cast<double>(remaining(steady_clock::now(), started).count());
    const samples after = take_samples(f);
    return {{"restarted", (f.nodes.size() + 1) / 2},
            {"all_ready", ready},
            {"ready_ms", took},
            {"change_among_survivors_ms", to_json(change_ms)},
            {"bytes_sent_by_kind", bytes_by_kind(before, after)},
            {"log", log_delta(log_before, log_counters(f))}};
}

json run_reader_death(fleet& f, std::int64_t& version)
{
    progress("death of all readers");
    const samples before = take_samples(f);
    std::vector<std::size_t> readers;
    std::size_t survivor = f.nodes.size();
    for (std::size_t i = 0; i < f.nodes.size(); ++i) {
        if (metric_of(before[i], "pomeloloft_reader") == 1) {
            readers.push_back(i);
        } else {
            survivor = i;
        }
    }
    if (survivor == f.nodes.size()) {
        return {{"skipped", "every proxy is a reader"}};
    }
    for (const std::size_t i : readers) {
        f.nodes[i]->process->kill();
    }
    const auto change_ms =
        change_among(f, *f.nodes[survivor], version, [&f](std::size_t i) { return is_running(*f.nodes[i]); });
    for (const std::size_t i : readers) {
        f.nodes[i]->start();
    }
    const bool ready = f.wait_until_ready(large_start_limit);
    return {
        {"killed", readers.size()}, {"change_among_survivors_ms", to_json(change_ms)}, {"all_ready", ready}};
}

json run_log_outage(fleet& f, std::int64_t& version)
{
    progress("log outage");
    constexpr milliseconds outage{10'000};
    const samples before = take_samples(f);
    f.log->set_faults({true, milliseconds{0}, 0});
    std::this_thread::sleep_for(outage);
    const samples after = take_samples(f);
    f.log->set_faults({});
    const time_point back = steady_clock::now();
    std::optional<double> change_ms;
    wait_until(large_start_limit, [&] {
        change_ms = change_among(f, *f.nodes[0], version, [](std::size_t) { return true; });
        return change_ms.has_value();
    });
    const auto since_back = remaining(steady_clock::now(), back);
    const double seconds = std::chrono::duration<double>(outage).count();
    return {{"outage_seconds", seconds},
            {"roles", per_role(before, after, seconds)},
            {"change_in_force_after_return_ms", since_back.count()}};
}

json run_endpoint_churn(fleet& f, milliseconds window)
{
    progress("endpoint churn");
    constexpr std::size_t one_in = 10;
    constexpr milliseconds pause{20};
    const samples before = take_samples(f);
    const time_point end = steady_clock::now() + window;
    std::size_t changes = 0;
    for (std::size_t i = 0; steady_clock::now() < end; i = (i + one_in) % f.nodes.size()) {
        if (!is_running(*f.nodes[i])) {
            continue;
        }
        // Another service each time, so that the entry changes.
        announce(*f.nodes[i], free_port(), "service-" + std::to_string(changes % 260));
        ++changes;
        std::this_thread::sleep_for(pause);
    }
    const samples after = take_samples(f);
    const double seconds = std::chrono::duration<double>(window).count();
    const json bytes = bytes_by_kind(before, after);
    const double per_change =
        bytes.at("members").get<double>() / static_cast<double>(std::max<std::size_t>(1, changes));
    return {{"changes", changes},
            {"changes_per_second", static_cast<double>(changes) / seconds},
            {"member_bytes_per_change_per_proxy", per_change / static_cast<double>(f.nodes.size())},
            {"roles", per_role(before, after, seconds)}};
}

} // namespace pomeloloft::testing
