#include <optional>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/sidecar/config_feed.hpp"
#include "pomeloloft/sidecar/random.hpp"
#include "pomeloloft/sidecar/store_polling.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Time that the store may wait for a change. A read that is lost is noticed by pings, so longer only saves
/// calls.
constexpr milliseconds long_poll_duration{5000};
/// Interval at which a node that waits for a change checks that the store responds, and the time in which it
/// responds. With `store_check_timeout` they bound how long a reader that has lost the store keeps others
/// from reading it.
constexpr milliseconds ping_interval{400};
constexpr milliseconds ping_timeout{400};
/// Time in which a call to an unreachable store may still be answered, by a store that has become slow.
constexpr milliseconds recovery_check_timeout{4000};
/// Mean interval at which a node that lost the store checks it while others read it for this node.
constexpr milliseconds store_check_interval{1000};
/// A reachable store responds to a small call within this time.
constexpr milliseconds store_check_timeout{500};
/// Polling interval of a node that does not need to read the store.
constexpr milliseconds idle_poll{100};
/// Time in which a process that has just started waits for its first version from a peer, which is closer and
/// sends a quarter of the bytes that the store does.
constexpr milliseconds initial_fetch_timeout{1500};
constexpr milliseconds initial_fetch_poll{20};

/// A random duration from half of `mean` to one and a half.
milliseconds spread_around(milliseconds mean)
{
    return mean / 2 + milliseconds(random_draw() % static_cast<std::uint64_t>(mean.count()));
}

} // namespace

bool config_feed::must_read() const
{
    return this->shared.config.load() == nullptr || this->is_reader() || !this->has_live_reader();
}

net::task<void> config_feed::await_config_from_peers()
{
    const time_point wait_deadline = steady_clock::now() + initial_fetch_timeout;
    while (this->shared.config.load() == nullptr && steady_clock::now() < wait_deadline) {
        if (this->shared.joined && !this->catching_up) {
            co_return;
        }
        co_await net::sleep_for(initial_fetch_poll);
    }
}

net::task<void> config_feed::follow_store()
{
    co_await this->await_config_from_peers();
    while (!this->shared.stopping) {
        if (!this->must_read()) {
            this->reading = false;
            co_await this->check_store();
            continue;
        }
        if (!this->reading) {
            this->store.skip_to_newest();
        }
        this->reading = true;
        co_await this->read_once();
    }
}

net::task<void> config_feed::check_store()
{
    if (this->store_reachable) {
        co_await net::sleep_for(idle_poll);
        co_return;
    }
    co_await net::sleep_for(spread_around(store_check_interval));
    const bool reached = co_await this->store.is_reachable(steady_clock::now() + store_check_timeout);
    if (reached) {
        this->set_store_reachable(true, {});
    }
}

void config_feed::set_store_reachable(bool reached, const std::string& reason)
{
    if (reached == this->store_reachable) {
        return;
    }
    this->store_reachable = reached;
    if (reached) {
        log_info("store-regained");
    } else {
        log_warning("store-lost", {{"reason", reason}});
    }
    if (this->on_store_reachability) {
        this->on_store_reachability();
    }
}

net::task<void> config_feed::read_once()
{
    const milliseconds max_wait = this->may_wait_for_change ? long_poll_duration : milliseconds{0};
    using namespace net::asio::experimental::awaitable_operators;
    std::optional<result<std::optional<std::string>>> received;
    bool abandoned = false;
    const auto read = [&]() -> net::task<void> { received = co_await this->store.next_config(max_wait); };
    const auto supervise = [&]() -> net::task<void> {
        co_await this->supervise_read(max_wait);
        abandoned = true;
    };
    co_await (read() || supervise());
    this->may_wait_for_change = received && received->has_value();
    if (!this->may_wait_for_change) {
        if (abandoned) {
            this->abandoned_reads += max_wait.count() == 0 ? 1 : 0;
            log_info("store-read-abandoned", {{"waited_for_change", max_wait.count() > 0 ? "yes" : "no"}});
            co_return;
        }
        this->set_store_reachable(false, received ? to_string(received->error()) : "cancelled");
        co_await this->await_store_recovery();
        co_return;
    }
    const auto& next = *received;
    this->abandoned_reads = 0;
    this->store_failures = 0;
    this->set_store_reachable(true, {});
    if (!next.value()) {
        co_return;
    }
    auto table = this->decode(*next.value());
    if (!table) {
        log_warning("config-ignored", {{"from", "store"}, {"reason", to_string(table.error())}});
        co_return;
    }
    this->adopt(std::move(table.value()));
}

net::task<void> config_feed::supervise_read(milliseconds max_wait)
{
    if (max_wait.count() == 0) {
        co_await net::sleep_for(read_patience(this->abandoned_reads));
    } else {
        bool responds = true;
        while (responds) {
            co_await net::sleep_for(ping_interval);
            responds = co_await this->store.ping(steady_clock::now() + ping_timeout);
        }
    }
    const bool reached = co_await this->store.is_reachable(steady_clock::now() + store_check_timeout);
    if (!reached) {
        this->set_store_reachable(false, "no response while a read is in progress");
        co_await this->await_store_recovery();
    }
}

net::task<void> config_feed::await_store_recovery()
{
    this->recovered = false;
    while (!this->recovered && !this->shared.stopping && this->must_read()) {
        ++this->store_failures;
        const milliseconds pause =
            store_retry_pause({this->store_failures, this->shared.config.load() != nullptr,
                               is_store_prober(this->shared.members, this->shared.local_settings.node)});
        this->recovery_pause.expires_after(spread_around(pause));
        co_await this->recovery_pause.async_wait(net::use_task);
        if (!this->recovered) {
            net::spawn(this->loop, this->check_recovery(), "check-recovery");
        }
    }
}

net::task<void> config_feed::check_recovery()
{
    const bool reached = co_await this->store.is_reachable(steady_clock::now() + recovery_check_timeout);
    if (reached) {
        this->recovered = true;
        this->recovery_pause.cancel();
    }
}

} // namespace pomeloloft::sidecar
