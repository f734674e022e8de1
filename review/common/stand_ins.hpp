#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// Writes `record.txt`: one line an event, with the milliseconds since the start of the case.
class recorder {
public:
    explicit recorder(const std::string& path);

    void line(const std::string& text);
    [[nodiscard]] std::int64_t ms_since_start(time_point at) const;

private:
    std::mutex mutex;
    std::ofstream file;
    time_point started;
};

/// An HTTP/1.1 message with its whole body.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Value of a header, whatever the case of its name; empty when absent.
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    /// Status of a response; 0 if there is none.
    [[nodiscard]] int status() const;
};

/// A blocking TCP connection that carries HTTP messages.
class connection {
public:
    explicit connection(int socket) : fd(socket) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// Connects to a loopback port; null if that fails.
    static std::unique_ptr<connection> open(std::uint16_t port, milliseconds timeout);

    bool write(const std::string& bytes) const;
    /// Reads a message. Fails when the connection ends or nothing arrives within the timeout.
    bool read(message& out);
    void set_timeout(milliseconds timeout) const;
    /// Ends reads and writes of other threads on this connection.
    void shut_down() const;
    [[nodiscard]] int socket() const { return this->fd; }

private:
    bool fill();

    int fd;
    std::string buffer;
};

/// Serves each connection to a loopback port on a thread of its own.
class listener {
public:
    using session = std::function<void(connection&)>;

    /// @param wanted_port 0 for a free one.
    listener(std::uint16_t wanted_port, session serve);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    /// Closes the listener and all its connections.
    ~listener();

    [[nodiscard]] std::uint16_t port() const { return this->bound_port; }

private:
    void accept();

    int fd = -1;
    std::uint16_t bound_port = 0;
    session serve;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::set<connection*> open_connections;
    std::vector<std::thread> sessions;
    std::thread accepting;
};

/// A loopback port that was free a moment ago.
std::uint16_t free_port();

/// Stand-in for the platform's store, with keyed topics of one partition.
class store {
public:
    store();

    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }
    /// Writes a record, as the operator does, and returns when it is acknowledged.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// While silent, the store accepts connections and answers nothing. What arrived or waited meanwhile gets
    /// no answer later either.
    void set_silent(bool silent);

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::map<std::string, record> newest;
        std::map<std::string, std::uint64_t> epochs;
    };

    void serve(connection& client);
    std::string respond(const message& request);
    std::string append(const std::map<std::string, std::string>& query, const std::string& body);
    std::string read(const std::map<std::string, std::string>& query);
    std::string read_newest(const std::map<std::string, std::string>& query);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic_log> topics;
    bool is_silent = false;
    /// Number of times the store has become silent.
    std::uint64_t silences = 0;
    std::unique_ptr<listener> server;
};

/// The path of one machine to the store, which can be cut.
class store_link {
public:
    explicit store_link(std::uint16_t store_port);

    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }
    /// Cuts the path without a reset: bytes vanish, in both directions, also on connections opened meanwhile.
    void cut() { ++this->cuts; }
    /// Connections opened from now on work; those that were open during the cut stay silent.
    void heal() { this->cuts += this->is_cut() ? 1 : 0; }

private:
    [[nodiscard]] bool is_cut() const { return this->cuts % 2 == 1; }
    void forward(connection& from_machine);

    std::uint16_t store_port;
    /// Odd while the path is cut.
    std::atomic<std::uint64_t> cuts{0};
    std::unique_ptr<listener> server;
};

/// A request that a backend began to run.
struct run {
    std::string request_id;
    std::string path;
    std::string caller_service;
    time_point at;
};

/// What a backend does with a request that it begins to run.
enum class run_effect : std::uint8_t { answer, crash };

/// Stand-in for an application backend on its machine. Sends heartbeats to the control address of the sidecar
/// on the same machine.
class backend {
public:
    struct options {
        std::string service;
        std::string zone;
        std::uint16_t control_port = 0;
        milliseconds heartbeat_interval{1500};
        milliseconds work{20};
        /// Time for which a crashed backend is away.
        milliseconds downtime{2000};
        unsigned slots = 9;
    };

    backend(std::string instance_id, options chosen, recorder& log);
    ~backend();

    [[nodiscard]] std::uint16_t port() const { return this->bound_port; }
    [[nodiscard]] std::string id();
    [[nodiscard]] std::vector<run> runs();
    [[nodiscard]] int crashes() const { return this->crash_count; }

    /// Decides what a request does; set before the first one.
    std::function<run_effect(const message&)> on_run;
    /// Body of the answers to a request; set before the first one.
    std::function<std::string(const message&)> body_of;
    /// Whether the answer to a request has no length and ends with its connection; set before the first one.
    std::function<bool(const message&)> lacks_length;

    /// Reports `draining` from now on, beginning at once.
    /// @return when that was first acknowledged; the epoch of the clock if it was not within 5 s.
    time_point drain();
    /// Deregisters and ends.
    void deregister_and_end();

private:
    void serve(connection& client);
    void beat();
    bool send_heartbeat();
    void crash();
    void start_incarnation();

    options chosen;
    recorder& log;
    std::string base_id;
    std::uint16_t bound_port = 0;
    std::mutex mutex;
    std::condition_variable wake;
    std::string instance_id;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    int incarnations = 0;
    bool draining = false;
    bool running = true;
    bool stopping = false;
    std::atomic<int> crash_count{0};
    time_point back_at;
    std::vector<run> all_runs;
    std::unique_ptr<listener> server;
    std::thread heartbeats;
};

/// A `pomeloloft sidecar` process, started as the deploy file says.
class sidecar {
public:
    struct options {
        std::string node;
        std::string zone;
        std::string service;
        std::uint16_t target_port = 0;
        std::uint16_t store_port = 0;
        std::string directory;
    };

    explicit sidecar(options chosen);
    ~sidecar();

    void start();
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Whether the readiness check answers 200.
    [[nodiscard]] bool is_ready() const;

    void set_target_port(std::uint16_t port) { this->chosen.target_port = port; }
    [[nodiscard]] std::uint16_t outbound_port() const { return this->outbound; }
    [[nodiscard]] std::uint16_t control_port() const { return this->control; }
    [[nodiscard]] const std::string& node() const { return this->chosen.node; }

private:
    options chosen;
    std::uint16_t outbound = free_port();
    std::uint16_t peer = free_port();
    std::uint16_t ready = free_port();
    std::uint16_t control = free_port();
    pid_t pid = -1;
};

/// The response to a client's request.
struct client_response {
    /// 0 if the connection ended or the deadline passed without one.
    int status = 0;
    std::string body;
    /// Value of `X-Response-Signature`; empty when absent.
    std::string signature;
    time_point sent_at;
};

/// Sends a request on a new connection and waits for the response.
/// @param patience how long the client waits in fact; its deadline unless given.
client_response send_request(std::uint16_t port, const std::string& method, const std::string& path,
                             const std::string& request_id, milliseconds deadline,
                             milliseconds patience = milliseconds{0});

/// Posts a body to a control address.
/// @return the status; 0 without a response within a second.
int post(std::uint16_t port, const std::string& path, const std::string& body);

/// A new request id.
std::string next_request_id();

/// Waits until a condition holds.
/// @return whether it held in time.
bool wait_until(const std::function<bool()>& condition, milliseconds limit);

/// Whether the case runs with its disruption (`TROUBLE`, 1 unless it is 0).
bool has_trouble();

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

} // namespace review
