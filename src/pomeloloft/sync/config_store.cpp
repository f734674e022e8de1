#include "pomeloloft/sync/config_store.hpp"

#include <algorithm>
#include <utility>

namespace pomeloloft {
namespace {

void append_recent(config_store& store, recent_record entry)
{
    store.recent_bytes += entry.record.data.size();
    store.recent.push_back(std::move(entry));
    while (store.recent_bytes > max_recent_bytes && store.recent.size() > 1) {
        store.recent_bytes -= store.recent.front().record.data.size();
        store.recent.pop_front();
    }
}

auto first_at_or_after(const config_store& store, std::uint64_t offset)
{
    const auto before = [](const recent_record& entry, std::uint64_t wanted) {
        return entry.record.offset < wanted;
    };
    return std::lower_bound(store.recent.begin(), store.recent.end(), offset, before);
}

} // namespace

result<bool> fold_batch(config_store& store, const record_batch& batch)
{
    if (batch.from > store.fold->next_offset) {
        return error{error_code::stale, "records", "start after the next offset to fold"};
    }
    auto next = std::make_shared<fold_state>(*store.fold);
    std::vector<recent_record> folded;
    for (const log_record& record : batch.records) {
        if (record.offset < next->next_offset) {
            continue;
        }
        folded.push_back({record, next->chain, next->next_offset});
        fold_record(*next, record.offset, record.data);
    }
    if (folded.empty()) {
        return false;
    }
    if (batch.chain && *batch.chain != next->chain) {
        return error{error_code::corrupt, "records",
                     "hash chain differs after offset " + std::to_string(folded.back().record.offset)};
    }
    store.fold = std::move(next);
    store.encoded_snapshot.reset();
    for (recent_record& entry : folded) {
        append_recent(store, std::move(entry));
    }
    return true;
}

bool install_newer_state(config_store& store, fold_state state)
{
    const bool newer = state.next_offset > store.fold->next_offset;
    if (!newer || state.current->version < store.fold->current->version) {
        return false;
    }
    store.fold = std::make_shared<const fold_state>(std::move(state));
    store.recent.clear();
    store.recent_bytes = 0;
    store.encoded_snapshot.reset();
    return true;
}

std::optional<record_batch> records_from(const config_store& store, std::uint64_t offset,
                                         std::size_t max_bytes)
{
    if (!chain_at(store, offset)) {
        return std::nullopt;
    }
    record_batch batch;
    batch.from = offset;
    std::size_t bytes = 0;
    auto it = first_at_or_after(store, offset);
    for (; it != store.recent.end() && (batch.records.empty() || bytes < max_bytes); ++it) {
        bytes += it->record.data.size();
        batch.records.push_back(it->record);
    }
    batch.chain = it == store.recent.end() ? store.fold->chain : it->chain_before;
    return batch;
}

std::optional<std::uint64_t> chain_at(const config_store& store, std::uint64_t offset)
{
    if (offset == store.fold->next_offset) {
        return store.fold->chain;
    }
    const auto it = first_at_or_after(store, offset);
    if (it == store.recent.end() || it->next_offset_before > offset) {
        return std::nullopt;
    }
    return it->chain_before;
}

std::shared_ptr<const std::string> shared_snapshot(config_store& store)
{
    if (!store.encoded_snapshot) {
        store.encoded_snapshot = std::make_shared<const std::string>(encode_snapshot(*store.fold));
    }
    return store.encoded_snapshot;
}

} // namespace pomeloloft
