#include "fleet.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/process.hpp>
#include <nlohmann/json.hpp>

namespace pomeloloft::testing {
namespace {

namespace bp = boost::process;
using nlohmann::json;

std::string local_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json get_json(const std::string& address, const std::string& path)
{
    const client_response response = call(address, {"GET", path, {}, "", milliseconds{3000}});
    return json::parse(response.body, nullptr, false);
}

} // namespace

bool wait_until(milliseconds limit, const std::function<bool()>& condition)
{
    constexpr milliseconds poll_interval{10};
    const time_point deadline = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() >= deadline) {
            return condition();
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

struct child_process::implementation {
    bp::child child;
};

child_process::child_process(const std::string& binary, const std::vector<std::string>& arguments,
                             const std::string& log_path)
    : impl(std::make_unique<implementation>())
{
    // An inherited listener would keep a port open that this process has closed.
    this->impl->child = bp::child(binary, bp::args(arguments), bp::limit_handles,
                                  bp::std_in<bp::null, (bp::std_out & bp::std_err)> log_path);
}

child_process::~child_process()
{
    this->kill();
}

void child_process::signal(int number) const
{
    ::kill(this->impl->child.id(), number);
}

void child_process::kill()
{
    if (this->impl->child.joinable()) {
        this->signal(SIGKILL);
        this->impl->child.wait();
    }
}

std::optional<int> child_process::terminate(milliseconds limit)
{
    this->signal(SIGTERM);
    if (!wait_until(limit, [this] { return !this->impl->child.running(); })) {
        return std::nullopt;
    }
    return this->impl->child.exit_code();
}

bool child_process::running()
{
    return this->impl->child.running();
}

int child_process::id() const
{
    return this->impl->child.id();
}

std::uint16_t free_port()
{
    // These ports are below the ephemeral range, so that no outgoing connection occupies a port between this
    // check and its use.
    constexpr unsigned first = 10'000;
    constexpr unsigned count = 20'000;
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 257U};
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        try {
            Poco::Net::ServerSocket socket;
            socket.bind(Poco::Net::SocketAddress("127.0.0.1", port));
            return port;
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

std::string example_path(const std::string& name)
{
    return std::string(POMELOLOFT_EXAMPLES) + "/" + name;
}

std::uint64_t test_seed()
{
    static const std::uint64_t seed = [] {
        constexpr std::uint64_t default_seed = 20261204;
        const char* given = std::getenv("POMELOLOFT_SEED"); // NOLINT(concurrency-mt-unsafe)
        const std::uint64_t chosen = given != nullptr ? std::stoull(given) : default_seed;
        std::cout << "POMELOLOFT_SEED=" << chosen << std::endl;
        return chosen;
    }();
    return seed;
}

node::node(node_options setup, std::string log) : options(std::move(setup)), log_address(std::move(log))
{
    for (std::string* address : {&this->at.callers, &this->at.internal, &this->at.operators, &this->at.local,
                                 &this->at.peer, &this->at.control}) {
        *address = local_address(free_port());
    }
    if (this->options.with_fault_proxies) {
        this->peer_faults = std::make_unique<stand_ins::fault_proxy>(this->at.peer);
        this->control_faults = std::make_unique<stand_ins::fault_proxy>(this->at.control);
        this->log_faults = std::make_unique<stand_ins::fault_proxy>(this->log_address);
        this->log_address = this->log_faults->address();
    }
}

void node::start()
{
    std::vector<std::string> flags{
        "proxy",           "--node",          this->options.name, "--data-centre",  this->options.data_centre,
        "--log",           this->log_address, "--callers",        this->at.callers, "--internal",
        this->at.internal, "--operators",     this->at.operators, "--local",        this->at.local,
        "--peer",          this->at.peer,     "--control",        this->at.control};
    if (this->options.with_fault_proxies) {
        flags.insert(flags.end(), {"--advertise-peer", this->peer_faults->address(), "--advertise-control",
                                   this->control_faults->address()});
    }
    flags.insert(flags.end(), this->options.extra_flags.begin(), this->options.extra_flags.end());
    const char* directory = std::getenv("POMELOLOFT_TEST_LOGS"); // NOLINT(concurrency-mt-unsafe)
    static std::atomic<int> starts{0};
    const std::string log_path =
        directory != nullptr
            ? std::string(directory) + "/" + std::to_string(++starts) + "-" + this->options.name + ".log"
            : "/dev/null";
    this->process = std::make_unique<child_process>(POMELOLOFT_BINARY, flags, log_path);
}

void node::start_target()
{
    stand_ins::target_options setup = this->options.target;
    setup.service = this->options.service;
    setup.proxy_local_address = this->at.local;
    this->target = std::move(stand_ins::target_server::start(setup).value());
}

std::int64_t node::version() const
{
    return static_cast<std::int64_t>(metric(this->at.local, "pomeloloft_config_version"));
}

bool node::ready() const
{
    constexpr int ok = 200;
    return call(this->at.local, {"GET", "/readyz", {}, "", milliseconds{1000}}).status == ok;
}

fleet::fleet(const stand_ins::log_options& log_setup)
    : log(std::move(stand_ins::log_server::start(log_setup).value())),
      log_address(local_address(this->log->port()))
{}

node& fleet::add(node_options setup)
{
    this->nodes.push_back(std::make_unique<node>(std::move(setup), this->log_address));
    node& added = *this->nodes.back();
    added.start();
    if (!added.options.service.empty()) {
        added.start_target();
    }
    return added;
}

bool fleet::wait_until_ready(milliseconds limit)
{
    return wait_until(limit, [this] {
        for (const auto& n : this->nodes) {
            if (n->process && n->process->running() && !n->ready()) {
                return false;
            }
        }
        return true;
    });
}

bool fleet::wait_for_version(std::int64_t version, milliseconds limit)
{
    const auto lags = [version](const node& n) {
        return n.process && n.process->running() && n.version() < version;
    };
    const bool reached = wait_until(limit, [&] {
        return std::none_of(this->nodes.begin(), this->nodes.end(), [&](const auto& n) { return lags(*n); });
    });
    for (const auto& n : this->nodes) {
        if (!reached && lags(*n)) {
            std::cout << "lagging: " << n->options.name << " pid " << n->process->id() << " at version "
                      << n->version() << ", health "
                      << call(n->at.local, {"GET", "/healthz", {}, "", milliseconds{500}}).status
                      << ", status "
                      << call(n->at.operators, {"GET", "/v1/status", {}, "", milliseconds{500}}).body
                      << std::endl;
        }
    }
    return reached;
}

bool fleet::wait_for_endpoints(const node& observer, std::size_t count, milliseconds limit)
{
    return wait_until(limit, [&] {
        const json fleet_state = get_json(observer.at.operators, "/v1/fleet");
        if (!fleet_state.is_object()) {
            return false;
        }
        std::size_t found = 0;
        for (const json& row : fleet_state.at("proxies")) {
            found += row.value("state", "") == "serving" ? 1 : 0;
        }
        return found == count;
    });
}

command_result fleet::run(const std::vector<std::string>& arguments) const
{
    bp::ipstream output;
    bp::child child(POMELOLOFT_BINARY, bp::args(arguments),
                    bp::std_in<bp::null, (bp::std_out & bp::std_err)> output);
    command_result outcome;
    outcome.output.assign(std::istreambuf_iterator<char>(output), {});
    child.wait();
    outcome.exit_code = child.exit_code();
    return outcome;
}

command_result fleet::apply(const node& entry_proxy, const std::string& file) const
{
    return this->run({"apply", "--proxy", entry_proxy.at.operators, "--author", "test", file});
}

bool fleet::bring_up(const node& entry_proxy, const std::string& file)
{
    if (!this->wait_until_ready(startup_timeout)) {
        std::cout << "not every proxy became ready" << std::endl;
        return false;
    }
    const command_result applied = this->apply(entry_proxy, file);
    if (applied.exit_code != 0) {
        std::cout << applied.output << std::endl;
        return false;
    }
    return this->wait_for_version(1, convergence_limit);
}

client_response fleet::submit(const node& entry_proxy, const std::string& id, std::uint64_t base,
                              const std::string& operations) const
{
    const json body{{"id", id}, {"author", "test"}, {"base", base}, {"operations", json::parse(operations)}};
    return call(entry_proxy.at.operators, {"POST", "/v1/patches", {}, body.dump(), milliseconds{15'000}});
}

} // namespace pomeloloft::testing
