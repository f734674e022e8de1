#include "pomeloloft/sidecar/rollout_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

/// Length of the evidence of the last seconds.
constexpr milliseconds recent_time{3000};
constexpr milliseconds history_spacing{400};
/// A target that has not reported for this long is not counted on.
constexpr milliseconds report_lifetime{2000};
/// Evidence from fewer answers decides nothing.
constexpr std::uint64_t min_answers = 20;
constexpr std::uint64_t min_bad = 8;
/// Smallest difference of shares that makes a version bad.
constexpr double min_difference = 0.03;
/// Standard deviations that the difference must exceed: the versions are compared several times a second and
/// on each route.
constexpr double deviations = 4.0;
/// A current version without evidence is assumed to have a share of 1 in 20 bad answers.
constexpr double assumed_bad = 1.0;
constexpr double assumed_answers = 20.0;
/// Classes of time beyond the median from which an answer counts as slow: 2.8 times as long.
constexpr std::size_t slow_classes = 3;
/// Targets of a version from which the worst one is left out.
constexpr std::size_t min_targets_to_compare = 3;

void add_counts(answer_counts& to, const answer_counts& from)
{
    to.answers += from.answers;
    to.failures += from.failures;
    for (std::size_t i = 0; i < time_classes; ++i) {
        to.times[i] += from.times[i];
    }
}

/// What was counted after `before`. Counts that have become smaller belong to another process.
answer_counts difference(const answer_counts& after, const answer_counts& before)
{
    const auto minus = [](std::uint64_t a, std::uint64_t b) { return a - std::min(a, b); };
    answer_counts out;
    out.answers = minus(after.answers, before.answers);
    out.failures = minus(after.failures, before.failures);
    for (std::size_t i = 0; i < time_classes; ++i) {
        out.times[i] = minus(after.times[i], before.times[i]);
    }
    return out;
}

answer_counts counts_on(const route_counts& counts, const std::string& route)
{
    answer_counts out;
    for (const auto& [name, counted] : counts) {
        if (route.empty() || name == route) {
            add_counts(out, counted);
        }
    }
    return out;
}

answer_counts total_of(const target_evidence& target, const std::string& route)
{
    answer_counts out = counts_on(target.total, route);
    add_counts(out, counts_on(target.earlier, route));
    return out;
}

answer_counts recent_of(const target_evidence& target, const std::string& route)
{
    const answer_counts now = counts_on(target.total, route);
    return target.history.empty() ? now : difference(now, counts_on(target.history.front().second, route));
}

/// Counts of each target of one side.
using side = std::vector<answer_counts>;

std::uint64_t sum_from(const answer_counts& counts, std::size_t first_class)
{
    std::uint64_t out = 0;
    for (std::size_t i = first_class; i < time_classes; ++i) {
        out += counts.times[i];
    }
    return out;
}

/// Sums a share over targets, without the one that has most bad answers.
bad_share sum_of(const side& targets, const std::function<bad_share(const answer_counts&)>& share_of)
{
    bad_share out;
    bad_share worst;
    std::size_t heard = 0;
    for (const answer_counts& counts : targets) {
        const bad_share one = share_of(counts);
        heard += one.answers > 0 ? 1 : 0;
        out.answers += one.answers;
        out.bad += one.bad;
        if (one.bad > worst.bad) {
            worst = one;
        }
    }
    if (heard >= min_targets_to_compare) {
        out.answers -= worst.answers;
        out.bad -= worst.bad;
    }
    return out;
}

/// First class of time that counts as slow, by the median of the current version.
std::size_t first_slow_class(const side& current)
{
    answer_counts all;
    for (const answer_counts& counts : current) {
        add_counts(all, counts);
    }
    const std::uint64_t answers = sum_from(all, 0);
    if (answers < min_answers) {
        return time_classes;
    }
    std::uint64_t below = 0;
    std::size_t median = 0;
    while (median + 1 < time_classes && below + all.times[median] <= answers / 2) {
        below += all.times[median++];
    }
    return std::min(median + slow_classes, time_classes);
}

rollout_verdict compare(const side& next, const side& current, const std::string& route)
{
    const auto failures = [](const answer_counts& c) { return bad_share{c.answers, c.failures}; };
    rollout_verdict out{rollout_complaint::failures, route, sum_of(next, failures),
                        sum_of(current, failures)};
    if (is_worse(out.next, out.current)) {
        return out;
    }
    const std::size_t slow_from = first_slow_class(current);
    const auto slow = [slow_from](const answer_counts& c) {
        return bad_share{sum_from(c, 0), sum_from(c, slow_from)};
    };
    out = {rollout_complaint::slow, route, sum_of(next, slow), sum_of(current, slow)};
    return slow_from < time_classes && is_worse(out.next, out.current) ? out : rollout_verdict{};
}

std::optional<std::uint64_t> number_in(const json& in, const char* field)
{
    const auto found = in.find(field);
    if (found == in.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max_json_integer) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

error bad_field(const char* field)
{
    return {error_code::corrupt, field, "is missing, has the wrong type or is out of range"};
}

result<answer_counts> counts_in(const json& in)
{
    if (!in.is_object()) {
        return bad_field("routes");
    }
    const auto answers = number_in(in, "answers");
    const auto failures = number_in(in, "failures");
    const auto times = in.find("times");
    if (!answers || !failures || *failures > *answers) {
        return bad_field(answers ? "failures" : "answers");
    }
    if (times == in.end() || !times->is_array() || times->size() > time_classes) {
        return bad_field("times");
    }
    answer_counts out{*answers, *failures, {}};
    for (std::size_t i = 0; i < times->size(); ++i) {
        const json& count = (*times)[i];
        if (!count.is_number_unsigned() || count.get<std::uint64_t>() > *answers) {
            return bad_field("times");
        }
        out.times[i] = count.get<std::uint64_t>();
    }
    return out;
}

} // namespace

std::size_t time_class_of(std::chrono::microseconds taken)
{
    constexpr double us_per_ms = 1000.0;
    const double ms = std::max(static_cast<double>(taken.count()) / us_per_ms, 1.0);
    return std::min(static_cast<std::size_t>(2 * std::log2(ms)), time_classes - 1);
}

std::string encode_report(const rollout_report& report)
{
    json routes = json::object();
    for (const auto& [route, counts] : report.routes) {
        const auto end = std::find_if(counts.times.rbegin(), counts.times.rend(),
                                      [](std::uint64_t count) { return count > 0; });
        routes[route] = {{"answers", counts.answers},
                         {"failures", counts.failures},
                         {"times", std::vector<std::uint64_t>(counts.times.begin(), end.base())}};
    }
    return to_json_text(json{{"node", report.node},
                             {"incarnation", report.incarnation},
                             {"service", report.service},
                             {"version", report.version},
                             {"order", report.order},
                             {"in_flight", report.in_flight},
                             {"routes", std::move(routes)}});
}

result<rollout_report> decode_report(std::string_view text)
{
    const json in = parse_json(text);
    if (!in.is_object()) {
        return error{error_code::corrupt, "report", "is not a JSON object"};
    }
    rollout_report out;
    const std::initializer_list<std::pair<const char*, std::string*>> texts = {
        {"node", &out.node}, {"service", &out.service}, {"version", &out.version}};
    for (const auto& [field, target] : texts) {
        const auto found = in.find(field);
        if (found == in.end() || !found->is_string()) {
            return bad_field(field);
        }
        *target = found->get<std::string>();
    }
    const auto incarnation = number_in(in, "incarnation");
    const auto order = number_in(in, "order");
    const auto in_flight = number_in(in, "in_flight");
    const auto routes = in.find("routes");
    if (!incarnation || !order || !in_flight || routes == in.end() || !routes->is_object()) {
        return bad_field(!incarnation ? "incarnation"
                         : !order     ? "order"
                         : in_flight  ? "routes"
                                      : "in_flight");
    }
    out.incarnation = *incarnation;
    out.order = *order;
    out.in_flight = static_cast<std::uint32_t>(std::min<std::uint64_t>(*in_flight, UINT32_MAX));
    for (const auto& [route, counts] : routes->items()) {
        BOOST_OUTCOME_TRY(auto counted, counts_in(counts));
        out.routes[route] = counted;
    }
    return out;
}

void add_report(rollout_evidence& evidence, const rollout_report& report, time_point now)
{
    if (report.order < evidence.order) {
        return;
    }
    if (report.order > evidence.order) {
        evidence.order = report.order;
        evidence.targets.clear();
    }
    target_evidence& target = evidence.targets[report.node];
    const bool known = target.incarnation != 0;
    if (known && report.incarnation < target.incarnation) {
        return;
    }
    if (known && target.version != report.version) {
        target = {};
    } else if (known && report.incarnation > target.incarnation) {
        for (const auto& [route, counts] : target.total) {
            add_counts(target.earlier[route], counts);
        }
        target.history.clear();
        target.total.clear();
    }
    if (target.history.empty() || now - target.history.back().first >= history_spacing) {
        target.history.emplace_back(now, target.total);
    }
    while (target.history.size() > 1 && now - target.history[1].first >= recent_time) {
        target.history.pop_front();
    }
    target.version = report.version;
    target.incarnation = report.incarnation;
    target.in_flight = report.in_flight;
    target.heard_at = now;
    target.total = report.routes;
}

bool is_worse(const bad_share& next, const bad_share& current)
{
    if (next.answers < min_answers || next.bad < min_bad) {
        return false;
    }
    const auto next_answers = static_cast<double>(next.answers);
    const double current_answers = static_cast<double>(current.answers) + assumed_answers;
    const double next_share = static_cast<double>(next.bad) / next_answers;
    const double current_share = (static_cast<double>(current.bad) + assumed_bad) / current_answers;
    const double variance =
        next_share * (1 - next_share) / next_answers + current_share * (1 - current_share) / current_answers;
    const double more = next_share - current_share;
    return more > min_difference && more > deviations * std::sqrt(variance);
}

rollout_verdict judge(const rollout_evidence& evidence, const std::string& version, time_point now)
{
    std::set<std::string> routes{std::string{}};
    for (const auto& [node, target] : evidence.targets) {
        for (const auto& [route, counts] : target.total) {
            routes.insert(route);
        }
    }
    for (const std::string& route : routes) {
        side next_total;
        side next_recent;
        side current_total;
        side current_recent;
        std::uint64_t current_answers = 0;
        for (const auto& [node, target] : evidence.targets) {
            const bool heard_lately = now - target.heard_at <= report_lifetime;
            if (target.version == version) {
                next_total.push_back(total_of(target, route));
                next_recent.push_back(heard_lately ? recent_of(target, route) : answer_counts{});
            } else {
                current_total.push_back(total_of(target, route));
                current_recent.push_back(heard_lately ? recent_of(target, route) : answer_counts{});
                current_answers += current_recent.back().answers;
            }
        }
        // Where the current version hardly gets requests any more, only its past can be compared with.
        const side& current_now = current_answers < min_answers ? current_total : current_recent;
        rollout_verdict found = compare(next_total, current_total, route);
        if (found.complaint == rollout_complaint::none) {
            found = compare(next_recent, current_now, route);
        }
        if (found.complaint != rollout_complaint::none) {
            return found;
        }
    }
    return {};
}

rollout_coverage coverage_of(const rollout_evidence& evidence, const std::string& version, time_point now)
{
    rollout_coverage out;
    for (const auto& [node, target] : evidence.targets) {
        if (now - target.heard_at > report_lifetime) {
            continue;
        }
        if (target.version == version) {
            ++out.next_targets;
        } else {
            ++out.current_targets;
            out.current_in_flight += target.in_flight;
        }
    }
    return out;
}

} // namespace pomeloloft::sidecar
