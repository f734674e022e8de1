#include "pomeloloft/sidecar/gate.hpp"

#include <algorithm>
#include <utility>

#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::sidecar {
namespace {

/// The target is on the same VM: a connection that takes longer is not going to be accepted.
constexpr milliseconds connect_timeout{250};
/// A target that could not be reached is tried again after this.
constexpr milliseconds unreachable_pause{250};
/// A target that answered within this time is there, even if it takes no further connection.
constexpr milliseconds answering_time{500};
/// Idle time up to which a connection carries a request that must not run twice: targets may drop idle
/// connections early, and a request sent into the drop counts as possibly run.
constexpr milliseconds max_idle_unrepeatable{1000};
constexpr milliseconds max_idle_repeatable{5000};
constexpr milliseconds probe_timeout{700};
/// Weight of one answer in the shares of failures and rejections: a target that turns bad is known by them
/// after a few.
constexpr double share_sample_weight = 0.1;
/// Service time assumed before the first answer.
constexpr std::chrono::microseconds assumed_service_time{50'000};

net::client_options target_pool_options()
{
    net::client_options out;
    out.connect_timeout = connect_timeout;
    out.max_idle = max_idle_repeatable;
    return out;
}

net::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto parsed = net::parse_endpoint(address, "target address");
    return parsed ? parsed.value() : net::tcp::endpoint{};
}

gate_request request_of(const target_call& call)
{
    return {call.priority, call.deadline, call.max_wait};
}

error failed_probe(net::exchange_end end)
{
    return {pomeloloft::error_code::unavailable, "health check",
            std::string(name_of(net::exchange_end_names, end))};
}

void add_sample(double& share, bool counts)
{
    share += ((counts ? 1.0 : 0.0) - share) * share_sample_weight;
}

bool is_encoded(const net::response& answer)
{
    return answer.find(net::http::field::content_encoding) != answer.end();
}

} // namespace

/// A request waiting for a slot.
struct target_gate::waiter {
    waiter(net::event_loop& loop, const gate_request& asked) : request(asked), ready(loop.get_executor()) {}

    gate_request request;
    net::timer ready;
    bool granted = false;
};

/// Gives a slot back when the request that held it is over.
class target_gate::slot {
public:
    explicit slot(target_gate& from) : gate(from) {}
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot() { this->gate.give_back(); }

private:
    target_gate& gate;
};

target_gate::target_gate(net::event_loop& where, const settings& settings)
    : loop(where), own(settings), address(endpoint_of(settings.target_address)),
      pool(where, target_pool_options())
{}

std::uint32_t target_gate::ahead_of(const gate_request& asked) const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(),
                      [&asked](const waiter* w) { return !is_served_before(asked, w->request); }));
}

gate_view target_gate::view(const gate_request& asked) const
{
    const std::uint32_t known = this->service_time.micros();
    return {this->target.slots, this->running, this->ahead_of(asked),
            known > 0 ? std::chrono::microseconds(known) : assumed_service_time};
}

load_report target_gate::report() const
{
    constexpr double percent = 100.0;
    const bool open = may_dispatch(this->target, steady_clock::now()) && this->target_reachable;
    return {this->running,
            static_cast<std::uint32_t>(this->waiting.size()),
            open ? this->target.slots : 0,
            this->service_time.micros(),
            0,
            static_cast<std::uint32_t>(this->failed_share * percent),
            static_cast<std::uint32_t>(this->rejected_share * percent)};
}

void target_gate::grant_next()
{
    while (this->running < this->target.slots && !this->waiting.empty()) {
        const auto first = std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [](const waiter* a, const waiter* b) { return is_served_before(a->request, b->request); });
        waiter* next = *first;
        this->waiting.erase(first);
        next->granted = true;
        ++this->running;
        next->ready.cancel();
    }
}

void target_gate::give_back()
{
    --this->running;
    this->grant_next();
}

void target_gate::note_shares(const try_result& ended)
{
    if (ended.outcome == try_outcome::timed_out || ended.outcome == try_outcome::cancelled) {
        return;
    }
    // A gateway time-out is the caller's deadline, not the target's fault.
    const bool answered_failure =
        ended.outcome == try_outcome::answered &&
        to_status_class(ended.answer.result()) == net::http::status_class::server_error &&
        ended.answer.result() != net::http::status::gateway_timeout;
    add_sample(this->failed_share, answered_failure || ended.outcome == try_outcome::lost);
    add_sample(this->rejected_share, ended.outcome == try_outcome::rejected);
}

void target_gate::target_changed()
{
    this->failed_share = 0;
    this->rejected_share = 0;
    this->retry_target_at = {};
    this->set_reachable(true);
    this->grant_next();
}

void target_gate::set_reachable(bool now_reachable)
{
    if (!now_reachable) {
        this->retry_target_at = steady_clock::now() + unreachable_pause;
    }
    if (this->target_reachable == now_reachable) {
        return;
    }
    this->target_reachable = now_reachable;
    if (this->on_reachable) {
        this->on_reachable(now_reachable);
    }
}

net::task<bool> target_gate::wait_for_slot(target_call call)
{
    waiter self(this->loop, request_of(call));
    // Leaves the queue, or gives the slot back, when the wait is cancelled.
    struct leave_queue {
        target_gate& gate;
        waiter& self;
        bool taken = false;
        ~leave_queue()
        {
            if (this->taken) {
                return;
            }
            if (this->self.granted) {
                this->gate.give_back();
                return;
            }
            this->gate.waiting.remove(&this->self);
        }
    } guard{*this, self};
    this->waiting.push_back(&self);
    // What has waited twice as long as expected by its sender is better off elsewhere.
    self.ready.expires_at(std::min(call.deadline, steady_clock::now() + 2 * call.max_wait));
    co_await self.ready.async_wait(net::use_task);
    guard.taken = self.granted;
    co_return self.granted;
}

bool target_gate::takes(const target_call& call, time_point now) const
{
    const bool known = call.service == this->own.service && may_dispatch(this->target, now);
    return known && (this->target_reachable || now >= this->retry_target_at);
}

std::optional<try_result> target_gate::refuse_early(const target_call& call, std::uint32_t arriving) const
{
    try_result out;
    const time_point now = steady_clock::now();
    if (!this->takes(call, now)) {
        return out;
    }
    const gate_request asked = request_of(call);
    gate_view seen = this->view(asked);
    seen.ahead += arriving;
    const gate_verdict verdict = decide_entry(seen, asked, now);
    if (verdict == gate_verdict::run || verdict == gate_verdict::wait) {
        return std::nullopt;
    }
    out.outcome = try_outcome::refused;
    out.wait = std::chrono::duration_cast<milliseconds>(expected_wait(seen));
    return out;
}

net::task<try_result> target_gate::serve(net::request& sent, target_call call)
{
    try_result out;
    time_point now = steady_clock::now();
    if (!this->takes(call, now)) {
        co_return out;
    }
    const gate_request asked = request_of(call);
    const gate_view seen = this->view(asked);
    const gate_verdict verdict = decide_entry(seen, asked, now);
    out.wait = std::chrono::duration_cast<milliseconds>(expected_wait(seen));
    out.outcome = try_outcome::refused;
    if (verdict == gate_verdict::run) {
        ++this->running;
    } else {
        if (verdict != gate_verdict::wait) {
            co_return out;
        }
        const bool granted = co_await this->wait_for_slot(call);
        if (!granted) {
            co_return out;
        }
    }
    const slot held(*this);
    now = steady_clock::now();
    if (now >= call.deadline) {
        co_return out;
    }
    if (!may_dispatch(this->target, now)) {
        out.outcome = try_outcome::unavailable;
        co_return out;
    }
    out = co_await this->send(sent, call);
    co_return out;
}

net::task<try_result> target_gate::send(net::request& sent, const target_call& call)
{
    try_result out;
    const milliseconds max_idle = call.idempotent ? max_idle_repeatable : max_idle_unrepeatable;
    auto connected = co_await this->pool.acquire(this->address, call.deadline, max_idle);
    if (!connected) {
        const time_point now = steady_clock::now();
        if (connected.error().code == pomeloloft::error_code::cancelled) {
            out.outcome = try_outcome::cancelled;
        } else if (now - this->answered_at < answering_time) {
            // It answers others and takes no more connections: busy, not gone.
            out.outcome = try_outcome::refused;
        } else if (now < call.deadline) {
            this->set_reachable(false);
        }
        co_return out;
    }
    net::connection_ptr on = std::move(connected.value());
    const header_names& names = this->own.headers;
    const time_point started = steady_clock::now();
    sent.set(names.expected_instance, this->target.instance.id);
    sent.set(names.time_left, std::to_string(remaining(call.deadline, started).count()));
    const bool reused = on->reused;
    net::exchange_options options;
    options.deadline = call.deadline;
    options.id_header = names.request_id;
    net::exchange_result ended = co_await net::exchange(*on, sent, options);
    const auto held = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started);
    if (ended.reusable) {
        this->pool.release(this->address, std::move(on));
    }
    out = this->judge(sent, std::move(ended), reused);
    this->note_shares(out);
    if (out.outcome == try_outcome::answered) {
        this->answered_at = steady_clock::now();
        this->service_time.add(held);
        this->set_reachable(true);
    }
    co_return out;
}

try_result target_gate::judge(const net::request& sent, net::exchange_result ended, bool reused)
{
    const header_names& names = this->own.headers;
    try_result out;
    if (ended.end == net::exchange_end::timed_out) {
        out.outcome = try_outcome::timed_out;
        return out;
    }
    if (ended.end == net::exchange_end::cancelled) {
        out.outcome = try_outcome::cancelled;
        return out;
    }
    if (ended.end != net::exchange_end::answered) {
        out.outcome = try_outcome::lost;
        out.detail = reused ? "reused connection to the target ended" : "connection to the target ended";
        out.broke_target = ended.end == net::exchange_end::lost && !ended.response_started && !reused;
        return out;
    }
    net::response& answer = ended.answer;
    const bool not_run = answer.find(names.not_executed) != answer.end() ||
                         answer.result() == net::http::status::misdirected_request;
    if (not_run) {
        out.outcome = try_outcome::rejected;
        return out;
    }
    const bool success = to_status_class(answer.result()) == net::http::status_class::successful;
    const bool whole = sent.method() == net::http::verb::head || !is_encoded(answer);
    if (success && (!whole || answer.find(names.signature) == answer.end())) {
        out.outcome = try_outcome::lost;
        out.detail = "success without signature or with an encoding";
        return out;
    }
    out.outcome = try_outcome::answered;
    out.answer = std::move(answer);
    return out;
}

net::task<bool> target_gate::try_connect()
{
    auto connected = co_await this->pool.connect(this->address, steady_clock::now() + connect_timeout);
    if (!connected) {
        co_return false;
    }
    this->pool.release(this->address, std::move(connected.value()));
    co_return true;
}

net::task<result<std::string>> target_gate::probe(std::string path)
{
    const time_point deadline = steady_clock::now() + probe_timeout;
    auto connected = co_await this->pool.connect(this->address, deadline);
    if (!connected) {
        co_return connected.error();
    }
    net::request sent{net::http::verb::get, path, 11};
    sent.set(net::http::field::host, this->own.target_address);
    net::exchange_options options;
    options.deadline = deadline;
    net::exchange_result ended = co_await net::exchange(*connected.value(), sent, options);
    if (ended.end != net::exchange_end::answered) {
        co_return failed_probe(ended.end);
    }
    const bool healthy = ended.answer.result() == net::http::status::ok;
    if (ended.reusable) {
        this->pool.release(this->address, std::move(connected.value()));
    }
    co_return healthy ? std::string(ended.answer[this->own.headers.instance]) : std::string{};
}

} // namespace pomeloloft::sidecar
