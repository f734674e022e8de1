#include "pomeloloft/config/fold.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/config/patch.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

audit_entry make_audit_entry(const patch& p, std::uint64_t offset)
{
    audit_entry entry;
    entry.offset = offset;
    entry.patch_id = p.id;
    entry.author = p.author;
    entry.message = p.message;
    entry.submitted_at_ms = p.submitted_at_ms;
    entry.base_version = p.base_version;
    return entry;
}

void apply_patch(fold_state& state, const patch& p, audit_entry& entry)
{
    if (p.base_version != state.current->version) {
        entry.outcome = patch_outcome::stale;
        entry.reason = "written against version " + std::to_string(p.base_version) +
                       "; the current version is " + std::to_string(state.current->version);
        return;
    }
    auto next = apply_operations(*state.current, p.operations);
    if (!next) {
        entry.outcome = patch_outcome::invalid;
        entry.reason = to_string(next.error());
        return;
    }
    entry.outcome = patch_outcome::accepted;
    state.current = std::make_shared<const config_version>(std::move(next).value());
}

void append_audit_entry(fold_state& state, const audit_entry& entry)
{
    state.audit.push_back(entry);
    while (state.audit.size() > max_audit_entries) {
        state.audit.pop_front();
    }
}

json audit_to_json(const audit_entry& e)
{
    return json::array({e.offset, e.patch_id, e.author, e.message, e.submitted_at_ms, e.base_version,
                        e.version, static_cast<int>(e.outcome), e.reason});
}

audit_entry audit_from_json(const json& source)
{
    audit_entry e;
    e.offset = source.at(0).get<std::uint64_t>();
    e.patch_id = source.at(1).get<std::string>();
    e.author = source.at(2).get<std::string>();
    e.message = source.at(3).get<std::string>();
    e.submitted_at_ms = source.at(4).get<std::int64_t>();
    e.base_version = source.at(5).get<std::uint64_t>();
    e.version = source.at(6).get<std::uint64_t>();
    e.outcome = static_cast<patch_outcome>(source.at(7).get<int>());
    e.reason = source.at(8).get<std::string>();
    return e;
}

result<config_version> version_from_json(const json& source, std::uint64_t version)
{
    config_version next;
    next.version = version;
    next.text = to_json_text(source);
    if (next.text.size() > max_document_bytes) {
        return error{error_code::invalid, "", "the document would be larger than 4 MiB"};
    }
    BOOST_OUTCOME_TRY(auto doc, parse_document(source));
    next.doc = std::move(doc);
    next.hash = hash_bytes(next.text);
    return next;
}

constexpr std::size_t hash_digits = 16;

/// Whether an operation would nest a document deeper than `max_json_depth`: copies of copies grow fast.
/// Malformed operations are left to `json::patch_inplace`, which reports them.
bool nests_too_deeply(const json& document, const json& operation)
{
    if (!operation.is_object() || !operation.contains("path") || !operation["path"].is_string()) {
        return false;
    }
    const std::string& path = operation["path"].get_ref<const std::string&>();
    std::size_t depth = static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
    if (operation.contains("from") && operation["from"].is_string()) {
        const json::json_pointer from(operation["from"].get<std::string>());
        depth += document.contains(from) ? json_depth(document.at(from)) : 0;
    }
    if (operation.contains("value")) {
        depth += json_depth(operation["value"]);
    }
    return depth > max_json_depth;
}

} // namespace

result<config_version> apply_operations(const config_version& current, std::string_view operations)
{
    try {
        json patched = parse_json(current.text);
        for (const json& operation : parse_json(operations)) {
            if (nests_too_deeply(patched, operation)) {
                return error{error_code::invalid, "operations", "nest the document too deeply"};
            }
            patched.patch_inplace(json::array({operation}));
        }
        return version_from_json(patched, current.version + 1);
    } catch (const json::exception& failure) {
        return error{error_code::invalid, "operations", failure.what()};
    }
}

const audit_entry* find_audit_entry(const fold_state& state, std::string_view patch_id)
{
    const auto matches = [patch_id](const audit_entry& e) { return e.patch_id == patch_id; };
    const auto found = std::find_if(state.audit.rbegin(), state.audit.rend(), matches);
    return found == state.audit.rend() ? nullptr : &*found;
}

audit_entry fold_record(fold_state& state, std::uint64_t offset, std::string_view record)
{
    state.next_offset = offset + 1;
    state.chain = hash_combine(hash_combine(state.chain, offset), hash_bytes(record));
    const auto decoded = decode_patch(record);
    if (!decoded) {
        audit_entry entry;
        entry.offset = offset;
        entry.version = state.current->version;
        entry.reason = to_string(decoded.error());
        append_audit_entry(state, entry);
        return entry;
    }
    if (const audit_entry* original = find_audit_entry(state, decoded.value().id)) {
        audit_entry repeated = *original;
        repeated.outcome = patch_outcome::duplicate;
        return repeated;
    }
    audit_entry entry = make_audit_entry(decoded.value(), offset);
    apply_patch(state, decoded.value(), entry);
    entry.version = state.current->version;
    append_audit_entry(state, entry);
    return entry;
}

std::string encode_snapshot(const fold_state& state)
{
    json audit = json::array();
    for (const audit_entry& entry : state.audit) {
        audit.push_back(audit_to_json(entry));
    }
    const json body{{"version", state.current->version},
                    {"document", parse_json(state.current->text)},
                    {"next_offset", state.next_offset},
                    {"chain", state.chain},
                    {"audit", std::move(audit)}};
    std::string text = to_json_text(body);
    text += to_hex(hash_bytes(text));
    return text;
}

result<fold_state> decode_snapshot(std::string_view text)
{
    const error corrupt{error_code::corrupt, "snapshot", "does not match its hash"};
    if (text.size() < hash_digits) {
        return corrupt;
    }
    const std::string_view body = text.substr(0, text.size() - hash_digits);
    if (to_hex(hash_bytes(body)) != text.substr(body.size())) {
        return corrupt;
    }
    try {
        const json source = parse_json(body);
        fold_state state;
        BOOST_OUTCOME_TRY(auto current, version_from_json(source.at("document"),
                                                          source.at("version").get<std::uint64_t>()));
        state.current = std::make_shared<const config_version>(std::move(current));
        state.next_offset = source.at("next_offset").get<std::uint64_t>();
        state.chain = source.at("chain").get<std::uint64_t>();
        for (const json& entry : source.at("audit")) {
            state.audit.push_back(audit_from_json(entry));
        }
        return state;
    } catch (const json::exception& failure) {
        return error{error_code::corrupt, "snapshot", failure.what()};
    }
}

} // namespace pomeloloft
