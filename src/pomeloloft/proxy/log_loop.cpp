#include "pomeloloft/proxy/log_loop.hpp"

#include <algorithm>
#include <random>
#include <set>

#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/config/patch.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;

/// Time that a read waits for a new record, and the time beyond it in which the log responds. Together they
/// bound how long a read that is never answered delays a change.
constexpr milliseconds tail_wait{1500};
constexpr milliseconds tail_response_time{1000};
/// Time in which a log that did not respond to the last read responds to the next one, which does not wait.
constexpr milliseconds recovery_response_time{2000};
constexpr milliseconds idle_interval{100};
constexpr milliseconds scan_interval{2000};
constexpr milliseconds join_scan_interval{250};
constexpr milliseconds announce_interval{5000};
/// Bounds of the interval between two checks of the newest snapshot. The interval itself is one twentieth of
/// the log's retention.
constexpr milliseconds min_snapshot_check_interval{1000};
constexpr milliseconds max_snapshot_check_interval{60'000};
/// A starting node that cannot join through an announced reader joins by reading the log itself after this
/// time and some jitter.
constexpr milliseconds join_timeout{1500};
constexpr milliseconds initial_backoff{100};
/// With `recovery_response_time` it bounds the time from the recovery of the log to the first read.
constexpr milliseconds max_backoff{600};
constexpr std::uint64_t max_reader_records = 64;
constexpr std::uint64_t max_snapshot_records = 64;
/// Number of records after the newest snapshot that makes a new one worth its size.
constexpr std::uint64_t records_per_snapshot = 256;

std::uint64_t random_below(std::uint64_t limit)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator() % limit;
}

milliseconds snapshot_check_interval(milliseconds retention)
{
    constexpr int checks_per_retention = 20;
    return std::clamp(retention / checks_per_retention, min_snapshot_check_interval,
                      max_snapshot_check_interval);
}

/// Control addresses of the announced readers, newest announcement first, without this node's own address.
std::vector<std::string> reader_addresses(const std::vector<log_record>& records,
                                          const std::string& own_address)
{
    std::vector<std::string> addresses;
    std::set<std::string> seen{own_address};
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        const json record = parse_json(it->data);
        if (!record.is_object() || !record.contains("control") || !record["control"].is_string()) {
            continue;
        }
        const auto address = record["control"].get<std::string>();
        if (seen.insert(address).second) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

/// Reads the newest `count` records of a stream.
result<log_batch> read_newest(blackboard& board, std::string_view stream, std::uint64_t count)
{
    ++board.events.log_reads;
    BOOST_OUTCOME_TRY(auto bounds, board.log.bounds(stream));
    const std::uint64_t from =
        bounds.next > count ? std::max(bounds.oldest, bounds.next - count) : bounds.oldest;
    ++board.events.log_reads;
    return board.log.read({stream, from, static_cast<std::uint32_t>(count), steady_clock::now()});
}

} // namespace

log_loop::log_loop(blackboard& shared, std::function<void(const std::vector<std::string>&)> on_found)
    : board(shared), on_readers_found(std::move(on_found)),
      solo_join_at(steady_clock::now() + milliseconds(random_below(join_timeout.count())))
{}

log_loop::~log_loop()
{
    this->stop();
}

void log_loop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void log_loop::stop()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void log_loop::pause(milliseconds time)
{
    std::unique_lock lock(this->board.change_mutex);
    const time_point until = steady_clock::now() + time;
    this->board.changed.wait_until(lock, until, [this] { return this->board.stopped.load(); });
}

void log_loop::back_off()
{
    this->backoff = std::clamp(this->backoff * 2, initial_backoff, max_backoff);
    this->pause(milliseconds(random_below(static_cast<std::uint64_t>(this->backoff.count())) + 1));
}

void log_loop::run()
{
    while (!this->board.stopped) {
        const time_point now = steady_clock::now();
        if (!this->board.joined || this->board.is_reader) {
            this->scan_readers(now);
        }
        if (!this->board.joined || !this->board.is_reader) {
            this->fetch_log_end();
            this->pause(idle_interval);
            continue;
        }
        this->announce_reader(now);
        this->tail();
        this->renew_snapshot(now);
    }
}

/// Reads the announcements since the previous call; the first call reads the newest records.
result<log_bounds> log_loop::read_reader_stream()
{
    ++this->board.events.log_reads;
    const bool first = this->next_announcement_offset == 0;
    BOOST_OUTCOME_TRY(auto batch, first ? read_newest(this->board, reader_stream, max_reader_records)
                                        : this->board.log.read({reader_stream, this->next_announcement_offset,
                                                                max_reader_records, steady_clock::now()}));
    this->next_announcement_offset = batch.bounds.next;
    this->announcements.insert(this->announcements.end(), batch.records.begin(), batch.records.end());
    const std::size_t surplus =
        this->announcements.size() - std::min<std::size_t>(this->announcements.size(), max_reader_records);
    this->announcements.erase(this->announcements.begin(),
                              this->announcements.begin() + static_cast<std::ptrdiff_t>(surplus));
    return batch.bounds;
}

void log_loop::scan_readers(time_point now)
{
    if (now < this->next_scan) {
        return;
    }
    this->next_scan = now + (this->board.joined ? scan_interval : join_scan_interval);
    auto bounds = this->read_reader_stream();
    this->board.log_unavailable = !bounds;
    if (!bounds) {
        ++this->board.events.log_read_errors;
        return;
    }
    const std::string own = advertised_control(this->board.settings);
    const auto addresses = reader_addresses(this->announcements, own);
    this->on_readers_found(addresses);
    const bool join_timed_out = now >= this->solo_join_at + join_timeout;
    if (!this->board.joined && (addresses.empty() ? now >= this->solo_join_at : join_timed_out)) {
        this->board.joined = true;
        log_info("joined", {{"through", "the log"}});
    }
}

bool log_loop::append(std::string_view stream, const std::string& data)
{
    ++this->board.events.log_appends;
    const bool appended = this->board.log.append(stream, data).has_value();
    this->board.events.log_append_errors += appended ? 0 : 1;
    return appended;
}

void log_loop::announce_reader(time_point now)
{
    if (!this->board.is_assigned_reader || now < this->next_announcement || this->board.stopping) {
        return;
    }
    const json record{{"node", this->board.settings.node},
                      {"data_centre", this->board.settings.data_centre},
                      {"control", advertised_control(this->board.settings)}};
    this->append(reader_stream, to_json_text(record));
    this->next_announcement = now + announce_interval;
}

void log_loop::record_log_end(std::uint64_t next_offset)
{
    this->board.log_end_offset = next_offset;
    this->board.log_end_known = true;
}

/// A starting node that does not tail the log requests its end once, to know when it has received every
/// record up to there.
void log_loop::fetch_log_end()
{
    if (this->board.ready || this->board.log_end_known || !this->board.joined) {
        return;
    }
    ++this->board.events.log_reads;
    const auto bounds = this->board.log.bounds(config_stream);
    this->board.log_unavailable = !bounds;
    if (!bounds) {
        ++this->board.events.log_read_errors;
        this->back_off();
        return;
    }
    this->record_log_end(bounds.value().next);
    notify_change(this->board);
}

void log_loop::tail()
{
    const std::uint64_t from =
        this->board.hub.read([](const sync_state& state) { return state.config.fold->next_offset; });
    // Until the end is reached, reads do not wait for new records, so that a starting node learns the log's
    // end at once. Nor do they after a failure: a read that is not answered would delay the next one longer.
    const bool waits = this->reached_log_end && !this->board.log_unavailable;
    const time_point wait_deadline = steady_clock::now() + (waits ? tail_wait : milliseconds{0});
    ++this->board.events.log_reads;
    const auto batch =
        this->board.log.read({config_stream, from, 256, wait_deadline,
                              wait_deadline + (waits ? tail_response_time : recovery_response_time)});
    if (!batch) {
        ++this->board.events.log_read_errors;
        if (!this->board.log_unavailable.exchange(true)) {
            log_warning("log-unavailable", {{"reason", to_string(batch.error())}});
        }
        this->back_off();
        return;
    }
    if (this->board.log_unavailable.exchange(false)) {
        log_info("log-available");
    }
    this->backoff = milliseconds{0};
    if (batch.value().bounds.oldest > from) {
        this->recover_from_snapshot(batch.value().bounds);
        return;
    }
    this->apply_batch(batch.value());
}

bool log_loop::apply_batch(const log_batch& batch)
{
    const bool changed = this->board.hub.update([&](sync_state& state) {
        const record_batch fetched{state.config.fold->next_offset, batch.records, std::nullopt};
        const auto folded = fold_batch(state.config, fetched);
        if (state.config.fold->next_offset >= batch.bounds.next) {
            state.log_end_read_at = steady_clock::now();
            state.log_end_ever_read = true;
        }
        return folded && folded.value();
    });
    if (!this->board.log_end_known) {
        this->record_log_end(batch.bounds.next);
    }
    this->reached_log_end = this->reached_log_end || batch.records.empty();
    {
        const std::lock_guard lock(this->board.change_mutex);
        this->board.config_dirty = this->board.config_dirty || changed;
    }
    notify_change(this->board);
    return changed;
}

void log_loop::recover_from_snapshot(const log_bounds& bounds)
{
    const auto newest = read_newest(this->board, snapshot_stream, max_snapshot_records);
    auto snapshot = newest ? newest_snapshot(newest.value().records) : std::nullopt;
    if (!snapshot || snapshot->state.next_offset < bounds.oldest) {
        log_warning("log-gap", {{"oldest", bounds.oldest}, {"snapshot", snapshot ? "too old" : "none"}});
        this->back_off();
        return;
    }
    const std::uint64_t version = snapshot->state.current->version;
    const bool adopted = this->board.hub.update(
        [&](sync_state& state) { return install_newer_state(state.config, std::move(snapshot->state)); });
    log_info("snapshot-loaded", {{"version", version}, {"adopted", adopted ? "yes" : "no"}});
    {
        const std::lock_guard lock(this->board.change_mutex);
        this->board.config_dirty = true;
    }
    notify_change(this->board);
}

void log_loop::renew_snapshot(time_point now)
{
    if (now < this->next_snapshot_check || !this->board.is_assigned_reader || this->board.log_unavailable) {
        return;
    }
    // The jitter makes readers check at different times, so that usually one of them writes a snapshot and
    // the others find it up to date.
    const milliseconds interval = snapshot_check_interval(this->board.settings.log_retention);
    this->next_snapshot_check = now + interval + milliseconds(random_below(interval.count()));
    const auto newest = read_newest(this->board, snapshot_stream, 1);
    if (!newest) {
        return;
    }
    const auto last_snapshot = newest_position(newest.value().records);
    std::uint64_t next_offset = 0;
    const std::string text = this->board.hub.update([&](sync_state& state) {
        next_offset = state.config.fold->next_offset;
        return *shared_snapshot(state.config);
    });
    const bool many_records =
        next_offset >= (last_snapshot ? last_snapshot->next_offset : 0) + records_per_snapshot;
    const bool aged =
        next_offset > 0 && (!last_snapshot || wall_clock_ms() - last_snapshot->at_ms >
                                                  this->board.settings.log_retention.count() / 4);
    if (!many_records && !aged) {
        return;
    }
    for (const std::string& record : snapshot_records(make_patch_id(), next_offset, wall_clock_ms(), text)) {
        if (!this->append(snapshot_stream, record)) {
            return;
        }
    }
    ++this->board.events.snapshots_written;
    log_info("snapshot-written", {{"next_offset", next_offset}});
}

} // namespace pomeloloft
