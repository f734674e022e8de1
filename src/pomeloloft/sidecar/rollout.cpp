#include "pomeloloft/sidecar/rollout.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

/// Time for which the result of a roll-out is sent to other sidecars; each of them exchanges messages several
/// times meanwhile.
constexpr milliseconds result_sharing_time{30'000};
/// Time in which the old targets have ended after a completed roll-out.
constexpr milliseconds old_version_end_time{60'000};
/// Time in which an order reaches all nodes that can read the store or hear one that does.
constexpr milliseconds order_arrival_time{3'000};
/// Longest roll-out that is accepted.
constexpr std::uint64_t max_duration_ms = 30ULL * 24 * 3600 * 1000;

milliseconds since(time_point then, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

void exclude(std::vector<std::string>& versions, const std::string& version)
{
    if (std::find(versions.begin(), versions.end(), version) == versions.end()) {
        versions.push_back(version);
    }
}

/// Takes over what an earlier order leaves behind.
void inherit_exclusions(rollout& next, const rollout& replaced)
{
    for (const std::string& version : replaced.excluded) {
        exclude(next.excluded, version);
    }
    if (replaced.phase != rollout_phase::completed) {
        exclude(next.excluded, replaced.version);
    }
    std::erase(next.excluded, next.version);
}

error bad_field(const char* field)
{
    return {error_code::corrupt, field, "is missing, has the wrong type or is out of range"};
}

std::optional<std::uint64_t> number_in(const json& in, const char* field, std::uint64_t max)
{
    const auto found = in.find(field);
    if (found == in.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::string> text_in(const json& in, const char* field)
{
    const auto found = in.find(field);
    return found != in.end() && found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

result<void> read_texts(const json& in, rollout& out)
{
    const std::initializer_list<std::pair<const char*, std::string*>> texts = {
        {"service", &out.service}, {"version", &out.version}, {"decider", &out.decider}};
    for (const auto& [field, target] : texts) {
        auto text = text_in(in, field);
        if (!text) {
            return bad_field(field);
        }
        *target = std::move(*text);
    }
    const auto excluded = in.find("excluded");
    if (excluded == in.end() || !excluded->is_array()) {
        return bad_field("excluded");
    }
    for (const json& version : *excluded) {
        if (!version.is_string()) {
            return bad_field("excluded");
        }
        out.excluded.push_back(version.get<std::string>());
    }
    return success();
}

} // namespace

bool is_final(const rollout& r)
{
    return r.phase == rollout_phase::completed || r.phase == rollout_phase::rolled_back;
}

std::uint32_t share_in_force(const rollout& r)
{
    if (r.phase == rollout_phase::completed) {
        return full_share;
    }
    return r.halted || r.phase != rollout_phase::running ? 0 : r.share;
}

rollout begin_rollout(const rollout_order& order, time_point now)
{
    rollout out;
    out.service = order.service;
    out.version = order.version;
    out.order = order.id;
    out.started_at = now;
    out.changed_at = now;
    out.deadline = now + order.duration;
    return out;
}

bool merge_rollout(rollout_table& table, const rollout& incoming, time_point now)
{
    const auto [found, inserted] = table.try_emplace(incoming.service, incoming);
    rollout& known = found->second;
    if (inserted) {
        known.share_until = is_final(known) ? now + result_sharing_time : no_deadline;
        return true;
    }
    if (incoming.order < known.order ||
        (incoming.order == known.order && incoming.revision < known.revision)) {
        if (is_final(known)) {
            // The sender does not know the result.
            known.share_until = now + result_sharing_time;
        }
        const bool newly_halted = incoming.order == known.order && incoming.halted && !known.halted;
        known.halted = known.halted || newly_halted;
        return newly_halted;
    }
    rollout next = incoming;
    const bool same_order = incoming.order == known.order;
    if (same_order) {
        next.halted = next.halted || known.halted;
        // Clocks of VMs and the delay of messages differ; the earliest times known are the safe ones.
        next.started_at = std::min(next.started_at, known.started_at);
        next.deadline = std::min(next.deadline, known.deadline);
        for (const std::string& version : known.excluded) {
            exclude(next.excluded, version);
        }
        std::erase(next.excluded, next.version);
    } else {
        inherit_exclusions(next, known);
    }
    const bool changed = !same_order || next.revision != known.revision || next.halted != known.halted ||
                         next.excluded.size() != known.excluded.size();
    next.share_until =
        is_final(next) ? (changed ? now + result_sharing_time : known.share_until) : no_deadline;
    next.changed_at = changed ? next.changed_at : known.changed_at;
    known = std::move(next);
    return changed;
}

version_use use_of(const rollout* r, const std::string& version, time_point now)
{
    if (r == nullptr) {
        return version_use::current;
    }
    const bool excluded = std::find(r->excluded.begin(), r->excluded.end(), version) != r->excluded.end();
    if (r->phase == rollout_phase::completed && now > r->changed_at + old_version_end_time) {
        return excluded ? version_use::unused : version_use::current;
    }
    if (version == r->version) {
        return version_use::next;
    }
    return excluded ? version_use::unused : version_use::current;
}

std::optional<time_point> update_seen(seen_versions& seen, const std::vector<std::string>& present,
                                      time_point now)
{
    const bool first = seen.first_seen.empty();
    std::erase_if(seen.first_seen, [&present](const auto& known) {
        return std::find(present.begin(), present.end(), known.first) == present.end();
    });
    std::optional<time_point> out;
    for (const std::string& version : present) {
        if (version.empty()) {
            continue;
        }
        const time_point since = first ? time_point{} : now;
        const auto [known, inserted] = seen.first_seen.try_emplace(version, since);
        const time_point until = known->second + order_arrival_time;
        if (known->second != time_point{} && until > now) {
            out = out ? std::min(*out, until) : until;
        }
    }
    return out;
}

bool awaits_order(const seen_versions& seen, const std::string& version, time_point now)
{
    const auto known = seen.first_seen.find(version);
    return known != seen.first_seen.end() && known->second != time_point{} &&
           now < known->second + order_arrival_time;
}

std::string encode_rollout(const rollout& r, time_point now)
{
    return to_json_text(json{{"service", r.service},
                             {"version", r.version},
                             {"order", r.order},
                             {"phase", name_of(rollout_phase_names, r.phase)},
                             {"revision", r.revision},
                             {"share", r.share},
                             {"halted", r.halted},
                             {"decider", r.decider},
                             {"excluded", r.excluded},
                             {"age_ms", std::max<std::int64_t>(since(r.started_at, now).count(), 0)},
                             {"changed_ms", std::max<std::int64_t>(since(r.changed_at, now).count(), 0)},
                             {"left_ms", remaining(r.deadline, now).count()}});
}

result<rollout> decode_rollout(std::string_view text, time_point now)
{
    const json in = parse_json(text);
    if (!in.is_object()) {
        return error{error_code::corrupt, "rollout", "is not a JSON object"};
    }
    rollout out;
    BOOST_OUTCOME_TRY(read_texts(in, out));
    const auto order = number_in(in, "order", max_json_integer);
    const auto revision = number_in(in, "revision", 1U << 30U);
    const auto share = number_in(in, "share", full_share);
    if (!order || !revision || !share) {
        return bad_field(!order ? "order" : revision ? "share" : "revision");
    }
    out.order = *order;
    out.revision = static_cast<std::uint32_t>(*revision);
    out.share = static_cast<std::uint32_t>(*share);
    const auto age = number_in(in, "age_ms", max_duration_ms);
    const auto changed = number_in(in, "changed_ms", max_duration_ms);
    const auto left = number_in(in, "left_ms", max_duration_ms);
    if (!age || !changed || !left) {
        return bad_field(!age ? "age_ms" : changed ? "left_ms" : "changed_ms");
    }
    out.started_at = now - milliseconds(*age);
    out.changed_at = now - milliseconds(*changed);
    out.deadline = now + milliseconds(*left);
    const auto halted = in.find("halted");
    if (halted == in.end() || !halted->is_boolean()) {
        return bad_field("halted");
    }
    out.halted = halted->get<bool>();
    const auto phase = value_of(rollout_phase_names, text_in(in, "phase").value_or(""));
    if (!phase || out.service.empty() || out.version.empty()) {
        return bad_field(!phase ? "phase" : out.service.empty() ? "service" : "version");
    }
    out.phase = *phase;
    return out;
}

} // namespace pomeloloft::sidecar
