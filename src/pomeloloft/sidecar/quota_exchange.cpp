#include "pomeloloft/sidecar/quota_exchange.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "pomeloloft/base/hash.hpp"
#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/sidecar/peer_headers.hpp"
#include "pomeloloft/sidecar/quota_holders.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Longest wait of a request for a credit, and the longest share of its time left.
constexpr milliseconds max_credit_wait{500};
constexpr int max_credit_wait_divisor = 4;
/// Time in which a holder responds unless it is overloaded or unreachable. Credits that arrive later would
/// soon expire.
constexpr milliseconds ask_timeout{250};
constexpr milliseconds renew_interval{50};
/// Time without an ask after which a full bucket is removed.
constexpr milliseconds bucket_idle_time{10'000};

quota_limit limit_of(const routing::organisation& limited)
{
    return {limited.rate_per_s, limited.burst};
}

} // namespace

/// A request that waits for a credit; counted as long as this object lives.
struct quota_exchange::waiting_request {
    waiting_request(net::event_loop& loop, held_credit& held_state, time_point until)
        : state(held_state), delay(loop.get_executor())
    {
        this->delay.expires_at(until);
        this->state.waiters.push_back(&this->delay);
        ++this->state.credit.waiting;
    }
    ~waiting_request()
    {
        std::erase(this->state.waiters, &this->delay);
        --this->state.credit.waiting;
    }
    waiting_request(const waiting_request&) = delete;
    waiting_request& operator=(const waiting_request&) = delete;

    held_credit& state;
    net::timer delay;
};

struct quota_exchange::pending_ask {
    quota_ask message;
    /// Whether credits are asked for, as opposed to given back only.
    bool needs_credits = false;
};

quota_exchange::quota_exchange(net::event_loop& io_loop, sidecar_state& process_state,
                               net::client_pool& peers)
    : loop(io_loop), shared(process_state), pool(peers)
{}

net::task<std::optional<quota_token>> quota_exchange::acquire(const routing::organisation& limited,
                                                              time_point deadline)
{
    time_point now = steady_clock::now();
    held_credit& state = this->credit_of(limited, now);
    record_arrival(state.credit, now);
    std::optional<quota_token> token = spend(state.credit, now);
    if (token) {
        co_return token;
    }
    const time_point give_up =
        now + std::min(remaining(deadline, now) / max_credit_wait_divisor, max_credit_wait);
    waiting_request waiting(this->loop, state, give_up);
    while (now < give_up && !is_refused(state.credit, now)) {
        if (!state.credit.asking) {
            this->start_refill(limited.name, state);
            // Where this node is the holder itself, the credits are there at once, before anyone waits for
            // them.
            token = spend(state.credit, now);
            if (token) {
                co_return token;
            }
        }
        waiting.delay.expires_at(give_up);
        co_await waiting.delay.async_wait(net::use_task);
        now = steady_clock::now();
        token = spend(state.credit, now);
        if (token) {
            co_return token;
        }
    }
    this->log_over_quota(limited.name, state, now);
    co_return std::nullopt;
}

void quota_exchange::give_back(const std::string& organisation, const quota_token& token)
{
    const auto found = this->credits.find(organisation);
    if (found != this->credits.end()) {
        sidecar::give_back(found->second.credit, token, steady_clock::now());
    }
}

void quota_exchange::log_over_quota(const std::string& organisation, const held_credit& state, time_point now)
{
    if (!this->over_quota_log_limiter.try_acquire(now)) {
        return;
    }
    const auto silent = std::chrono::duration_cast<milliseconds>(now - state.holder_reached_at);
    log_info("over-quota", {{"organisation", organisation},
                            {"rate_per_s", static_cast<std::int64_t>(state.limit.rate_per_s)},
                            {"burst", static_cast<std::int64_t>(state.limit.burst)},
                            {"arrivals_per_s", static_cast<std::int64_t>(state.credit.arrivals_per_s)},
                            {"limited", state.credit.limited ? "yes" : "no"},
                            {"holders", static_cast<std::uint64_t>(state.holders.size())},
                            {"since_holder_ms", static_cast<std::int64_t>(silent.count())},
                            {"suppressed", this->over_quota_log_limiter.take_suppressed()}});
}

quota_exchange::held_credit& quota_exchange::credit_of(const routing::organisation& limited, time_point now)
{
    const auto [found, added] = this->credits.try_emplace(limited.name);
    held_credit& state = found->second;
    state.limit = limit_of(limited);
    if (added) {
        state.holder_reached_at = now;
        // Nodes begin with different holders, so that the parts are used evenly.
        state.credit.next_holder = static_cast<std::size_t>(
            hash_bytes(limited.name, hash_bytes(this->shared.local_settings.node)) % this->options.holders);
        this->start_renewing();
    }
    const std::size_t members = this->shared.members.entries.size();
    if (state.members != members) {
        state.members = members;
        state.holders = quota_holders(this->shared.members, limited.name, this->options.holders);
    }
    return state;
}

void quota_exchange::start_refill(const std::string& organisation, held_credit& state)
{
    state.credit.asking = true;
    net::spawn(this->loop, this->refill(organisation), "quota-refill");
}

net::task<void> quota_exchange::refill(std::string organisation)
{
    held_credit& state = this->credits.at(organisation);
    bool ask_next = !state.holders.empty();
    while (ask_next) {
        const std::string holder = state.holders[state.credit.next_holder % state.holders.size()];
        ask_next = co_await this->ask(holder, organisation);
    }
    finish_ask(state);
}

void quota_exchange::finish_ask(held_credit& state)
{
    state.credit.asking = false;
    for (net::timer* waiter : state.waiters) {
        waiter->cancel();
    }
}

std::vector<quota_exchange::pending_ask>
quota_exchange::collect(const std::string& holder, const std::string& organisation, time_point now)
{
    std::vector<pending_ask> out;
    for (auto& [name, state] : this->credits) {
        if (state.holders.empty()) {
            continue;
        }
        const bool is_next = state.holders[state.credit.next_holder % state.holders.size()] == holder;
        const bool may_ask = !state.credit.asking && is_next && !is_refused(state.credit, now);
        pending_ask item;
        item.message.unused = take_unused(state.credit, holder, now, this->options);
        if (name == organisation || may_ask) {
            item.message.wanted = wanted(state.credit, now, this->options);
        }
        item.needs_credits = item.message.wanted > 0;
        if (item.message.wanted > 0 || item.message.unused > 0) {
            state.credit.asking = state.credit.asking || item.needs_credits;
            item.message.organisation = name;
            out.push_back(std::move(item));
        }
    }
    return out;
}

net::task<bool> quota_exchange::ask(std::string holder, std::string organisation)
{
    const time_point asked_at = steady_clock::now();
    const std::vector<pending_ask> pending = this->collect(holder, organisation, asked_at);
    if (pending.empty()) {
        co_return false;
    }
    std::vector<quota_ask> messages;
    messages.reserve(pending.size());
    for (const pending_ask& item : pending) {
        messages.push_back(item.message);
    }
    std::optional<std::vector<std::uint32_t>> grants = co_await this->send(holder, std::move(messages));
    bool ask_next = false;
    for (std::size_t i = 0; i < pending.size(); ++i) {
        const pending_ask& sent = pending[i];
        if (!sent.needs_credits) {
            continue;
        }
        const bool more =
            this->apply_answer(holder, sent, grants ? (*grants)[i] : 0, grants.has_value(), asked_at);
        if (sent.message.organisation == organisation) {
            ask_next = more;
        }
    }
    for (const pending_ask& sent : pending) {
        if (sent.needs_credits && sent.message.organisation != organisation) {
            finish_ask(this->credits.at(sent.message.organisation));
        }
    }
    co_return ask_next;
}

bool quota_exchange::apply_answer(const std::string& holder, const pending_ask& sent, std::uint32_t granted,
                                  bool reached, time_point asked_at)
{
    held_credit& state = this->credits.at(sent.message.organisation);
    const time_point now = steady_clock::now();
    if (reached) {
        state.holder_reached_at = now;
        state.isolated.reset();
    } else {
        this->add_isolated_share(sent.message.organisation, state, now);
    }
    granted = std::min(granted, sent.message.wanted);
    add_grant(state.credit, holder, granted, asked_at, this->options);
    return record_answer(state.credit, sent.message.wanted, granted, state.holders.size(), now,
                         this->options);
}

void quota_exchange::add_isolated_share(const std::string& organisation, held_credit& state, time_point now)
{
    if (now - state.holder_reached_at < this->options.isolation || !this->shared.joined) {
        return;
    }
    if (!state.isolated) {
        const std::size_t rank =
            quota_rank(this->shared.members, organisation, this->shared.local_settings.node);
        state.isolated_limit = isolated_share(state.limit, this->shared.members.entries.size(), rank);
        state.isolated = make_bucket(state.isolated_limit, now, now);
    }
    const std::uint32_t need = wanted(state.credit, now, this->options);
    add_grant(state.credit, {}, grant(*state.isolated, state.isolated_limit, need, now), now, this->options);
}

net::task<std::optional<std::vector<std::uint32_t>>> quota_exchange::send(std::string holder,
                                                                          std::vector<quota_ask> asks)
{
    if (holder == this->shared.local_settings.node) {
        co_return this->grant_all(asks);
    }
    const member* known = find_member(this->shared.members, holder);
    if (known == nullptr || this->unresponsive.contains(holder, steady_clock::now())) {
        co_return std::nullopt;
    }
    const bool remote = known->data_centre != this->shared.local_settings.data_centre;
    const auto address = net::parse_endpoint(known->peer_address, "member " + holder);
    if (!address) {
        log_warning("member-ignored", {{"member", holder}, {"reason", to_string(address.error())}});
        co_return std::nullopt;
    }
    net::request sent{net::http::verb::post, peer_header::quota_path, 11};
    sent.body() = encode_quota_asks(asks);
    sent.prepare_payload();
    const std::size_t sent_bytes = sent.body().size();
    const time_point deadline = steady_clock::now() + ask_timeout;
    auto call_result = co_await this->pool.call(address.value(), std::move(sent), deadline);
    if (!call_result || call_result.value().result() != net::http::status::ok) {
        this->unresponsive.record_failure(holder, steady_clock::now());
        this->shared.unreachable_peers.insert(holder);
        co_return std::nullopt;
    }
    this->unresponsive.record_contact(holder);
    this->shared.unreachable_peers.erase(holder);
    const std::string body = std::move(call_result.value().body());
    this->shared.control.record_quotas(remote, sent_bytes + body.size());
    const auto grants = decode_quota_grants(body, asks.size());
    if (!grants) {
        log_warning("quota-ignored", {{"from", holder}, {"reason", to_string(grants.error())}});
        co_return std::nullopt;
    }
    co_return grants.value();
}

net::reply quota_exchange::serve(const net::request& received)
{
    const auto asks = decode_quota_asks(received.body());
    if (!asks) {
        log_warning("quota-ignored", {{"reason", to_string(asks.error())}});
        return {net::make_response(net::http::status::bad_request)};
    }
    return {net::make_response(net::http::status::ok, encode_quota_grants(this->grant_all(asks.value())),
                               "application/json")};
}

std::vector<std::uint32_t> quota_exchange::grant_all(const std::vector<quota_ask>& asks)
{
    const time_point now = steady_clock::now();
    std::vector<std::uint32_t> out;
    out.reserve(asks.size());
    for (const quota_ask& received : asks) {
        out.push_back(this->grant_one(received, now));
    }
    return out;
}

std::uint32_t quota_exchange::grant_one(const quota_ask& received, time_point now)
{
    this->update_members(now);
    const routing::organisation* limited = this->organisation_named(received.organisation);
    if (limited == nullptr || limited->rate_per_s <= 0 || !this->shared.joined) {
        return 0;
    }
    held_bucket& held = this->bucket_of(*limited, now);
    if (!held.is_holder) {
        return 0;
    }
    quota_limit limit = held.limit;
    limit.rate_per_s *= this->reachable_share();
    sidecar::give_back(held.bucket, limit, received.unused, now);
    return grant(held.bucket, limit, received.wanted, now);
}

quota_exchange::held_bucket& quota_exchange::bucket_of(const routing::organisation& limited, time_point now)
{
    held_bucket& out = this->buckets[limited.name];
    out.last_ask = now;
    const auto holders = static_cast<std::size_t>(
        std::min(this->options.holders, std::max<std::size_t>(this->known_members, 1)));
    out.limit = part_of(limit_of(limited), holders);
    if (out.members != this->known_members) {
        const bool was_holder = out.is_holder;
        out.members = this->known_members;
        const auto chosen = quota_holders(this->shared.members, limited.name, this->options.holders);
        out.is_holder =
            std::find(chosen.begin(), chosen.end(), this->shared.local_settings.node) != chosen.end();
        if (out.is_holder && !was_holder) {
            out.bucket = make_bucket(out.limit, this->members_changed_at + this->options.handover, now);
        }
        this->start_renewing();
    }
    return out;
}

const routing::organisation* quota_exchange::organisation_named(const std::string& name)
{
    auto current = routes_of(this->shared);
    if (current != this->indexed) {
        this->organisations.clear();
        if (current) {
            for (const routing::organisation& o : current->organisations) {
                this->organisations.emplace(o.name, &o);
            }
        }
        this->indexed = std::move(current);
    }
    const auto found = this->organisations.find(name);
    return found == this->organisations.end() ? nullptr : found->second;
}

void quota_exchange::update_members(time_point now)
{
    const std::size_t members = this->shared.members.entries.size();
    if (this->shared.joined && members != this->known_members) {
        this->known_members = members;
        this->members_changed_at = now;
    }
}

double quota_exchange::reachable_share() const
{
    const auto known = static_cast<double>(std::max<std::size_t>(this->known_members, 1));
    const auto unreachable = static_cast<double>(this->shared.unreachable_peers.size());
    return std::max(known - unreachable, 1.0) / known;
}

void quota_exchange::start_renewing()
{
    if (!this->renewing) {
        this->renewing = true;
        net::spawn(this->loop, this->renew(), "quota-renew");
    }
}

net::task<void> quota_exchange::renew()
{
    while (!this->credits.empty() || !this->buckets.empty()) {
        co_await net::sleep_for(renew_interval);
        const time_point now = steady_clock::now();
        this->renew_credits(now);
        this->remove_idle(now);
    }
    this->renewing = false;
}

void quota_exchange::renew_credits(time_point now)
{
    // One message to each holder carries what is due for all organisations.
    std::set<std::string> due;
    for (const auto& [name, state] : this->credits) {
        const bool may_ask = !state.credit.asking && !state.holders.empty() && !is_refused(state.credit, now);
        if (may_ask && wanted(state.credit, now, this->options) > 0) {
            due.insert(state.holders[state.credit.next_holder % state.holders.size()]);
        }
        for (const std::string& holder : state.holders) {
            if (has_unused(state.credit, holder, now, this->options)) {
                due.insert(holder);
            }
        }
    }
    for (const std::string& holder : due) {
        net::spawn(this->loop, this->send_due(holder), "quota-due");
    }
}

net::task<void> quota_exchange::send_due(std::string holder)
{
    const std::string no_organisation;
    co_await this->ask(std::move(holder), no_organisation);
}

void quota_exchange::remove_idle(time_point now)
{
    std::erase_if(this->credits, [now](const auto& item) { return is_idle(item.second.credit, now); });
    for (auto item = this->buckets.begin(); item != this->buckets.end();) {
        held_bucket& held = item->second;
        const bool unused = now - held.last_ask > bucket_idle_time;
        const bool may_go = unused && (!held.is_holder || is_full(held.bucket, held.limit, now));
        item = may_go ? this->buckets.erase(item) : std::next(item);
    }
}

} // namespace pomeloloft::sidecar
