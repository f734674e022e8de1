#pragma once

#include <optional>
#include <string>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/peers.hpp"
#include "pomeloloft/sidecar/quota_exchange.hpp"
#include "pomeloloft/sidecar/retry_policy.hpp"
#include "pomeloloft/sidecar/sidecar_state.hpp"

namespace pomeloloft::sidecar {

/// Routes the requests that callers on this VM send. Belongs to one event loop.
class outbound_router {
public:
    outbound_router(sidecar_state& process_state, target_gate& local_gate, peer_links& links,
                    quota_exchange& quota_credits);

    /// Handles a caller's request.
    [[nodiscard]] net::task<net::reply> handle(net::request& received, net::client_watch& caller);

    /// Whether a caller's request may run beside others of its connection: whether its route is idempotent.
    [[nodiscard]] bool may_overlap(const net::request& received) const;

private:
    struct request_context;

    /// Identifies the caller by its key and replaces the key with the name of its organisation.
    /// @return whether the caller may use the route.
    bool identify(net::request& received, request_context& context) const;
    struct attempt_pair;

    /// Sends a request to a node, and to a second one where the first takes long and the limit allows it.
    /// @param node the node to send to; afterwards the one whose result is returned.
    net::task<target_call_result> send_attempt(net::request& sent, std::string& node, target_call call,
                                               request_context& context);
    net::task<target_call_result> send_hedged(net::request& sent, std::string& node, target_call call,
                                              request_context& context);
    net::task<void> run_first_attempt(net::request& sent, target_call call, attempt_pair& pair);
    net::task<void> run_second_attempt(net::request copy, target_call call, time_point due,
                                       const request_context& context, attempt_pair& pair);
    /// Picks the endpoint of a second attempt.
    /// @return nothing if there is to be none.
    std::optional<chosen_endpoint> pick_second_endpoint(const net::request& sent,
                                                        const request_context& context,
                                                        const std::string& first_node);
    net::task<target_call_result> send_to_node(net::request& sent, std::string node, target_call call);

    /// @param to an endpoint of the list of `call.service`.
    net::task<target_call_result> send_to_endpoint(net::request& sent, const candidate& to, target_call call);
    net::task<net::response> route(net::request& received, net::client_watch& caller);
    net::task<net::response> send_with_retries(net::request& received, request_context& context);

    /// Picks the next endpoint.
    /// @return nothing when no endpoint is left.
    std::optional<chosen_endpoint> pick_endpoint(request_context& context, std::size_t body_bytes,
                                                 time_point now);
    /// Records the result of an attempt at a node and decides the next step.
    next_step handle_result(const net::request& sent, request_context& context, const std::string& node,
                            target_call_result call_result);
    /// Finds out whether the request is a call of a run at the VM's own target.
    void detect_call(request_context& context, time_point caller_deadline);
    /// Reports a call that was refused because no endpoint had room.
    void report_refused_call(const request_context& context);
    /// Builds the response to the caller.
    net::response make_final_response(const net::request& received, request_context& context);

    [[nodiscard]] bool is_crash_suspect(const net::request& received, time_point now) const;
    [[nodiscard]] milliseconds quarantine_left(const net::request& received, time_point now) const;
    /// Expected time until an endpoint has a free slot.
    [[nodiscard]] milliseconds time_until_free(const request_context& context) const;
    void update_crash_suspects(const net::request& received, const target_call_result& call_result);
    void log_failed_attempt(const net::request& received, const request_context& context,
                            const std::string& node, const target_call_result& call_result);
    void log_unserved_request(const net::request& received, const request_context& context);

    sidecar_state& shared;
    target_gate& gate;
    peer_links& peers;
    quota_exchange& quotas;
    routing::split_picker splits;
    run_call_detector calls;
    choice_options options;
    log_rate_limiter unserved_log_limiter;
    log_rate_limiter failed_attempt_log_limiter;
};

} // namespace pomeloloft::sidecar
