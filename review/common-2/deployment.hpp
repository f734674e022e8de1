// A small deployment of sidecars, each with its backend, and a client, as the cases of this review use it.
#pragma once

#include "harness.hpp"

namespace review {

constexpr std::int64_t heartbeat_ms = 870;
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t config_apply_ms = 2000;
const std::string request_host = "outings.example";

/// One route of a configuration.
struct route_entry {
    std::string prefix;
    std::string kind;
    std::string service;
};

/// @param further fields behind the others, each with a comma before it.
inline std::string configuration(int version, const std::vector<route_entry>& routes,
                                 const std::string& further = {})
{
    std::string list;
    for (const route_entry& r : routes) {
        list +=
            std::string(list.empty() ? "" : ",") + "{\"Name\":\"r" + r.prefix + "\",\"Host\":\"" +
            request_host + "\",\"PathPrefix\":\"" + r.prefix + "\",\"RouteType\":\"" + r.kind +
            "\",\"TimeoutMs\":2000,\"TargetLatencyMs\":500,\"Priority\":1,\"MaxAttempts\":2,\"Service\":\"" +
            r.service + "\"}";
    }
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + list +
           "],\"Services\":[{\"Name\":\"booking\",\"HealthPath\":\"/health\",\"MaxConnections\":110},"
           "{\"Name\":\"gallery\",\"HealthPath\":\"/health\",\"MaxConnections\":110}],"
           "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
           "\"IdleTimeoutMs\":15000}" +
           further + "}";
}

/// A run of a request at a backend.
struct run_entry {
    std::int64_t at = 0;
    std::string request;
    std::string service;
    std::string instance;
    std::string path;
    std::string authorization;
};

class deployment {
public:
    explicit deployment(const std::string& record_path) : record(record_path), folder(temporary_folder()) {}
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Ends the sidecars and removes their files. The threads of the stand-ins go on until the program ends,
    /// so the deployment itself is never destroyed.
    void finish()
    {
        int running = 0;
        for (const auto& m : this->machines) {
            running += m->process->running() ? 1 : 0;
            m->process.reset();
        }
        this->record.line(std::to_string(running) + " of " + std::to_string(this->machines.size()) +
                          " sidecars ran until the end");
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    /// Starts a machine: its backend, its sidecar and the heartbeats.
    machine& add(const std::string& name, const std::string& service)
    {
        this->machines.push_back(std::make_unique<machine>());
        machine& added = *this->machines.back();
        added.name = name;
        added.service = service;
        added.instance = "i-" + name;
        this->start_backend(added, 0);
        added.process = std::make_unique<sidecar>(
            this->folder, this->settings_of(added, this->platform.add_door(name).port));
        added.process->start();
        std::thread([this, &added] { this->send_heartbeats(added); }).detach();
        return added;
    }

    /// The fields of a machine's settings.
    [[nodiscard]] std::map<std::string, std::string> settings_of(const machine& at, int store_port) const
    {
        auto out = at.settings(this->zone, store_port);
        for (const auto& [name, value] : this->bounds) {
            out[name] = value;
        }
        return out;
    }

    /// Ends the backend of a machine as a crash does.
    void crash_backend(machine& at)
    {
        at.up = false;
        at.backend->stop();
        this->record.line("the backend " + at.instance + " of " + at.service + " beside " + at.name +
                          " ends");
    }

    /// Starts a backend at the address that the machine's last one had.
    void restart_backend(machine& at, const std::string& service, const std::string& instance,
                         std::int64_t born)
    {
        {
            const std::lock_guard lock(at.mutex);
            at.service = service;
            at.instance = instance;
            at.born = born;
            at.sequence = 0;
            this->retired.push_back(std::move(at.backend));
            this->start_backend(at, this->retired.back()->port);
        }
        at.up = true;
        this->record.line("a backend " + instance + " of " + service + " starts at the address beside " +
                          at.name);
    }

    /// Waits until all machines are ready and a little longer, so that they know each other.
    bool wait_ready()
    {
        constexpr std::int64_t latest_ms = 10'000;
        const auto ready = [this] {
            return std::all_of(this->machines.begin(), this->machines.end(),
                               [](const auto& m) { return m->is_ready(); });
        };
        while (!ready() && now_ms() < latest_ms) {
            sleep_ms(100);
        }
        sleep_ms(stable_window_ms);
        return ready();
    }

    /// Asks until the expected answer comes; for the start of the system.
    bool ask_until(const machine& at, const std::string& path, const std::string& expected)
    {
        constexpr int most = 20;
        for (int i = 0; i < most; ++i) {
            if (this->ask(at, "GET", path) == expected) {
                return true;
            }
            sleep_ms(200);
        }
        return false;
    }

    /// Sends a request to a machine.
    /// @return status and body, or `no answer`.
    std::string ask(const machine& at, const std::string& method, const std::string& path,
                    const std::string& key = {})
    {
        const std::string id = "r" + std::to_string(++this->sent);
        message request{method + " " + path + " HTTP/1.1",
                        {{"Host", request_host}, {"X-Request-Id", id}, {"X-Deadline-Ms", "4000"}},
                        {}};
        if (!key.empty()) {
            const std::lock_guard lock(this->mutex);
            this->keys[id] = key;
            request.headers.emplace_back("Authorization", "Token " + key);
        }
        const std::int64_t begin = now_ms();
        const auto answer = call(at.outbound, request, 4500);
        const std::string seen =
            !answer ? "no answer" : std::to_string(answer->status()) + " " + answer->body;
        this->record.line(id + ", sent at " + std::to_string(begin) + " ms to " + at.name + ", " + method +
                          " " + path + (key.empty() ? "" : ", key " + key) + ": " + seen);
        return seen;
    }

    [[nodiscard]] std::vector<run_entry> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->run_list;
    }

    /// The key that a request was sent with; empty for none.
    [[nodiscard]] std::string key_of(const std::string& request)
    {
        const std::lock_guard lock(this->mutex);
        return this->keys[request];
    }

    /// How long a run takes.
    std::atomic<std::int64_t> work_ms{20};
    /// Fields of the settings that differ from those of the small site.
    std::map<std::string, std::string> bounds;
    recorder record;
    store platform;
    std::string folder;
    const std::string zone = "qld-a";
    std::vector<std::unique_ptr<machine>> machines;

private:
    void start_backend(machine& at, int port)
    {
        const std::string service = at.service;
        const std::string instance = at.instance;
        at.backend = std::make_unique<http_server>(
            [this, service, instance](connection& client, const message& request) {
                return this->serve(client, request, service, instance);
            },
            port);
    }

    bool serve(connection& client, const message& request, const std::string& service,
               const std::string& instance)
    {
        if (request.path() == "/health") {
            message healthy = response(200);
            healthy.headers = {{"X-Instance-Id", instance}};
            return client.send(healthy.text());
        }
        const std::string expected = request.header("X-Expected-Instance");
        if (!expected.empty() && expected != instance) {
            message other = response(421);
            other.headers = {{"X-Instance-Id", instance}, {"X-Not-Executed", "1"}};
            return client.send(other.text());
        }
        const std::string id = request.header("X-Request-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->run_list.push_back(
                {now_ms(), id, service, instance, request.path(), request.header("Authorization")});
        }
        this->record.line(id + " runs at " + instance + " of " + service + ", path " + request.path());
        sleep_ms(this->work_ms);
        message out = response(200, "ran at " + service);
        out.headers = {{"X-Request-Id", id}, {"X-Response-Signature", "signed"}};
        return client.send(out.text());
    }

    /// Sends a heartbeat now.
    void report(machine& at)
    {
        const std::lock_guard lock(at.mutex);
        const bool leaves = at.draining;
        const int status = at.heartbeat(this->zone, leaves ? "draining" : "ready");
        if (leaves && status / 100 == 2 && at.drain_acknowledged == 0) {
            at.drain_acknowledged = now_ms();
            this->record.line(at.name + " acknowledges with " + std::to_string(status) + " that " +
                              at.instance + " is draining");
        } else if (leaves && status / 100 != 2) {
            this->record.line(at.name + " answers " + std::to_string(status) + " to the report of " +
                              at.instance);
        }
    }

    void send_heartbeats(machine& at)
    {
        for (;;) {
            if (at.up) {
                this->report(at);
            }
            sleep_ms(heartbeat_ms);
        }
    }

    std::mutex mutex;
    std::vector<run_entry> run_list;
    /// Keys by request.
    std::map<std::string, std::string> keys;
    std::vector<std::unique_ptr<http_server>> retired;
    std::atomic<int> sent{0};
};

} // namespace review
