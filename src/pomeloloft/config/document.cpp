#include "pomeloloft/config/document.hpp"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <set>

#include <nlohmann/json.hpp>

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr std::size_t max_name_bytes = 128;
constexpr std::uint32_t max_deadline_ms = 600'000;
constexpr std::uint32_t min_fan_out = 2;
constexpr std::uint32_t max_fan_out = 32;
constexpr std::uint32_t min_heartbeat_ms = 100;
constexpr std::uint32_t max_interval_ms = 60'000;
constexpr std::uint32_t max_limit = 100'000;

/// Collects validation errors so that one check reports all of them.
struct validation_errors {
    std::vector<std::string> messages;

    void add(const std::string& pointer, const std::string& message)
    {
        this->messages.push_back(pointer + ": " + message);
    }
};

std::string join_lines(const std::vector<std::string>& messages)
{
    std::string text;
    for (const std::string& line : messages) {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

std::string join_names(std::initializer_list<std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

bool is_object(const json& source, const std::string& pointer, validation_errors& errors)
{
    if (!source.is_object()) {
        errors.add(pointer, "must be an object");
    }
    return source.is_object();
}

void reject_unknown_fields(const json& source, const std::string& pointer,
                           std::initializer_list<std::string_view> known, validation_errors& errors)
{
    for (const auto& [key, unused] : source.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            errors.add(pointer + "/" + key, "unknown field; known are " + join_names(known));
        }
    }
}

void read_uint(const json& source, const std::string& pointer, const char* key, std::uint32_t min,
               std::uint32_t max, std::uint32_t& out, validation_errors& errors)
{
    const auto found = source.find(key);
    if (found == source.end()) {
        return;
    }
    const bool is_unsigned = found->is_number_unsigned();
    if (!is_unsigned || found->get<std::uint64_t>() < min || found->get<std::uint64_t>() > max) {
        errors.add(pointer + "/" + key,
                   "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    out = found->get<std::uint32_t>();
}

void read_optional(const json& source, const std::string& pointer, const char* key, std::uint32_t min,
                   std::uint32_t max, std::optional<std::uint32_t>& out, validation_errors& errors)
{
    if (source.contains(key)) {
        out = min;
        read_uint(source, pointer, key, min, max, *out, errors);
    }
}

void read_bool(const json& source, const std::string& pointer, const char* key, bool& out,
               validation_errors& errors)
{
    const auto found = source.find(key);
    if (found == source.end()) {
        return;
    }
    if (!found->is_boolean()) {
        errors.add(pointer + "/" + key, "must be true or false");
        return;
    }
    out = found->get<bool>();
}

void read_string(const json& source, const std::string& pointer, const char* key, std::string& out,
                 validation_errors& errors)
{
    const auto found = source.find(key);
    if (found == source.end()) {
        errors.add(pointer + "/" + key, "is missing");
        return;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
        errors.add(pointer + "/" + key, "must be a non-empty string");
        return;
    }
    out = found->get<std::string>();
}

template <typename Enum, std::size_t Count>
void read_enum(const json& source, const std::string& pointer, const char* key,
               const name_table<Enum, Count>& table, Enum& out, validation_errors& errors)
{
    const auto found = source.find(key);
    if (found == source.end()) {
        return;
    }
    const auto value =
        found->is_string() ? value_of(table, found->get_ref<const std::string&>()) : std::nullopt;
    if (!value) {
        std::string names;
        for (const auto& row : table) {
            names += (names.empty() ? "" : ", ") + std::string(row.name);
        }
        errors.add(pointer + "/" + key, "must be one of " + names);
        return;
    }
    out = *value;
}

bool is_valid_name(const std::string& name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= max_name_bytes && std::all_of(name.begin(), name.end(), allowed);
}

void check_name(const std::string& name, const std::string& pointer, validation_errors& errors)
{
    if (!is_valid_name(name)) {
        errors.add(pointer, "names are 1 to 128 of a-z, 0-9, '-', '_' and '.'");
    }
}

void read_data_centres(const json& source, document& out, validation_errors& errors)
{
    const auto found = source.find("data_centres");
    if (found == source.end()) {
        return;
    }
    if (!found->is_array()) {
        errors.add("/data_centres", "must be a list of names");
        return;
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < found->size(); ++i) {
        const std::string pointer = "/data_centres/" + std::to_string(i);
        if (!(*found)[i].is_string()) {
            errors.add(pointer, "must be a string");
            continue;
        }
        const auto name = (*found)[i].get<std::string>();
        check_name(name, pointer, errors);
        if (!seen.insert(name).second) {
            errors.add(pointer, "stands twice: " + name);
        }
        out.data_centres.push_back(name);
    }
}

service read_service(const json& source, const std::string& pointer, validation_errors& errors)
{
    service out;
    if (!is_object(source, pointer, errors)) {
        return out;
    }
    reject_unknown_fields(source, pointer, {"limit", "slots", "connections", "queue", "slow_start_ms"},
                          errors);
    read_enum(source, pointer, "limit", slot_limit_names, out.limit, errors);
    read_uint(source, pointer, "slots", 1, max_limit, out.slots, errors);
    read_uint(source, pointer, "connections", 1, max_limit, out.connections, errors);
    read_uint(source, pointer, "queue", 0, max_limit, out.queue, errors);
    read_uint(source, pointer, "slow_start_ms", 0, max_deadline_ms, out.slow_start_ms, errors);
    if (out.connections < out.slots) {
        errors.add(pointer + "/connections", "must be at least slots (" + std::to_string(out.slots) + ")");
    }
    return out;
}

void read_methods(const json& source, const std::string& pointer, route& out, validation_errors& errors)
{
    static const std::set<std::string> known{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    const auto found = source.find("methods");
    if (found == source.end() || !found->is_array() || found->empty()) {
        errors.add(pointer + "/methods", "must be a non-empty list of HTTP methods");
        return;
    }
    for (const json& method : *found) {
        if (!method.is_string() || !known.contains(method.get<std::string>())) {
            errors.add(pointer + "/methods", "unknown HTTP method " + method.dump());
            continue;
        }
        out.methods.push_back(method.get<std::string>());
    }
}

route read_route(const json& source, const std::string& pointer, validation_errors& errors)
{
    route out;
    if (!is_object(source, pointer, errors)) {
        return out;
    }
    reject_unknown_fields(
        source, pointer,
        {"prefix", "methods", "service", "idempotent", "internal", "priority", "deadline_ms"}, errors);
    read_string(source, pointer, "prefix", out.prefix, errors);
    read_string(source, pointer, "service", out.service, errors);
    read_methods(source, pointer, out, errors);
    read_bool(source, pointer, "idempotent", out.idempotent, errors);
    read_bool(source, pointer, "internal", out.internal, errors);
    read_enum(source, pointer, "priority", priority_names, out.priority, errors);
    read_uint(source, pointer, "deadline_ms", 1, max_deadline_ms, out.deadline_ms, errors);
    if (!out.prefix.empty() && out.prefix.front() != '/') {
        errors.add(pointer + "/prefix", "must begin with '/'");
    }
    return out;
}

void check_route_services(const document& doc, validation_errors& errors)
{
    for (const auto& [name, entry] : doc.routes) {
        if (!entry.service.empty() && !doc.services.contains(entry.service)) {
            errors.add("/routes/" + name + "/service", "no such service: " + entry.service +
                                                           "; declare it under /services in the same patch");
        }
    }
}

void check_route_overlap(const document& doc, validation_errors& errors)
{
    std::map<std::string, std::string> route_by_match;
    for (const auto& [name, entry] : doc.routes) {
        for (const std::string& method : entry.methods) {
            const auto [existing, inserted] = route_by_match.emplace(method + " " + entry.prefix, name);
            if (!inserted) {
                errors.add("/routes/" + name,
                           "matches the same method and prefix as /routes/" + existing->second);
            }
        }
    }
}

template <typename Read, typename Out>
void read_entries(const json& source, const char* key, Read read, Out& out, validation_errors& errors)
{
    const auto found = source.find(key);
    const std::string pointer = std::string("/") + key;
    if (found == source.end() || !is_object(*found, pointer, errors)) {
        return;
    }
    for (const auto& [name, value] : found->items()) {
        const std::string entry_pointer = pointer + "/" + name;
        check_name(name, entry_pointer, errors);
        out.emplace(name, read(value, entry_pointer, errors));
    }
}

void read_distribution(const json& source, document& out, validation_errors& errors)
{
    const auto found = source.find("distribution");
    if (found == source.end() || !is_object(*found, "/distribution", errors)) {
        return;
    }
    const std::string pointer = "/distribution";
    distribution& d = out.distribution;
    reject_unknown_fields(*found, pointer, {"preset", "fan_out", "heartbeat_ms", "batch_window_ms"}, errors);
    read_enum(*found, pointer, "preset", distribution_preset_names, d.preset, errors);
    read_optional(*found, pointer, "fan_out", min_fan_out, max_fan_out, d.fan_out, errors);
    read_optional(*found, pointer, "heartbeat_ms", min_heartbeat_ms, max_interval_ms, d.heartbeat_ms, errors);
    read_optional(*found, pointer, "batch_window_ms", 0, max_interval_ms, d.batch_window_ms, errors);
}

} // namespace

result<document> parse_document(const json& source)
{
    validation_errors errors;
    document out;
    if (!is_object(source, "/", errors)) {
        return error{error_code::invalid, "", join_lines(errors.messages)};
    }
    reject_unknown_fields(source, "", {"data_centres", "distribution", "services", "routes"}, errors);
    read_data_centres(source, out, errors);
    read_distribution(source, out, errors);
    read_entries(source, "services", read_service, out.services, errors);
    read_entries(source, "routes", read_route, out.routes, errors);
    check_route_services(out, errors);
    check_route_overlap(out, errors);
    if (!errors.messages.empty()) {
        return error{error_code::invalid, "", join_lines(errors.messages)};
    }
    return out;
}

} // namespace pomeloloft
