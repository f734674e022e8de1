#include "pomeloloft/proxy/settings.hpp"

#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <tclap/CmdLine.h>

namespace pomeloloft {
namespace {

constexpr std::size_t max_node_bytes = 64;
constexpr std::size_t max_count = 100'000;
constexpr std::size_t min_memory_mb = 40;
constexpr std::size_t min_descriptors = 64;
constexpr long long max_duration_ms = 30LL * 86'400'000;

std::string check_address(const std::string& value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == value.size()) {
        return "must be host:port, as in 127.0.0.1:7000";
    }
    try {
        const Poco::Net::SocketAddress parsed(value);
        return {};
    } catch (const Poco::Exception& exception) {
        return "is not an address: " + exception.displayText();
    }
}

std::string read_address(std::string& out, const std::string& value)
{
    out = value;
    return check_address(value);
}

std::string read_name(std::string& out, const std::string& value)
{
    const auto bad = value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.");
    if (value.empty() || value.size() > max_node_bytes || bad != std::string::npos) {
        return "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'";
    }
    out = value;
    return {};
}

std::string read_milliseconds(milliseconds& out, const std::string& value)
{
    long long number = 0;
    const auto [end, parse_error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parse_error != std::errc{} || end != value.data() + value.size() || number < 0 ||
        number > max_duration_ms) {
        return "must be a whole number of milliseconds from 0 to 2592000000";
    }
    out = milliseconds(number);
    return {};
}

std::string read_count(std::size_t& out, std::size_t min_value, const std::string& value)
{
    std::size_t number = 0;
    const auto [end, parse_error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parse_error != std::errc{} || end != value.data() + value.size() || number < min_value ||
        number > max_count) {
        return "must be a whole number from " + std::to_string(min_value) + " to 100000";
    }
    out = number;
    return {};
}

std::string read_distribution(distribution_mode& out, const std::string& value)
{
    const auto mode = value_of(distribution_mode_names, value);
    if (!mode) {
        return "must be tree, poll or whole";
    }
    out = *mode;
    return {};
}

std::string read_peers(proxy_settings& s, const std::string& value)
{
    std::istringstream list(value);
    std::string item;
    while (std::getline(list, item, ',')) {
        const std::string message = check_address(item);
        if (!message.empty()) {
            return "'" + item + "' " + message;
        }
        s.peers.push_back(item);
    }
    return {};
}

constexpr std::array<setting_row, 21> rows{{
    {"node", "POMELOLOFT_NODE", "", "name of this node, unique in the fleet",
     [](proxy_settings& s, const std::string& v) { return read_name(s.node, v); }},
    {"data-centre", "POMELOLOFT_DATA_CENTRE", "", "data centre of this node",
     [](proxy_settings& s, const std::string& v) { return read_name(s.data_centre, v); }},
    {"log", "POMELOLOFT_LOG", "", "address of the platform's log service",
     [](proxy_settings& s, const std::string& v) { return read_address(s.log_address, v); }},
    {"peers", "POMELOLOFT_PEERS", "",
     "control addresses to join through when the log is unavailable, separated by commas", read_peers},
    {"callers", "POMELOLOFT_CALLERS", "127.0.0.1:8080", "listener for callers",
     [](proxy_settings& s, const std::string& v) { return read_address(s.caller_address, v); }},
    {"internal", "POMELOLOFT_INTERNAL", "127.0.0.1:8081", "listener that also serves internal routes",
     [](proxy_settings& s, const std::string& v) { return read_address(s.internal_address, v); }},
    {"operators", "POMELOLOFT_OPERATORS", "127.0.0.1:8082", "listener for operators",
     [](proxy_settings& s, const std::string& v) { return read_address(s.operator_address, v); }},
    {"local", "POMELOLOFT_LOCAL", "127.0.0.1:8083",
     "listener for the local target, metrics and health checks",
     [](proxy_settings& s, const std::string& v) { return read_address(s.local_address, v); }},
    {"peer", "POMELOLOFT_PEER", "127.0.0.1:8084", "listener for requests from other proxies",
     [](proxy_settings& s, const std::string& v) { return read_address(s.peer_address, v); }},
    {"control", "POMELOLOFT_CONTROL", "127.0.0.1:8085", "listener for links from other proxies",
     [](proxy_settings& s, const std::string& v) { return read_address(s.control_address, v); }},
    {"advertise-peer", "POMELOLOFT_ADVERTISE_PEER", "",
     "address at which other proxies send requests; --peer by default",
     [](proxy_settings& s, const std::string& v) { return read_address(s.advertise_peer, v); }},
    {"advertise-control", "POMELOLOFT_ADVERTISE_CONTROL", "",
     "address at which other proxies open links; --control by default",
     [](proxy_settings& s, const std::string& v) { return read_address(s.advertise_control, v); }},
    {"shutdown-grace-ms", "POMELOLOFT_SHUTDOWN_GRACE_MS", "20000",
     "maximum time for requests in progress to finish when the proxy stops",
     [](proxy_settings& s, const std::string& v) { return read_milliseconds(s.shutdown_grace, v); }},
    {"log-retention-ms", "POMELOLOFT_LOG_RETENTION_MS", "86400000",
     "how long the log keeps records; snapshots are renewed within a quarter of it",
     [](proxy_settings& s, const std::string& v) { return read_milliseconds(s.log_retention, v); }},
    {"distribution", "POMELOLOFT_DISTRIBUTION", "tree",
     "distribution mode: tree, or the measurement baselines poll and whole; must be the same on all nodes",
     [](proxy_settings& s, const std::string& v) { return read_distribution(s.distribution, v); }},
    {"full-syncs", "POMELOLOFT_FULL_SYNCS", "4",
     "maximum number of concurrent transfers of a snapshot or full member table to linked nodes",
     [](proxy_settings& s, const std::string& v) { return read_count(s.max_full_syncs, 1, v); }},
    {"max-connections", "POMELOLOFT_MAX_CONNECTIONS", "2048",
     "maximum number of concurrent connections per listener for requests; each uses a thread",
     [](proxy_settings& s, const std::string& v) { return read_count(s.max_connections, 1, v); }},
    {"memory-mb", "POMELOLOFT_MEMORY_MB", "256",
     "memory of the process in MB; bounds what it holds for clients, and their number",
     [](proxy_settings& s, const std::string& v) { return read_count(s.memory_mb, min_memory_mb, v); }},
    {"max-fds", "POMELOLOFT_MAX_FDS", "4096",
     "file descriptors that the process may have open; bounds the connections of clients",
     [](proxy_settings& s, const std::string& v) {
         return read_count(s.max_descriptors, min_descriptors, v);
     }},
    {"record-decisions", "POMELOLOFT_RECORD_DECISIONS", "0",
     "maximum number of request decisions kept in memory for `pomeloloft decisions`; 0 disables recording",
     [](proxy_settings& s, const std::string& v) { return read_count(s.max_recorded_decisions, 0, v); }},
    {"key-lifetime-ms", "POMELOLOFT_KEY_LIFETIME_MS", "3600000",
     "lifetime of an idempotency key; after it, its request never runs and is answered as unknown",
     [](proxy_settings& s, const std::string& v) { return read_milliseconds(s.key_lifetime, v); }},
}};

bool is_optional(const setting_row& row)
{
    return row.flag == "peers" || row.flag == "advertise-peer" || row.flag == "advertise-control";
}

std::string configured_value(const setting_row& row, const std::string& from_flag, bool flag_set)
{
    if (flag_set) {
        return from_flag;
    }
    // Called only at start-up, before any thread exists.
    const char* variable = std::getenv(std::string(row.variable).c_str()); // NOLINT(concurrency-mt-unsafe)
    return variable != nullptr ? variable : std::string(row.default_value);
}

void read_row(const setting_row& row, const std::string& value, proxy_settings& out, std::string& errors)
{
    if (value.empty() && is_optional(row)) {
        return;
    }
    const std::string message = value.empty() ? "is missing" : row.read(out, value);
    if (!message.empty()) {
        errors += "--" + std::string(row.flag) + " (" + std::string(row.variable) + "): " + message + "\n";
    }
}

using string_flag = TCLAP::ValueArg<std::string>;

std::vector<std::unique_ptr<string_flag>> declare_flags(TCLAP::CmdLine& line)
{
    std::vector<std::unique_ptr<string_flag>> flags;
    for (const setting_row& row : rows) {
        const std::string help =
            std::string(row.help) + " [" + std::string(row.variable) +
            (row.default_value.empty() ? "" : ", default " + std::string(row.default_value)) + "]";
        flags.push_back(
            std::make_unique<string_flag>("", std::string(row.flag), help, false, "", "value", line));
    }
    return flags;
}

} // namespace

std::span<const setting_row> setting_rows()
{
    return rows;
}

result<proxy_settings> read_settings(const std::vector<std::string>& arguments)
{
    TCLAP::CmdLine line("Runs the proxy of a target.", ' ', "", false);
    const auto flags = declare_flags(line);
    std::vector<std::string> command_line{"pomeloloft proxy"};
    command_line.insert(command_line.end(), arguments.begin(), arguments.end());
    line.setExceptionHandling(false);
    try {
        line.parse(command_line);
    } catch (const TCLAP::ArgException& exception) {
        return error{error_code::invalid, exception.argId(), exception.error()};
    }
    proxy_settings settings;
    std::string errors;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        read_row(rows[i], configured_value(rows[i], flags[i]->getValue(), flags[i]->isSet()), settings,
                 errors);
    }
    if (!errors.empty()) {
        errors.pop_back();
        return error{error_code::invalid, "", errors};
    }
    return settings;
}

std::string settings_manual()
{
    std::string text = "| flag | variable | default | meaning |\n|---|---|---|---|\n";
    for (const setting_row& row : rows) {
        const std::string default_value =
            row.default_value.empty() ? "" : "`" + std::string(row.default_value) + "`";
        text += "| `--" + std::string(row.flag) + "` | `" + std::string(row.variable) + "` | " +
                default_value + " | " + std::string(row.help) + " |\n";
    }
    return text;
}

} // namespace pomeloloft
