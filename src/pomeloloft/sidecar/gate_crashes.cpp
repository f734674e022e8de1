#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/net/spawn.hpp"
#include "pomeloloft/net/timer.hpp"
#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {
namespace {

/// Time after which a connection attempt counts as unanswered.
constexpr milliseconds check_connect_timeout{250};
/// Time in which an ending process has closed its listener and the connections that it accepted.
constexpr milliseconds settle_time{60};
/// Connections opened until one stays open.
constexpr int max_check_connections = 3;
/// Connection attempts without an answer after which the VM of the target is taken to be down.
constexpr int max_unanswered_connections = 2;
/// Longest time for which a response is held back until a crash of the target is known. A listener that is
/// gone refuses a connection at once.
constexpr milliseconds crash_report_wait{20};

} // namespace

/// A lost exchange whose cause is being looked for, and the request that waits for it.
struct target_gate::loss_diagnosis {
    loss_diagnosis(net::event_loop& loop, std::uint64_t request, time_point at)
        : fingerprint(request), lost_at(at), done(loop.get_executor())
    {}

    std::uint64_t fingerprint;
    time_point lost_at;
    std::string crash;
    net::timer done;
};

net::task<std::string> target_gate::find_crash(std::uint64_t request, time_point started, bool timed_out)
{
    const time_point now = steady_clock::now();
    if (timed_out && this->last_response_at > started) {
        co_return std::string{};
    }
    // The diagnosis goes on if the caller leaves meanwhile.
    const auto loss = std::make_shared<loss_diagnosis>(this->loop, request, now);
    net::spawn(this->loop, this->diagnose_loss(loss), "diagnose-loss");
    loss->done.expires_at(now + crash_report_wait);
    co_await loss->done.async_wait(net::use_task);
    co_return loss->crash;
}

net::task<void> target_gate::diagnose_loss(std::shared_ptr<loss_diagnosis> loss)
{
    const target_check checked = co_await this->check_target(loss->lost_at);
    if (checked == target_check::ended) {
        ++this->counters.crashes_on_reused_connections;
        loss->crash = this->record_crash(loss->fingerprint, steady_clock::now());
        this->set_reachable(false);
    }
    loss->done.cancel();
}

net::task<target_check> target_gate::check_target(time_point lost_at)
{
    using namespace boost::asio::experimental::awaitable_operators;
    loss_evidence evidence;
    int unanswered = 0;
    for (int i = 0; i < max_check_connections; ++i) {
        auto connected =
            co_await this->pool.connect(this->address, steady_clock::now() + check_connect_timeout);
        if (!connected) {
            const bool timed_out = connected.error().code == pomeloloft::error_code::timeout;
            if (timed_out && ++unanswered < max_unanswered_connections) {
                continue;
            }
            evidence.connection = timed_out ? connect_check::timed_out : connect_check::refused;
            break;
        }
        net::connection_ptr opened = std::move(connected.value());
        co_await (net::sleep_for(settle_time) ||
                  opened->stream.socket().async_wait(net::tcp::socket::wait_read, net::use_task));
        if (net::is_idle_and_open(opened->stream)) {
            this->liveness.last_alive_at = steady_clock::now();
            this->pool.release(this->address, std::move(opened));
            evidence.connection = connect_check::stayed_open;
            break;
        }
        evidence.connection = connect_check::closed;
    }
    evidence.has_responded_since = this->last_response_at > lost_at;
    const auto oldest = this->exchanges_in_progress.begin();
    evidence.has_older_exchanges = oldest != this->exchanges_in_progress.end() && *oldest <= lost_at;
    co_return judge_loss(evidence);
}

std::string target_gate::record_crash(std::uint64_t request, time_point now)
{
    const std::uint64_t number = record_target_crash(this->liveness, now);
    std::string crash = this->process + '.' + std::to_string(number);
    if (!counts_against({request, number}, this->survived, now)) {
        ++this->counters.crashes_not_counted;
        log_info("target-crashed", {{"crash", crash}, {"fingerprint", request}, {"counted", "no"}});
        return {};
    }
    if (this->suspects.add({request, crash}, now)) {
        log_info("target-crashed",
                 {{"crash", crash},
                  {"fingerprint", request},
                  {"crashes", static_cast<std::uint64_t>(this->suspects.crash_count(request, now))}});
        if (this->on_suspects_changed) {
            this->on_suspects_changed();
        }
    }
    return crash;
}

attempt_outcome target_gate::withhold(dispatch_verdict verdict)
{
    const attempt_outcome out = outcome_of(verdict);
    this->counters.withheld_abandoned += out == attempt_outcome::abandoned ? 1 : 0;
    this->counters.withheld_quarantined += out == attempt_outcome::quarantined ? 1 : 0;
    return out;
}

void target_gate::handle_target_start()
{
    this->liveness.last_alive_at = steady_clock::now();
    this->handle_target_change();
}

void target_gate::record_survival(const net::request& answered, int status, time_point now)
{
    const std::uint64_t request = fingerprint_of(answered, this->local_settings.headers);
    if (!record_status(this->liveness, this->survived, this->suspects, request, status, now)) {
        return;
    }
    ++this->counters.suspects_cleared;
    log_info("suspect-cleared", {{"fingerprint", request}});
    if (this->on_suspects_changed) {
        this->on_suspects_changed();
    }
}

} // namespace pomeloloft::sidecar
