#include "stand_ins.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <sstream>

namespace review {
namespace {

constexpr const char* loopback = "127.0.0.1";
/// Time in which the store answers a call.
constexpr milliseconds store_answer_time{4};

sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &out.sin_addr);
    return out;
}

int bind_loopback(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback_address(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string response_text(const std::string& status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string json_response(const std::string& status, const std::string& body)
{
    return response_text(status, "Content-Type: application/json\r\n", body);
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out += static_cast<char>((value >> (8 * i)) & 0xFFU);
    }
    return out;
}

std::uint32_t read_big_endian_32(const std::string& text, std::size_t at)
{
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        out = (out << 8U) | static_cast<unsigned char>(text[at + i]);
    }
    return out;
}

std::string encode_base64(const std::string& text)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, text.size() - i);
        std::uint32_t block = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            block = (block << 8U) | (j < count ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= count ? digits[(block >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto begin = target.find('?');
    if (begin == std::string::npos) {
        return out;
    }
    std::istringstream fields(target.substr(begin + 1));
    for (std::string field; std::getline(fields, field, '&');) {
        const auto equals = field.find('=');
        out[field.substr(0, equals)] = equals == std::string::npos ? "" : field.substr(equals + 1);
    }
    return out;
}

std::uint64_t number_in(const std::map<std::string, std::string>& query, const char* name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

recorder::recorder(const std::string& path) : file(path), started(steady_clock::now()) {}

std::int64_t recorder::ms_since_start(time_point at) const
{
    return std::chrono::duration_cast<milliseconds>(at - this->started).count();
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    this->file << this->ms_since_start(steady_clock::now()) << " ms  " << text << std::endl;
}

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : this->headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return this->first_line.substr(0, this->first_line.find(' '));
}

std::string message::target() const
{
    const auto begin = this->first_line.find(' ') + 1;
    return this->first_line.substr(begin, this->first_line.find(' ', begin) - begin);
}

int message::status() const
{
    const auto begin = this->first_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(this->first_line.c_str() + begin + 1);
}

connection::~connection()
{
    ::close(this->fd);
}

std::unique_ptr<connection> connection::open(std::uint16_t port, milliseconds timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto out = std::make_unique<connection>(fd);
    const sockaddr_in address = loopback_address(port);
    out->set_timeout(timeout);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

void connection::set_timeout(milliseconds timeout) const
{
    timeval value{};
    value.tv_sec = timeout.count() / 1000;
    value.tv_usec = (timeout.count() % 1000) * 1000;
    ::setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    ::setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

void connection::shut_down() const
{
    ::shutdown(this->fd, SHUT_RDWR);
}

bool connection::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill()
{
    char block[16384];
    const auto count = ::recv(this->fd, block, sizeof block, 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(block, static_cast<std::size_t>(count));
    return true;
}

bool connection::read(message& out)
{
    out = {};
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill()) {
            return false;
        }
    }
    std::istringstream head(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    std::getline(head, out.first_line, '\r');
    head.get();
    for (std::string field; std::getline(head, field, '\r');) {
        head.get();
        const auto colon = field.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const auto value = field.find_first_not_of(' ', colon + 1);
        out.headers.emplace_back(field.substr(0, colon),
                                 value == std::string::npos ? "" : field.substr(value));
    }
    const std::string length_text = out.header("Content-Length");
    const std::size_t length = length_text.empty() ? 0 : std::strtoull(length_text.c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!this->fill()) {
            return false;
        }
    }
    out.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return true;
}

listener::listener(std::uint16_t wanted_port, session serve_connection) : serve(std::move(serve_connection))
{
    this->fd = bind_loopback(wanted_port);
    if (this->fd < 0 || ::listen(this->fd, 512) != 0) {
        std::perror("listen");
        std::exit(could_not_run);
    }
    this->bound_port = port_of(this->fd);
    this->accepting = std::thread([this] { this->accept(); });
}

listener::~listener()
{
    this->stopping = true;
    this->accepting.join();
    ::close(this->fd);
    std::vector<std::thread> ending;
    {
        const std::lock_guard lock(this->mutex);
        for (connection* open : this->open_connections) {
            open->shut_down();
        }
        ending.swap(this->sessions);
    }
    for (std::thread& session_thread : ending) {
        session_thread.join();
    }
}

void listener::accept()
{
    constexpr int poll_ms = 5;
    while (!this->stopping) {
        pollfd waiting{this->fd, POLLIN, 0};
        if (::poll(&waiting, 1, poll_ms) <= 0) {
            continue;
        }
        const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(this->mutex);
        this->sessions.emplace_back([this, accepted] {
            connection client(accepted);
            {
                const std::lock_guard open_lock(this->mutex);
                this->open_connections.insert(&client);
            }
            if (!this->stopping) {
                this->serve(client);
            }
            const std::lock_guard open_lock(this->mutex);
            this->open_connections.erase(&client);
        });
    }
}

std::uint16_t free_port()
{
    static std::set<std::uint16_t> given;
    for (;;) {
        const int fd = bind_loopback(0);
        const std::uint16_t port = port_of(fd);
        ::close(fd);
        if (given.insert(port).second) {
            return port;
        }
    }
}

store::store()
{
    this->server = std::make_unique<listener>(0, [this](connection& client) { this->serve(client); });
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::this_thread::sleep_for(store_answer_time);
    const std::lock_guard lock(this->mutex);
    topic_log& log = this->topics[topic];
    log.records.push_back({key, value});
    log.newest[key] = {key, value};
    this->changed.notify_all();
}

void store::serve(connection& client)
{
    message request;
    while (client.read(request)) {
        std::uint64_t silences_before = 0;
        {
            const std::lock_guard lock(this->mutex);
            silences_before = this->is_silent ? this->silences - 1 : this->silences;
        }
        const std::string response = this->respond(request);
        std::this_thread::sleep_for(store_answer_time);
        bool answers = false;
        {
            const std::lock_guard lock(this->mutex);
            answers = this->silences == silences_before;
        }
        if (!answers) {
            // A connection on which a response is lost returns nothing further.
            while (client.read(request)) {
            }
            return;
        }
        if (!client.write(response)) {
            return;
        }
    }
}

void store::set_silent(bool silent)
{
    const std::lock_guard lock(this->mutex);
    this->silences += silent && !this->is_silent ? 1 : 0;
    this->is_silent = silent;
}

std::string store::respond(const message& request)
{
    const std::string target = request.target();
    const auto query = query_of(target);
    const std::string path = target.substr(0, target.find('?'));
    {
        const std::lock_guard lock(this->mutex);
        if (this->is_silent) {
            return {};
        }
    }
    if (path == "/api/log-append") {
        return this->append(query, request.body);
    }
    if (path == "/api/log-read") {
        return this->read(query);
    }
    if (path == "/api/log-newest") {
        return this->read_newest(query);
    }
    if (path == "/api/log-owners") {
        return json_response("200 OK", R"({"parts":[]})");
    }
    return json_response("404 Not Found", "{}");
}

std::string store::append(const std::map<std::string, std::string>& query, const std::string& body)
{
    const std::lock_guard lock(this->mutex);
    topic_log& log = this->topics[query.at("Topic")];
    const auto producer = query.find("Producer");
    if (producer != query.end()) {
        std::uint64_t& newest_epoch = log.epochs[producer->second];
        const std::uint64_t epoch = number_in(query, "epoch");
        if (epoch < newest_epoch) {
            return json_response("409 Conflict", R"({"why":"fenced"})");
        }
        newest_epoch = epoch;
    }
    const std::size_t offset = log.records.size();
    for (std::size_t at = 0; at + 4 <= body.size();) {
        const std::size_t length = read_big_endian_32(body, at);
        const std::string bytes = body.substr(at + 4, length);
        at += 4 + length;
        const std::size_t key_bytes = static_cast<unsigned char>(bytes[0]);
        const record added{bytes.substr(1, key_bytes), bytes.substr(1 + key_bytes)};
        log.records.push_back(added);
        log.newest[added.key] = added;
    }
    this->changed.notify_all();
    return json_response("200 OK", R"({"Offset":)" + std::to_string(offset) + R"(,"End":)" +
                                       std::to_string(log.records.size()) + "}");
}

std::string store::read(const std::map<std::string, std::string>& query)
{
    const std::size_t from = number_in(query, "From");
    const time_point deadline = steady_clock::now() + milliseconds(number_in(query, "WaitMs"));
    std::unique_lock lock(this->mutex);
    topic_log& log = this->topics[query.at("Topic")];
    this->changed.wait_until(lock, deadline, [&] { return log.records.size() > from; });
    std::string out = big_endian(log.records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < log.records.size(); ++i) {
        const record& r = log.records[i];
        out +=
            big_endian(1 + r.key.size() + r.value.size(), 4) + big_endian(r.key.size(), 1) + r.key + r.value;
    }
    return response_text("200 OK", "Content-Type: application/octet-stream\r\n", out);
}

std::string store::read_newest(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(this->mutex);
    const topic_log& log = this->topics[query.at("Topic")];
    std::string items;
    for (const auto& [key, r] : log.newest) {
        items += (items.empty() ? "" : ",") + std::string(R"({"Key":")") + key + R"(","Value":")" +
                 encode_base64(r.value) + R"(","Offset":0})";
    }
    return json_response("200 OK", R"({"items":[)" + items + R"(],"HasMore":false,"End":)" +
                                       std::to_string(log.records.size()) + "}");
}

store_link::store_link(std::uint16_t port) : store_port(port)
{
    this->server = std::make_unique<listener>(0, [this](connection& client) { this->forward(client); });
}

void store_link::forward(connection& from_machine)
{
    constexpr int poll_ms = 5;
    const std::uint64_t cuts_before = this->cuts;
    const auto to_store = connection::open(this->store_port, milliseconds(1000));
    if (!to_store) {
        return;
    }
    const connection* ends[] = {&from_machine, to_store.get()};
    for (;;) {
        pollfd waiting[] = {{ends[0]->socket(), POLLIN, 0}, {ends[1]->socket(), POLLIN, 0}};
        ::poll(waiting, 2, poll_ms);
        const bool passes = this->cuts == cuts_before && cuts_before % 2 == 0;
        for (int i = 0; i < 2; ++i) {
            if (waiting[i].revents == 0) {
                continue;
            }
            char block[16384];
            const auto count = ::recv(ends[i]->socket(), block, sizeof block, 0);
            if (count <= 0) {
                return;
            }
            if (passes && !ends[1 - i]->write(std::string(block, static_cast<std::size_t>(count)))) {
                return;
            }
        }
    }
}

backend::backend(std::string instance, options given, recorder& records)
    : chosen(std::move(given)), log(records), base_id(std::move(instance)), bound_port(free_port())
{
    this->start_incarnation();
}

backend::~backend()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    if (this->heartbeats.joinable()) {
        this->heartbeats.join();
    }
    this->server.reset();
}

void backend::start_incarnation()
{
    const std::lock_guard lock(this->mutex);
    ++this->incarnations;
    this->instance_id = this->base_id + "-" + std::to_string(this->incarnations);
    this->born = unix_ms();
    this->sequence = 0;
    this->running = true;
    this->server =
        std::make_unique<listener>(this->bound_port, [this](connection& client) { this->serve(client); });
    if (!this->heartbeats.joinable()) {
        this->heartbeats = std::thread([this] { this->beat(); });
    }
}

std::string backend::id()
{
    const std::lock_guard lock(this->mutex);
    return this->instance_id;
}

std::vector<run> backend::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->all_runs;
}

void backend::serve(connection& client)
{
    message request;
    while (client.read(request)) {
        const std::string own_id = this->id();
        const std::string request_id = request.header("X-Request-Id");
        const std::string echoed = "X-Request-Id: " + request_id + "\r\n";
        bool leaves = false;
        {
            const std::lock_guard lock(this->mutex);
            if (!this->running) {
                return;
            }
            leaves = this->draining;
        }
        if (request.target() == "/health") {
            client.write(response_text(leaves ? "503 Service Unavailable" : "200 OK",
                                       "X-Instance-Id: " + own_id + "\r\n", ""));
            continue;
        }
        const std::string expected = request.header("X-Expected-Instance");
        if (!expected.empty() && expected != own_id) {
            client.write(
                response_text("421 Misdirected Request", echoed + "X-Instance-Id: " + own_id + "\r\n", ""));
            continue;
        }
        const std::string caller = request.header("X-Caller-Service");
        {
            const std::lock_guard lock(this->mutex);
            this->all_runs.push_back({request_id, request.target(), caller, steady_clock::now()});
        }
        this->log.line("backend " + own_id + " (" + this->chosen.service + ") runs " + request_id + " " +
                       request.target() + " of caller " + caller);
        if (this->on_run && this->on_run(request) == run_effect::crash) {
            this->crash();
            return;
        }
        std::this_thread::sleep_for(this->chosen.work);
        const std::string signed_headers =
            echoed + "X-Response-Signature: " + own_id + "." + request_id + "\r\n";
        const std::string body = this->body_of ? this->body_of(request) : "from " + this->chosen.service;
        if (this->lacks_length && this->lacks_length(request)) {
            client.write("HTTP/1.1 200 OK\r\n" + signed_headers + "Connection: close\r\n\r\n" + body);
            return;
        }
        if (!client.write(response_text("200 OK", signed_headers, body))) {
            return;
        }
    }
}

void backend::crash()
{
    const std::lock_guard lock(this->mutex);
    if (!this->running) {
        return;
    }
    ++this->crash_count;
    this->running = false;
    this->back_at = steady_clock::now() + this->chosen.downtime;
    this->log.line("backend " + this->instance_id + " crashes");
    this->wake.notify_all();
}

void backend::beat()
{
    for (;;) {
        bool down = false;
        {
            std::unique_lock lock(this->mutex);
            if (this->stopping) {
                return;
            }
            down = !this->running;
        }
        if (down) {
            this->server.reset();
            time_point until;
            {
                std::unique_lock lock(this->mutex);
                until = this->back_at;
                this->wake.wait_until(lock, until, [this] { return this->stopping; });
                if (this->stopping) {
                    return;
                }
            }
            this->start_incarnation();
            this->log.line("backend " + this->id() + " is up");
        }
        const bool acknowledged = this->send_heartbeat();
        constexpr milliseconds retry_interval{300};
        std::unique_lock lock(this->mutex);
        this->wake.wait_for(lock, acknowledged ? this->chosen.heartbeat_interval : retry_interval,
                            [this] { return this->stopping || !this->running; });
    }
}

bool backend::send_heartbeat()
{
    std::string path;
    std::string body;
    std::string state;
    {
        const std::lock_guard lock(this->mutex);
        state = this->draining ? "draining" : "ready";
        path = "/api/instances/" + this->instance_id + "/heartbeat";
        body = R"({"Address":"127.0.0.1:)" + std::to_string(this->bound_port) + R"(","born":)" +
               std::to_string(this->born) + R"(,"Info":{"Service":")" + this->chosen.service +
               R"(","Version":"v1","Zone":")" + this->chosen.zone + R"(","Slots":)" +
               std::to_string(this->chosen.slots) + R"(},"Status":{"State":")" + state + R"(","Seq":)" +
               std::to_string(++this->sequence) + R"(,"ColdRemainingMs":0}})";
    }
    const int status = post(this->chosen.control_port, path, body);
    if (state == "draining") {
        this->log.line("heartbeat to " + path + " " + body + " -> " + std::to_string(status));
    }
    return status / 100 == 2;
}

time_point backend::drain()
{
    {
        const std::lock_guard lock(this->mutex);
        this->draining = true;
    }
    time_point acknowledged;
    wait_until(
        [&] {
            const bool done = this->send_heartbeat();
            acknowledged = done ? steady_clock::now() : time_point{};
            return done;
        },
        milliseconds(5000));
    return acknowledged;
}

void backend::deregister_and_end()
{
    const std::string path = "/api/instances/" + this->id() + "/deregister";
    const int status =
        post(this->chosen.control_port, path, R"({"born":)" + std::to_string(this->born) + "}");
    this->log.line("deregister " + path + " -> " + std::to_string(status));
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    this->heartbeats.join();
    this->server.reset();
}

sidecar::sidecar(options given) : chosen(std::move(given)) {}

sidecar::~sidecar()
{
    this->kill();
}

void sidecar::start()
{
    const auto address = [](std::uint16_t port) {
        return std::string(loopback) + ":" + std::to_string(port);
    };
    const std::map<std::string, std::string> fields = {
        {"NodeName", this->chosen.node},
        {"Zone", this->chosen.zone},
        {"Service", this->chosen.service},
        {"AppAddr", address(this->chosen.target_port)},
        {"Listen.Outbound", address(this->outbound)},
        {"Listen.Inbound", address(this->peer)},
        {"Listen.Ready", address(this->ready)},
        {"Listen.Control", address(this->control)},
        {"Limits.LinkMbps", "1000"},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.GraceS", "6"},
        {"Bounds.BudgetSlack", "56"},
        {"Provider.Address", address(this->chosen.store_port)},
    };
    std::ifstream file("deploy/sidecar.env");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    for (const auto& [name, value] : fields) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    const std::string settings = this->chosen.directory + "/" + this->chosen.node + ".env";
    const std::string output = this->chosen.directory + "/" + this->chosen.node + ".log";
    std::ofstream(settings) << text;
    std::string variable = "POMELOLOFT_CONFIG=" + settings;
    char program[] = "target/pomeloloft";
    char role[] = "sidecar";
    char* arguments[] = {program, role, nullptr};
    char* environment[] = {variable.data(), nullptr};
    const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->pid = ::fork();
    if (this->pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execve(program, arguments, environment);
        ::_exit(could_not_run);
    }
    ::close(fd);
}

void sidecar::signal(int number) const
{
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

void sidecar::kill()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

bool sidecar::is_ready() const
{
    const auto opened = connection::open(this->ready, milliseconds(500));
    message response;
    return opened && opened->write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           opened->read(response) && response.status() == 200;
}

client_response send_request(std::uint16_t port, const std::string& method, const std::string& path,
                             const std::string& request_id, milliseconds deadline, milliseconds patience)
{
    client_response out;
    out.sent_at = steady_clock::now();
    const auto opened = connection::open(port, std::max(deadline, patience));
    message response;
    const std::string length = method == "GET" ? "" : "Content-Length: 0\r\n";
    if (opened &&
        opened->write(method + " " + path +
                      " HTTP/1.1\r\nHost: trips.example\r\nX-Request-Id: " + request_id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + length + "\r\n") &&
        opened->read(response)) {
        out.status = response.status();
        out.body = response.body;
        out.signature = response.header("X-Response-Signature");
    }
    return out;
}

int post(std::uint16_t port, const std::string& path, const std::string& body)
{
    const auto opened = connection::open(port, milliseconds(1000));
    message response;
    const bool answered = opened &&
                          opened->write("POST " + path +
                                        " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                                        "Content-Length: " +
                                        std::to_string(body.size()) + "\r\n\r\n" + body) &&
                          opened->read(response);
    return answered ? response.status() : 0;
}

std::string next_request_id()
{
    static std::atomic<std::uint64_t> next{1};
    std::ostringstream out;
    out << "r" << next++;
    return out.str();
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point deadline = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

} // namespace review
