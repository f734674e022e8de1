#include <map>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/proxy/log_loop.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

constexpr std::size_t chunk_bytes = 256U << 10U;

/// The chunks found of one snapshot.
struct partial_snapshot {
    std::size_t count = 0;
    std::uint64_t next_offset = 0;
    std::int64_t at_ms = 0;
    std::map<std::size_t, std::string> chunks;
};

/// Adds the chunk in a record to its snapshot.
/// @return false when the record is malformed.
bool add_chunk(std::map<std::string, partial_snapshot>& found, const std::string& data)
{
    const json record = parse_json(data);
    if (!record.is_object()) {
        return false;
    }
    try {
        partial_snapshot& partial = found[record.at("id").get<std::string>()];
        partial.count = record.at("count").get<std::size_t>();
        partial.next_offset = record.at("next_offset").get<std::uint64_t>();
        partial.at_ms = record.at("at_ms").get<std::int64_t>();
        partial.chunks[record.at("index").get<std::size_t>()] = record.at("data").get<std::string>();
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

/// Decodes a snapshot; nothing when chunks are missing or its hash does not match.
std::optional<fold_state> assemble(const partial_snapshot& partial)
{
    if (partial.chunks.size() != partial.count) {
        return std::nullopt;
    }
    std::string text;
    for (const auto& [unused, chunk] : partial.chunks) {
        text += chunk;
    }
    auto state = decode_snapshot(text);
    if (!state) {
        return std::nullopt;
    }
    return std::move(state).value();
}

} // namespace

std::vector<std::string> snapshot_records(const std::string& id, std::uint64_t next_offset,
                                          std::int64_t at_ms, const std::string& snapshot)
{
    const std::size_t count = (snapshot.size() + chunk_bytes - 1) / chunk_bytes;
    std::vector<std::string> records;
    for (std::size_t index = 0; index < count; ++index) {
        const json record{{"id", id},       {"index", index},
                          {"count", count}, {"next_offset", next_offset},
                          {"at_ms", at_ms}, {"data", snapshot.substr(index * chunk_bytes, chunk_bytes)}};
        records.push_back(record.dump(-1, ' ', true, json::error_handler_t::replace));
    }
    return records;
}

std::optional<snapshot_position> newest_position(const std::vector<log_record>& records)
{
    std::map<std::string, partial_snapshot> found;
    if (records.empty() || !add_chunk(found, records.back().data)) {
        return std::nullopt;
    }
    const partial_snapshot& newest = found.begin()->second;
    return snapshot_position{newest.next_offset, newest.at_ms};
}

std::optional<found_snapshot> newest_snapshot(const std::vector<log_record>& records)
{
    std::map<std::string, partial_snapshot> found;
    for (const log_record& record : records) {
        add_chunk(found, record.data);
    }
    std::multimap<std::uint64_t, const partial_snapshot*, std::greater<>> newest_first;
    for (const auto& [unused, partial] : found) {
        newest_first.emplace(partial.next_offset, &partial);
    }
    for (const auto& [unused, partial] : newest_first) {
        if (auto state = assemble(*partial)) {
            return found_snapshot{std::move(*state), partial->at_ms};
        }
    }
    return std::nullopt;
}

} // namespace pomeloloft
