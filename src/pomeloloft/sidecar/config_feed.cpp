#include "pomeloloft/sidecar/config_feed.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/base/parse_number.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/routing/table_codec.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Interval at which readers announce the newest version; `reader_timeout` expires after two missed
/// announcements, and then still leaves a node time to read a version itself before it must be in force.
constexpr milliseconds announce_interval{500};
constexpr milliseconds reader_timeout{1100};
/// Time in which an announced version normally arrives by push.
constexpr milliseconds push_wait{200};
/// Timeout of a fetch; a whole table takes most of it on a narrow link.
constexpr milliseconds fetch_timeout{1500};
constexpr milliseconds push_timeout{1500};
/// Versions kept for deltas: more than are published while a node fetches one.
constexpr std::size_t max_history = 8;

/// A link this many times narrower than the best one is not used to read the store while others are
/// available: a whole document would saturate it for seconds.
constexpr std::uint32_t narrow_link_factor = 4;

/// Suitability of a member as reader for a data centre; lower is better.
using reader_rank = std::tuple<bool, bool, std::int64_t, std::uint64_t>;

bool may_read(const member& m)
{
    return m.state != member_state::gone && m.reaches_store;
}

std::uint32_t best_link_mbps(const member_table& members)
{
    std::uint32_t best = 0;
    for (const auto& [node, entry] : members.entries) {
        best = may_read(entry.value) ? std::max(best, entry.value.link_mbps) : best;
    }
    return best;
}

std::set<std::string> data_centres_of(const member_table& members)
{
    std::set<std::string> out;
    for (const auto& [node, entry] : members.entries) {
        out.insert(entry.value.data_centre);
    }
    return out;
}

} // namespace

std::vector<std::string> config_readers(const member_table& members, const std::string& data_centre)
{
    const std::uint32_t best = best_link_mbps(members);
    std::vector<std::pair<reader_rank, const member*>> eligible;
    for (const auto& [node, entry] : members.entries) {
        const member& m = entry.value;
        if (may_read(m)) {
            const bool narrow = m.link_mbps * narrow_link_factor < best;
            eligible.push_back({{narrow, m.data_centre != data_centre,
                                 -static_cast<std::int64_t>(m.link_mbps), tree_weight(node)},
                                &m});
        }
    }
    const std::size_t count = std::min(eligible.size(), readers_per_data_centre);
    std::partial_sort(eligible.begin(), eligible.begin() + static_cast<std::ptrdiff_t>(count),
                      eligible.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(eligible[i].second->node);
    }
    return out;
}

std::vector<std::string> fetch_order(std::vector<std::string> readers, const std::string& announcing_node)
{
    const auto announcing = std::find(readers.begin(), readers.end(), announcing_node);
    if (announcing == readers.end()) {
        readers.push_back(announcing_node);
    } else {
        std::rotate(readers.begin(), announcing, announcing + 1);
    }
    return readers;
}

push_content decide_push(const push_facts& facts)
{
    if (facts.has_delta && facts.is_lead_reader) {
        return push_content::delta;
    }
    return facts.is_reader ? push_content::version : push_content::nothing;
}

config_feed::config_feed(net::event_loop& io_loop, sidecar_state& process_state, shared_store& platform_store,
                         config_decoder decoder, net::client_pool& peers)
    : loop(io_loop), shared(process_state), store(platform_store), decode(std::move(decoder)), pool(peers),
      recovery_pause(io_loop.get_executor())
{}

bool config_feed::reads_for(const std::string& data_centre) const
{
    const auto readers = config_readers(this->shared.members, data_centre);
    return std::find(readers.begin(), readers.end(), this->shared.local_settings.node) != readers.end();
}

bool config_feed::is_reader() const
{
    const auto all = data_centres_of(this->shared.members);
    return std::any_of(all.begin(), all.end(),
                       [this](const std::string& data_centre) { return this->reads_for(data_centre); });
}

bool config_feed::has_live_reader() const
{
    const time_point cutoff = steady_clock::now() - reader_timeout;
    return std::any_of(this->reader_last_heard.begin(), this->reader_last_heard.end(),
                       [cutoff](const auto& last_heard) { return last_heard.second >= cutoff; });
}

bool config_feed::is_lead_reader(const std::string& data_centre) const
{
    const auto readers = config_readers(this->shared.members, data_centre);
    const time_point cutoff = steady_clock::now() - reader_timeout;
    for (const std::string& reader : readers) {
        if (reader == this->shared.local_settings.node) {
            return true;
        }
        const auto last_heard = this->reader_last_heard.find(reader);
        if (last_heard != this->reader_last_heard.end() && last_heard->second >= cutoff) {
            return false;
        }
    }
    return false;
}

void config_feed::adopt(std::shared_ptr<const routing::route_table> table)
{
    const auto previous = routes_of(this->shared);
    if (!adopt_config(this->shared, table)) {
        return;
    }
    if (previous) {
        this->history.push_back(previous);
        if (this->history.size() > max_history) {
            this->history.pop_front();
        }
    }
    if (this->on_config_adopted) {
        this->on_config_adopted();
    }
    if (previous && this->reading && this->is_reader()) {
        const std::string delta = routing::encode_delta(routing::make_delta(*previous, *table));
        log_info("config-pushed",
                 {{"version", table->version}, {"bytes", static_cast<std::uint64_t>(delta.size())}});
        this->push(delta);
    }
}

void config_feed::push(const std::string& delta)
{
    for (const std::string& data_centre : data_centres_of(this->shared.members)) {
        const push_content content =
            decide_push({!delta.empty(), this->reads_for(data_centre), this->is_lead_reader(data_centre)});
        if (content != push_content::nothing) {
            this->push_to(data_centre, content == push_content::delta ? delta : std::string{});
        }
    }
}

void config_feed::push_to(const std::string& data_centre, const std::string& delta)
{
    for (const member* other : other_members(this->shared)) {
        if (other->data_centre != data_centre) {
            continue;
        }
        const auto address = net::parse_endpoint(other->peer_address, "member " + other->node);
        if (address) {
            net::spawn(this->loop, this->send_delta(other->node, address.value(), delta), "tell");
        }
    }
}

net::task<void> config_feed::send_delta(std::string node, net::tcp::endpoint address, std::string delta)
{
    net::request sent = this->make_request(net::http::verb::post);
    const std::size_t sent_bytes = delta.size();
    sent.body() = std::move(delta);
    sent.prepare_payload();
    const time_point deadline = steady_clock::now() + push_timeout;
    const auto call_result = co_await this->pool.call(address, std::move(sent), deadline);
    if (call_result) {
        this->record_message(node, sent_bytes + call_result.value().body().size());
        this->handle_announced_version(node, net::header_text(call_result.value(), peer_header::config));
    }
}

void config_feed::record_message(const std::string& node, std::size_t body_bytes)
{
    const member* known = find_member(this->shared.members, node);
    const bool remote = known != nullptr && known->data_centre != this->shared.local_settings.data_centre;
    this->shared.control.record_config(remote, body_bytes);
}

net::request config_feed::make_request(net::http::verb method) const
{
    net::request out{method, peer_header::config_path, 11};
    out.set(peer_header::node, this->shared.local_settings.node);
    out.set(peer_header::config, std::to_string(config_version(this->shared)));
    return out;
}

net::task<void> config_feed::announce_version()
{
    for (;;) {
        co_await net::sleep_for(announce_interval);
        const bool announces = !this->shared.stopping && this->reading && this->store_reachable &&
                               this->shared.config.load() != nullptr && this->is_reader();
        if (announces) {
            this->push({});
        }
    }
}

net::reply config_feed::handle(const net::request& received)
{
    const std::string node(net::header_text(received, peer_header::node));
    if (received.method() == net::http::verb::get) {
        return this->serve_delta(
            parse_number<std::uint64_t>(net::header_text(received, peer_header::config)).value_or(0));
    }
    this->reader_last_heard[node] = steady_clock::now();
    if (!received.body().empty()) {
        const auto applied = this->apply_encoded_delta(received.body());
        if (!applied && applied.error().code != pomeloloft::error_code::stale) {
            log_warning("config-ignored", {{"from", node}, {"reason", to_string(applied.error())}});
        }
    }
    this->handle_announced_version(node, net::header_text(received, peer_header::config));
    net::reply out{net::make_response(net::http::status::ok)};
    out.response.set(peer_header::config, std::to_string(config_version(this->shared)));
    return out;
}

result<void> config_feed::apply_encoded_delta(std::string_view text)
{
    BOOST_OUTCOME_TRY(const auto delta, routing::decode_delta(text));
    const auto current = routes_of(this->shared);
    if (current && delta.version <= current->version) {
        return success();
    }
    const routing::route_table empty;
    const bool is_full_table = delta.base_version == 0;
    if (!current && !is_full_table) {
        return error{pomeloloft::error_code::stale, "delta", "cannot be applied before the first full table"};
    }
    BOOST_OUTCOME_TRY(auto table, routing::apply_delta(is_full_table ? empty : *current, delta));
    this->adopt(std::move(table));
    return success();
}

net::reply config_feed::serve_delta(std::uint64_t from) const
{
    const auto current = routes_of(this->shared);
    if (!current || current->version <= from) {
        return {net::make_response(net::http::status::not_found)};
    }
    const auto base = std::find_if(this->history.begin(), this->history.end(),
                                   [from](const auto& table) { return table->version == from; });
    const routing::route_table empty;
    const std::string delta =
        routing::encode_delta(routing::make_delta(base == this->history.end() ? empty : **base, *current));
    log_info(
        "config-served",
        {{"from", from}, {"version", current->version}, {"bytes", static_cast<std::uint64_t>(delta.size())}});
    return {net::make_response(net::http::status::ok, delta, "application/json")};
}

void config_feed::handle_announced_version(const std::string& node, std::string_view version)
{
    const auto announced = parse_number<std::uint64_t>(version);
    if (!announced || *announced <= config_version(this->shared) || this->catching_up) {
        return;
    }
    this->catching_up = true;
    net::spawn(this->loop, this->catch_up(node), "catch-up");
}

net::task<void> config_feed::catch_up(std::string node)
{
    const std::uint64_t previous = config_version(this->shared);
    if (previous > 0) {
        co_await net::sleep_for(push_wait);
    }
    const bool arrived = config_version(this->shared) > previous;
    if (!arrived) {
        const std::vector<std::string> sources =
            fetch_order(config_readers(this->shared.members, this->shared.local_settings.data_centre), node);
        for (const std::string& source : sources) {
            if (source == this->shared.local_settings.node) {
                continue;
            }
            const bool fetched = co_await this->fetch_from(source);
            if (fetched) {
                break;
            }
        }
    }
    this->catching_up = false;
}

net::task<bool> config_feed::fetch_from(std::string node)
{
    const member* known = find_member(this->shared.members, node);
    if (known == nullptr) {
        co_return false;
    }
    const auto address = net::parse_endpoint(known->peer_address, "member " + node);
    if (!address) {
        co_return false;
    }
    const std::uint64_t previous = config_version(this->shared);
    net::request sent = this->make_request(net::http::verb::get);
    const time_point deadline = steady_clock::now() + fetch_timeout;
    const auto call_result = co_await this->pool.call(address.value(), std::move(sent), deadline);
    if (!call_result || call_result.value().result() != net::http::status::ok) {
        co_return false;
    }
    this->record_message(node, call_result.value().body().size());
    const auto applied = this->apply_encoded_delta(call_result.value().body());
    if (!applied) {
        log_warning("config-ignored", {{"from", node}, {"reason", to_string(applied.error())}});
        co_return false;
    }
    co_return config_version(this->shared) > previous;
}

} // namespace pomeloloft::sidecar
