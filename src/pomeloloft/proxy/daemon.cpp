#include "pomeloloft/proxy/daemon.hpp"

#include <algorithm>
#include <numeric>
#include <thread>

#include "pomeloloft/base/log_line.hpp"
#include "pomeloloft/proxy/api.hpp"
#include "pomeloloft/proxy/control_loop.hpp"
#include "pomeloloft/proxy/log_loop.hpp"
#include "pomeloloft/proxy/serve.hpp"

namespace pomeloloft {
namespace {

/// Delay at shutdown before the links close, so that the last membership entry of this node can reach other
/// nodes.
constexpr milliseconds departure_propagation_time{300};
/// Threads of the listeners for operators and for the local target.
constexpr int management_listener_threads = 16;

http_server_options listener(const std::string& address, const char* setting)
{
    http_server_options options;
    options.address = address;
    options.setting = setting;
    return options;
}

http_server_options request_listener(const proxy_settings& settings, const std::string& address,
                                     const char* setting, std::shared_ptr<connection_account> clients)
{
    http_server_options options = listener(address, setting);
    const std::size_t connections = clients->max_connections();
    options.max_threads = static_cast<int>(std::min(settings.max_connections, connections));
    options.max_queued = std::max(options.max_queued, static_cast<int>(connections));
    options.account = std::move(clients);
    return options;
}

http_server_options management_listener(const std::string& address, const char* setting)
{
    http_server_options options = listener(address, setting);
    options.max_threads = management_listener_threads;
    return options;
}

} // namespace

struct proxy_daemon::components {
    explicit components(const proxy_settings& settings)
        : board(settings, make_http_log_client(settings.log_address),
                static_cast<std::uint64_t>(wall_clock_ms()))
    {
        this->board.clients = std::make_shared<connection_account>(
            connection_limits_of(settings.memory_mb, settings.max_descriptors));
    }

    result<void> start();
    void set_listeners();

    blackboard board;
    std::unique_ptr<grpc_links> links;
    std::unique_ptr<control_loop> control;
    /// Points to `control` once that exists, and is null before. The hub's callbacks use this pointer,
    /// because links may open and close on other threads before `control` is created.
    std::atomic<control_loop*> control_for_callbacks{nullptr};
    std::unique_ptr<log_loop> log;
    std::unique_ptr<http_server> local;
    std::unique_ptr<http_server> peer;
    std::unique_ptr<http_server> operators;
    std::unique_ptr<http_server> internal;
    std::unique_ptr<http_server> callers;
    bool stopped = false;
};

void proxy_daemon::components::set_listeners()
{
    const auto set_dirty = [this](bool blackboard::*flag) {
        {
            const std::lock_guard lock(this->board.change_mutex);
            this->board.*flag = true;
        }
        notify_change(this->board);
    };
    hub_listeners listeners;
    listeners.config_changed = [set_dirty] { set_dirty(&blackboard::config_dirty); };
    listeners.members_changed = [set_dirty] { set_dirty(&blackboard::members_dirty); };
    listeners.quarantine_changed = [set_dirty] { set_dirty(&blackboard::quarantine_dirty); };
    listeners.link_closed = [this](const link_state& ended, const std::string&, bool reached) {
        if (control_loop* running = this->control_for_callbacks.load()) {
            running->link_closed(ended, reached);
        }
    };
    this->board.hub.set_listeners(std::move(listeners));
}

result<void> proxy_daemon::components::start()
{
    const proxy_settings& s = this->board.settings;
    this->set_listeners();
    BOOST_OUTCOME_TRY(auto opened, grpc_links::listen(this->board.hub, s.control_address));
    this->links = std::move(opened);
    this->control = std::make_unique<control_loop>(this->board, *this->links);
    this->control_for_callbacks = this->control.get();
    this->log = std::make_unique<log_loop>(this->board, [this](const std::vector<std::string>& found) {
        this->control->update_bootstrap_addresses(found);
    });
    blackboard& b = this->board;
    BOOST_OUTCOME_TRY(auto local_server,
                      http_server::start(management_listener(s.local_address, "local"),
                                         [&b](auto& q, auto& r) { handle_local(b, q, r); }));
    this->local = std::move(local_server);
    BOOST_OUTCOME_TRY(auto peer_server,
                      http_server::start(request_listener(s, s.peer_address, "peer", b.clients),
                                         [&b](auto& q, auto& r) { handle_peer(b, q, r); }));
    this->peer = std::move(peer_server);
    BOOST_OUTCOME_TRY(auto operator_server,
                      http_server::start(management_listener(s.operator_address, "operators"),
                                         [&b](auto& q, auto& r) { handle_operator(b, q, r); }));
    this->operators = std::move(operator_server);
    BOOST_OUTCOME_TRY(auto internal_server,
                      http_server::start(request_listener(s, s.internal_address, "internal", b.clients),
                                         [&b](auto& q, auto& r) { handle_caller(b, q, r, true); }));
    this->internal = std::move(internal_server);
    BOOST_OUTCOME_TRY(auto caller_server,
                      http_server::start(request_listener(s, s.caller_address, "callers", b.clients),
                                         [&b](auto& q, auto& r) { handle_caller(b, q, r, false); }));
    this->callers = std::move(caller_server);
    this->control->set_housekeeping_hook([this] {
        for (http_server* server : {this->callers.get(), this->internal.get(), this->operators.get(),
                                    this->peer.get(), this->local.get()}) {
            server->collect_idle_threads();
        }
        const admission_view target = this->board.target_admission.view();
        const auto waiting = std::accumulate(target.waiting.begin(), target.waiting.end(), 0U);
        this->board.clients->close_stalled(waiting > 0);
    });
    this->control->start();
    this->log->start();
    return success();
}

result<std::unique_ptr<proxy_daemon>> proxy_daemon::start(const proxy_settings& settings)
{
    auto started = std::make_unique<components>(settings);
    const auto outcome = started->start();
    std::unique_ptr<proxy_daemon> daemon(new proxy_daemon(std::move(started)));
    if (!outcome) {
        daemon->impl->board.stopping = true;
        return outcome.error();
    }
    log_info("started", {{"data_centre", settings.data_centre}, {"callers", settings.caller_address}});
    return daemon;
}

proxy_daemon::proxy_daemon(std::unique_ptr<components> started) : impl(std::move(started)) {}

proxy_daemon::~proxy_daemon()
{
    this->stop();
}

blackboard& proxy_daemon::board()
{
    return this->impl->board;
}

void proxy_daemon::stop()
{
    components& p = *this->impl;
    if (std::exchange(p.stopped, true)) {
        return;
    }
    const bool started = p.callers != nullptr;
    const time_point deadline = steady_clock::now() + p.board.settings.shutdown_grace;
    p.board.stopping = true;
    notify_change(p.board);
    log_info("stopping");
    for (http_server* server : {p.callers.get(), p.internal.get(), p.peer.get()}) {
        if (server != nullptr) {
            server->stop(deadline);
        }
    }
    if (started) {
        p.board.drained = true;
        notify_change(p.board);
        std::this_thread::sleep_for(departure_propagation_time);
    }
    p.board.stopped = true;
    notify_change(p.board);
    if (p.log) {
        p.log->stop();
    }
    if (p.control) {
        p.control->stop();
    }
    if (p.links) {
        p.links->stop();
    }
    p.operators.reset();
    p.local.reset();
    log_info("stopped");
}

} // namespace pomeloloft
