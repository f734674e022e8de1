#include "pomeloloft/config/patch.hpp"

#include <random>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/json_text.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr std::size_t max_text_bytes = 256;
constexpr std::size_t max_operations = 4096;

error field_error(const char* field, const std::string& reason)
{
    return {error_code::invalid, field, reason};
}

result<std::string> read_string_field(const json& source, const char* field, bool required)
{
    const auto found = source.find(field);
    if (found == source.end()) {
        if (required) {
            return field_error(field, "is missing");
        }
        return std::string{};
    }
    if (!found->is_string()) {
        return field_error(field, "must be a string");
    }
    auto text = found->get<std::string>();
    if (text.size() > max_text_bytes || (required && text.empty())) {
        return field_error(field, "must be 1 to 256 bytes long");
    }
    return text;
}

} // namespace

std::string encode_patch(const patch& p)
{
    json record{{"id", p.id}, {"author", p.author}, {"base", p.base_version}, {"at_ms", p.submitted_at_ms}};
    if (!p.message.empty()) {
        record["message"] = p.message;
    }
    record["operations"] = parse_json(p.operations);
    return to_json_text(record);
}

result<patch> decode_patch(std::string_view record)
{
    if (record.size() > max_patch_bytes) {
        return field_error("patch", "is larger than 256 KiB");
    }
    const json source = parse_json(record);
    if (!source.is_object()) {
        return field_error("patch", "is not a JSON object");
    }
    patch out;
    BOOST_OUTCOME_TRY(auto id, read_string_field(source, "id", true));
    out.id = std::move(id);
    BOOST_OUTCOME_TRY(auto author, read_string_field(source, "author", true));
    out.author = std::move(author);
    BOOST_OUTCOME_TRY(auto message, read_string_field(source, "message", false));
    out.message = std::move(message);
    const auto base = source.find("base");
    if (base == source.end() || !base->is_number_unsigned()) {
        return field_error("base", "must be a version number");
    }
    out.base_version = base->get<std::uint64_t>();
    const auto at = source.find("at_ms");
    out.submitted_at_ms = at != source.end() && at->is_number_integer() ? at->get<std::int64_t>() : 0;
    const auto operations = source.find("operations");
    if (operations == source.end() || !operations->is_array() || operations->size() > max_operations) {
        return field_error("operations", "must be a list of at most 4096 RFC 6902 operations");
    }
    out.operations = to_json_text(*operations);
    return out;
}

std::string make_patch_id()
{
    std::random_device device;
    const auto random_uint64 = [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); };
    return to_hex(random_uint64()) + to_hex(random_uint64());
}

} // namespace pomeloloft
