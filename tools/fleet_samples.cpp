#include "fleet_samples.hpp"

#include <cmath>
#include <iostream>
#include <sstream>

namespace pomeloloft::testing {
namespace {

using nlohmann::json;

sample take_sample(const node& n)
{
    sample out;
    const client_response answer = call(n.at.local, {"GET", "/metrics", {}, "", milliseconds{5000}});
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (!line.empty() && line[0] != '#' && space != std::string::npos) {
            out.metrics[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    out.usage = read_usage(n.process->id());
    return out;
}

std::string traffic_metric_name(const std::string& quantity, const std::string& direction,
                                const std::string& kind)
{
    return "pomeloloft_control_" + quantity + "_total{direction=\"" + direction + "\",kind=\"" + kind + "\"}";
}

constexpr const char* frame_kinds[] = {"hello",   "records", "snapshot",  "heartbeat",
                                       "members", "refusal", "quarantine"};

/// Control bytes or frames that one proxy sent and received between two samples.
/// @param quantity `bytes` or `frames`.
double traffic_between(const sample& before, const sample& after, const std::string& quantity,
                       const std::string& kind)
{
    double total = 0;
    for (const char* direction : {"sent", "received"}) {
        const std::string name = traffic_metric_name(quantity, direction, kind);
        total += sample_metric(after, name) - sample_metric(before, name);
    }
    return total;
}

/// Role in the distribution tree: a reader of the log, a relay (more than one link) or a leaf.
std::string role_of(const sample& s)
{
    if (sample_metric(s, "pomeloloft_reader") == 1) {
        return "reader";
    }
    return sample_metric(s, "pomeloloft_links") > 1 ? "relay" : "leaf";
}

} // namespace

samples take_samples(const fleet& f)
{
    samples out(f.nodes.size());
    parallel_for(f.nodes.size(), [&](std::size_t i) { out[i] = take_sample(*f.nodes[i]); });
    return out;
}

double sample_metric(const sample& s, const std::string& name)
{
    const auto found = s.metrics.find(name);
    return found == s.metrics.end() ? 0 : found->second;
}

json summary_statistics(std::vector<double> values)
{
    if (values.empty()) {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    const auto value_at = [&values](double fraction) {
        const auto last_index = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(std::lround(fraction * last_index))];
    };
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return {{"mean", sum / static_cast<double>(values.size())},
            {"p50", value_at(0.5)},
            {"p99", value_at(0.99)},
            {"max", values.back()}};
}

json usage_by_role(const samples& before, const samples& after, double seconds)
{
    std::map<std::string, std::map<std::string, std::vector<double>>> values;
    for (std::size_t i = 0; i < after.size(); ++i) {
        auto& role = values[role_of(after[i])];
        role["cpu_percent"].push_back((after[i].usage.cpu_seconds - before[i].usage.cpu_seconds) / seconds *
                                      100);
        role["resident_mb"].push_back(after[i].usage.resident_mb);
        role["links"].push_back(sample_metric(after[i], "pomeloloft_links"));
        double bytes = 0;
        double frames = 0;
        for (const char* kind : frame_kinds) {
            bytes += traffic_between(before[i], after[i], "bytes", kind);
            frames += traffic_between(before[i], after[i], "frames", kind);
        }
        role["bytes_per_second"].push_back(bytes / seconds);
        role["frames_per_second"].push_back(frames / seconds);
    }
    json out;
    for (const auto& [role, role_metrics] : values) {
        out[role]["count"] = role_metrics.at("cpu_percent").size();
        for (const auto& [name, role_values] : role_metrics) {
            out[role][name] = summary_statistics(role_values);
        }
    }
    return out;
}

json bytes_by_kind(const samples& before, const samples& after)
{
    json out;
    for (const char* kind : frame_kinds) {
        double sent = 0;
        const std::string name = traffic_metric_name("bytes", "sent", kind);
        for (std::size_t i = 0; i < after.size(); ++i) {
            const double current = sample_metric(after[i], name);
            const double previous = sample_metric(before[i], name);
            sent += current >= previous ? current - previous : current;
        }
        out[kind] = sent;
    }
    return out;
}

json log_counters(const fleet& f)
{
    return json::parse(call(f.log_address, {"GET", "/v1/counters", {}, "", milliseconds{5000}}).body);
}

json log_counter_deltas(const json& before, const json& after)
{
    json out;
    for (const auto& [name, value] : after.items()) {
        out[name] = value.get<std::int64_t>() - before.at(name).get<std::int64_t>();
    }
    return out;
}

bool all_reached_version(const fleet& f, std::int64_t version)
{
    std::atomic<bool> all{true};
    parallel_for(f.nodes.size(), [&](std::size_t i) {
        if (all && f.nodes[i]->version() < version) {
            all = false;
        }
    });
    return all;
}

void print_progress(const std::string& text)
{
    std::cerr << text << std::endl;
}

} // namespace pomeloloft::testing
