#include "pomeloloft/sidecar/member_record.hpp"

#include <limits>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/stream.hpp"

namespace pomeloloft::sidecar {
namespace {

using nlohmann::json;

json to_json(const member& m)
{
    json out{{"node", m.node},
             {"incarnation", m.incarnation},
             {"sequence", m.sequence},
             {"state", name_of(member_state_names, m.state)},
             {"data_centre", m.data_centre},
             {"service", m.service},
             {"peer", m.peer_address},
             {"instance", m.instance},
             {"instance_started_at_ms", m.instance_started_at_ms},
             {"link_mbps", m.link_mbps},
             {"reaches_store", m.reaches_store}};
    if (!m.version.empty()) {
        out["version"] = m.version;
    }
    return out;
}

error bad_field(const char* field)
{
    return {error_code::corrupt, field, "is missing, has the wrong type or is out of range"};
}

result<member> from_json(const json& in)
{
    if (!in.is_object()) {
        return error{error_code::corrupt, "member", "must be an object"};
    }
    member out;
    const std::initializer_list<std::pair<const char*, std::string*>> texts = {
        {"node", &out.node},
        {"data_centre", &out.data_centre},
        {"service", &out.service},
        {"peer", &out.peer_address},
        {"instance", &out.instance}};
    for (const auto& [field, target] : texts) {
        const auto found = in.find(field);
        if (found == in.end() || !found->is_string()) {
            return bad_field(field);
        }
        *target = found->get<std::string>();
    }
    const std::initializer_list<std::pair<const char*, std::uint64_t*>> numbers = {
        {"incarnation", &out.incarnation}, {"sequence", &out.sequence}};
    for (const auto& [field, target] : numbers) {
        const auto found = in.find(field);
        if (found == in.end() || !found->is_number_unsigned() ||
            found->get<std::uint64_t>() > max_json_integer) {
            return bad_field(field);
        }
        *target = found->get<std::uint64_t>();
    }
    const auto started = in.find("instance_started_at_ms");
    if (started == in.end() || !started->is_number_integer()) {
        return bad_field("instance_started_at_ms");
    }
    out.instance_started_at_ms = started->get<std::int64_t>();
    const auto version = in.find("version");
    if (version != in.end()) {
        if (!version->is_string()) {
            return bad_field("version");
        }
        out.version = version->get<std::string>();
    }
    const auto link = in.find("link_mbps");
    if (link == in.end() || !link->is_number_unsigned() ||
        link->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        return bad_field("link_mbps");
    }
    out.link_mbps = link->get<std::uint32_t>();
    const auto reaches = in.find("reaches_store");
    if (reaches == in.end() || !reaches->is_boolean()) {
        return bad_field("reaches_store");
    }
    out.reaches_store = reaches->get<bool>();
    const auto state = in.find("state");
    if (state == in.end() || !state->is_string()) {
        return bad_field("state");
    }
    const auto named = value_of(member_state_names, state->get_ref<const std::string&>());
    if (!named || out.node.empty()) {
        return bad_field(named ? "node" : "state");
    }
    out.state = *named;
    BOOST_OUTCOME_TRY(net::parse_endpoint(out.peer_address, "peer"));
    return out;
}

/// The crash observations of a message; those that cannot be decoded are skipped.
std::vector<crash_observation> crash_observations_in(const json& in)
{
    std::vector<crash_observation> out;
    const auto found = in.find("sightings");
    if (found == in.end() || !found->is_array()) {
        return out;
    }
    const auto times_left = in.find("sighting_ms");
    const bool has_times =
        times_left != in.end() && times_left->is_array() && times_left->size() == found->size();
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& entry = (*found)[i];
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_number_unsigned() ||
            !entry[1].is_string()) {
            continue;
        }
        crash_observation observation{entry[0].get<std::uint64_t>(), entry[1].get<std::string>()};
        // Sidecars of earlier versions do not send how long an observation is still valid.
        if (has_times && (*times_left)[i].is_number_integer()) {
            observation.time_left = milliseconds((*times_left)[i].get<std::int64_t>());
        }
        out.push_back(std::move(observation));
    }
    return out;
}

std::vector<cleared_suspect> cleared_suspects_in(const json& in)
{
    std::vector<cleared_suspect> out;
    const auto found = in.find("cleared");
    if (found == in.end() || !found->is_array()) {
        return out;
    }
    for (const json& entry : *found) {
        if (entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned() &&
            entry[1].is_number_integer()) {
            out.push_back({entry[0].get<std::uint64_t>(), milliseconds(entry[1].get<std::int64_t>())});
        }
    }
    return out;
}

/// The encoded roll-outs of a message.
std::vector<std::string> rollouts_in(const json& in)
{
    std::vector<std::string> out;
    const auto found = in.find("rollouts");
    if (found == in.end() || !found->is_array()) {
        return out;
    }
    for (const json& entry : *found) {
        if (entry.is_string()) {
            out.push_back(entry.get<std::string>());
        }
    }
    return out;
}

/// The bucket digests of a message; nothing when they are absent or cannot be decoded.
std::optional<table_digest> buckets_in(const json& in)
{
    const auto found = in.find("buckets");
    if (found == in.end() || !found->is_array() || found->size() != digest_buckets) {
        return std::nullopt;
    }
    table_digest out{};
    for (std::size_t i = 0; i < digest_buckets; ++i) {
        const json& bucket = (*found)[i];
        if (!bucket.is_number_unsigned()) {
            return std::nullopt;
        }
        out[i] = bucket.get<std::uint64_t>();
    }
    return out;
}

/// The spread scope of a message; `none` when it is absent or unknown.
spread_scope scope_in(const json& in)
{
    const auto found = in.find("spread");
    if (found == in.end() || !found->is_string()) {
        return spread_scope::none;
    }
    return value_of(spread_scope_names, found->get_ref<const std::string&>()).value_or(spread_scope::none);
}

} // namespace

std::string encode_member(const member& m)
{
    return to_json_text(to_json(m));
}

result<member> decode_member(std::string_view text)
{
    const json parsed = parse_json(text);
    if (parsed.is_discarded()) {
        return error{error_code::corrupt, "member", "is not JSON"};
    }
    return from_json(parsed);
}

std::string encode_sync(const sync_message& message)
{
    json members = json::array();
    for (const member& m : message.members) {
        members.push_back(to_json(m));
    }
    json out{{"node", message.node},
             {"config", message.config_version},
             {"digest", message.digest},
             {"members", std::move(members)}};
    if (!message.crash_observations.empty()) {
        json& crash_observations = out["sightings"];
        json& times_left = out["sighting_ms"];
        for (const crash_observation& observation : message.crash_observations) {
            crash_observations.push_back(json::array({observation.fingerprint, observation.crash}));
            times_left.push_back(observation.time_left.count());
        }
    }
    for (const cleared_suspect& cleared : message.cleared_suspects) {
        out["cleared"].push_back(json::array({cleared.fingerprint, cleared.time_left.count()}));
    }
    if (!message.rollouts.empty()) {
        out["rollouts"] = message.rollouts;
    }
    if (message.scope != spread_scope::none) {
        out["spread"] = name_of(spread_scope_names, message.scope);
    }
    if (message.buckets) {
        out["buckets"] = *message.buckets;
    }
    return to_json_text(out);
}

result<sync_message> decode_sync(std::string_view text)
{
    const json parsed = parse_json(text);
    if (!parsed.is_object()) {
        return error{error_code::corrupt, "sync", "is not a JSON object"};
    }
    sync_message out;
    const auto config = parsed.find("config");
    const auto digest = parsed.find("digest");
    const auto members = parsed.find("members");
    const auto node = parsed.find("node");
    const bool complete = config != parsed.end() && config->is_number_unsigned() && digest != parsed.end() &&
                          digest->is_number_unsigned() && members != parsed.end() && members->is_array() &&
                          node != parsed.end() && node->is_string();
    if (!complete) {
        return error{error_code::corrupt, "sync", "a required field is missing or has the wrong type"};
    }
    out.node = node->get<std::string>();
    out.config_version = config->get<std::uint64_t>();
    out.digest = digest->get<std::uint64_t>();
    out.scope = scope_in(parsed);
    out.buckets = buckets_in(parsed);
    out.crash_observations = crash_observations_in(parsed);
    out.cleared_suspects = cleared_suspects_in(parsed);
    out.rollouts = rollouts_in(parsed);
    for (const json& entry : *members) {
        auto read = from_json(entry);
        if (!read) {
            log_warning("member-ignored", {{"from", out.node}, {"reason", to_string(read.error())}});
            continue;
        }
        out.members.push_back(std::move(read.value()));
    }
    return out;
}

} // namespace pomeloloft::sidecar
