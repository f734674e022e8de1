#include "fault_scenarios.hpp"

#include <functional>
#include <optional>
#include <thread>

#include "fleet_samples.hpp"

namespace pomeloloft::testing {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;

bool is_running(const node& n)
{
    return n.process && n.process->running();
}

/// Submits a change and waits until the proxies selected by `is_included` have it in force.
/// @return the time in ms, also when the time limit passed; nothing when the change was not accepted.
std::optional<double> time_change(const fleet& f, const node& submit_proxy, std::int64_t& version,
                                  const std::function<bool(std::size_t)>& is_included)
{
    const time_point started_at = steady_clock::now();
    const auto answer = f.submit(submit_proxy, "fault-" + std::to_string(version),
                                 static_cast<std::uint64_t>(version), make_queue_change(version).dump());
    if (answer.status != status_ok) {
        return std::nullopt;
    }
    ++version;
    wait_until(large_fleet_timeout, [&] {
        for (std::size_t i = 0; i < f.nodes.size(); ++i) {
            if (is_included(i) && f.nodes[i]->version() < version) {
                return false;
            }
        }
        return true;
    });
    return static_cast<double>(remaining(steady_clock::now(), started_at).count());
}

json number_or_null(const std::optional<double>& time_ms)
{
    return time_ms ? json(*time_ms) : json(nullptr);
}

void announce_target(const node& n, std::uint16_t port, const std::string& service)
{
    const json body{
        {"service", service}, {"address", "127.0.0.1:" + std::to_string(port)}, {"ttl_ms", 60'000}};
    (void)call(n.at.local, {"PUT", "/v1/target", {}, body.dump(), milliseconds{2000}});
}

} // namespace

json make_queue_change(std::int64_t version)
{
    return {{{"op", "replace"}, {"path", "/services/service-0/queue"}, {"value", 50 + version}}};
}

json run_restart(fleet& f, std::int64_t& version)
{
    print_progress("restart of half the fleet");
    const json log_before = log_counters(f);
    const samples before = take_samples(f);
    const time_point restart_begin = steady_clock::now();
    for (std::size_t i = 0; i < f.nodes.size(); i += 2) {
        f.nodes[i]->process->kill();
    }
    for (std::size_t i = 0; i < f.nodes.size(); i += 2) {
        f.nodes[i]->start();
    }
    const auto change_ms = time_change(f, *f.nodes[1], version, [](std::size_t i) { return i % 2 == 1; });
    const bool all_ready_in_time = f.wait_until_ready(large_fleet_timeout);
    const double ready_ms = static_cast<double>(remaining(steady_clock::now(), restart_begin).count());
    const samples after = take_samples(f);
    return {{"restarted", (f.nodes.size() + 1) / 2},
            {"all_ready", all_ready_in_time},
            {"ready_ms", ready_ms},
            {"change_among_survivors_ms", number_or_null(change_ms)},
            {"bytes_sent_by_kind", bytes_by_kind(before, after)},
            {"log", log_counter_deltas(log_before, log_counters(f))}};
}

json run_reader_crash(fleet& f, std::int64_t& version)
{
    print_progress("crash of all log readers");
    const samples before = take_samples(f);
    std::vector<std::size_t> readers;
    std::size_t surviving_proxy = f.nodes.size();
    for (std::size_t i = 0; i < f.nodes.size(); ++i) {
        if (sample_metric(before[i], "pomeloloft_reader") == 1) {
            readers.push_back(i);
        } else {
            surviving_proxy = i;
        }
    }
    if (surviving_proxy == f.nodes.size()) {
        return {{"skipped", "every proxy is a reader"}};
    }
    for (const std::size_t i : readers) {
        f.nodes[i]->process->kill();
    }
    const auto change_ms = time_change(f, *f.nodes[surviving_proxy], version,
                                       [&f](std::size_t i) { return is_running(*f.nodes[i]); });
    for (const std::size_t i : readers) {
        f.nodes[i]->start();
    }
    const bool all_ready_in_time = f.wait_until_ready(large_fleet_timeout);
    return {{"killed", readers.size()},
            {"change_among_survivors_ms", number_or_null(change_ms)},
            {"all_ready", all_ready_in_time}};
}

json run_log_outage(fleet& f, std::int64_t& version)
{
    print_progress("log outage");
    constexpr milliseconds outage{10'000};
    const samples before = take_samples(f);
    f.log->set_faults({true, milliseconds{0}, 0});
    std::this_thread::sleep_for(outage);
    const samples after = take_samples(f);
    f.log->set_faults({});
    const time_point restored_at = steady_clock::now();
    std::optional<double> change_ms;
    wait_until(large_fleet_timeout, [&] {
        change_ms = time_change(f, *f.nodes[0], version, [](std::size_t) { return true; });
        return change_ms.has_value();
    });
    const auto since_restored = remaining(steady_clock::now(), restored_at);
    const double seconds = std::chrono::duration<double>(outage).count();
    return {{"outage_seconds", seconds},
            {"roles", usage_by_role(before, after, seconds)},
            {"change_in_force_after_return_ms", since_restored.count()}};
}

json run_endpoint_churn(fleet& f, milliseconds window)
{
    print_progress("endpoint churn");
    constexpr std::size_t node_stride = 10;
    constexpr milliseconds announcement_interval{20};
    const samples before = take_samples(f);
    const time_point end = steady_clock::now() + window;
    std::size_t changes = 0;
    for (std::size_t i = 0; steady_clock::now() < end; i = (i + node_stride) % f.nodes.size()) {
        if (!is_running(*f.nodes[i])) {
            continue;
        }
        // A different service each time, so that every announcement changes the entry.
        announce_target(*f.nodes[i], free_port(), "service-" + std::to_string(changes % 260));
        ++changes;
        std::this_thread::sleep_for(announcement_interval);
    }
    const samples after = take_samples(f);
    const double seconds = std::chrono::duration<double>(window).count();
    const json bytes = bytes_by_kind(before, after);
    const double per_change =
        bytes.at("members").get<double>() / static_cast<double>(std::max<std::size_t>(1, changes));
    return {{"changes", changes},
            {"changes_per_second", static_cast<double>(changes) / seconds},
            {"member_bytes_per_change_per_proxy", per_change / static_cast<double>(f.nodes.size())},
            {"roles", usage_by_role(before, after, seconds)}};
}

} // namespace pomeloloft::testing
