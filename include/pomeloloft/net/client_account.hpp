#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "pomeloloft/base/log_rate_limiter.hpp"
#include "pomeloloft/base/memory_account.hpp"
#include "pomeloloft/net/stream.hpp"
#include "pomeloloft/net/timer.hpp"

namespace pomeloloft::net {

class client_lease;

/// How often the limits on clients took effect.
struct client_account_counters {
    /// Connections closed for a newer one.
    std::uint64_t closed_for_connection = 0;
    /// Connections that were not accepted, as every other one had a request in progress.
    std::uint64_t not_accepted = 0;
    /// Stalled connections closed for the memory that they held.
    std::uint64_t closed_for_memory = 0;
    /// Requests refused for lack of memory.
    std::uint64_t refused = 0;
};

/// The account of what a process holds for the clients of its listeners. Belongs to one event loop.
class client_account {
public:
    client_account(event_loop& io_loop, memory_limits limits) : account(limits), loop(io_loop) {}
    client_account(const client_account&) = delete;
    client_account& operator=(const client_account&) = delete;

    [[nodiscard]] const client_account_counters& counters() const { return this->counted; }
    [[nodiscard]] std::uint64_t bytes() const { return this->account.bytes(); }
    [[nodiscard]] std::size_t connections() const { return this->account.connections(); }

private:
    friend class client_lease;

    bool open(client_lease& lease);
    void close(client_lease& lease);
    task<bool> reserve(client_lease& lease, std::uint64_t bytes);
    /// Takes bytes, closing stalled connections for them if needed.
    bool try_reserve(client_lease& lease, std::uint64_t bytes);
    void charge(client_lease& lease, std::uint64_t bytes);
    void close_client(account_entry& entry, const char* limit);
    void log(const char* event, const char* limit);
    void wake_waiting();

    memory_account account;
    event_loop& loop;
    std::list<timer*> waiting;
    client_account_counters counted;
    log_rate_limiter log_lines{1};
};

/// Changes a response that refuses a request, so that the clients of a listener understand it. The request
/// has no body, and no headers if they could not be read.
using refusal_decorator = std::function<void(const request& head, response& refusal)>;

/// A connection's part in the account; gives back all of it when it ends.
class client_lease : private account_entry {
public:
    /// @param account null for a connection that is not counted.
    client_lease(std::shared_ptr<client_account> account, tcp_stream& client,
                 const refusal_decorator& on_refusal);
    client_lease(const client_lease&) = delete;
    client_lease& operator=(const client_lease&) = delete;
    ~client_lease();

    /// Whether the connection may be served.
    [[nodiscard]] bool is_admitted() const { return this->admitted; }

    void enter(client_phase phase);
    void record_progress(std::uint64_t bytes);

    /// Gives back all but what the connection's buffer holds.
    void reset(std::uint64_t buffer_bytes);

    /// Takes `bytes` before they are needed; waits a while until others give theirs back.
    /// @return whether they were taken.
    [[nodiscard]] task<bool> reserve(std::uint64_t bytes);

    /// Whether so many bytes can ever be taken.
    [[nodiscard]] bool could_fit(std::uint64_t bytes) const;

    /// Takes the bytes of a response, which exist already.
    void charge(std::uint64_t bytes);

    void release(std::uint64_t bytes);

    /// Decorates a response that refuses a request.
    void decorate(const request& head, response& refusal) const;

private:
    friend class client_account;

    std::shared_ptr<client_account> shared;
    tcp_stream& stream;
    const refusal_decorator& refusal;
    bool admitted = true;
};

} // namespace pomeloloft::net
