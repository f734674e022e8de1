#pragma once

#include <optional>
#include <string>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/net/server.hpp"
#include "pomeloloft/sidecar/board.hpp"
#include "pomeloloft/sidecar/gate.hpp"
#include "pomeloloft/sidecar/peers.hpp"
#include "pomeloloft/sidecar/retry_policy.hpp"

namespace pomeloloft::sidecar {

/// Routes the requests that begin on this VM. Belongs to one event loop.
class entry_router {
public:
    entry_router(board& all, target_gate& own_gate, peer_links& links);

    /// Answers a caller's request.
    [[nodiscard]] net::task<net::reply> answer(net::request& received);

private:
    struct journey;

    net::task<try_result> try_on(net::request& sent, const journey& j, std::size_t position,
                                 target_call call);
    net::task<net::response> route(net::request& received);
    net::task<net::response> serve(net::request& received, journey& j);

    /// The position of the next endpoint to try, noted as tried; nothing when there is none.
    std::optional<std::size_t> pick(journey& j, std::size_t body_bytes, time_point now);
    /// Takes in how a try ended, and what that leads to.
    next_step note_end(const net::request& sent, journey& j, try_result ended);
    /// What the caller is answered.
    net::response conclude(const net::request& received, journey& j);

    [[nodiscard]] bool is_refused_as_suspect(const net::request& received, time_point now) const;
    void note_suspicion(const net::request& received, const std::string& node, const try_result& ended);
    void log_failed_try(const net::request& received, const journey& j, const std::string& node,
                        const try_result& ended);
    void log_unserved(const net::request& received, const journey& j);

    board& shared;
    target_gate& gate;
    peer_links& peers;
    routing::split_picker splits;
    choice_options options;
    log_rate_limiter unserved_lines;
    log_rate_limiter failed_try_lines;
};

} // namespace pomeloloft::sidecar
