#include "log_server.hpp"

#include <algorithm>
#include <iterator>
#include <thread>

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace pomeloloft::stand_ins {
namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int too_large = 413;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

void send_json(http_response& response, int status, const json& body)
{
    send_text(response, status, "application/json",
              body.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::uint64_t number_parameter(const Poco::URI& uri, const std::string& name, std::uint64_t fallback)
{
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return std::stoull(value);
        }
    }
    return fallback;
}

} // namespace

result<std::unique_ptr<log_server>> log_server::start(const log_options& options)
{
    std::unique_ptr<log_server> log(new log_server(options));
    http_server_options listener;
    listener.address = options.address;
    listener.setting = "address";
    listener.max_threads = 512;
    log_server& self = *log;
    BOOST_OUTCOME_TRY(auto server,
                      http_server::start(listener, [&self](auto& q, auto& r) { self.handle(q, r); }));
    log->server = std::move(server);
    return log;
}

void log_server::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->appended.notify_all();
    }
    this->server->stop(steady_clock::now());
}

void log_server::handle(http_request& request, http_response& response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (path == "/v1/faults") {
        this->handle_faults(request, response);
        return;
    }
    if (path == "/v1/counters") {
        this->send_counters(response);
        return;
    }
    fault_state current_faults;
    {
        const std::lock_guard lock(this->mutex);
        current_faults = this->faults;
    }
    std::this_thread::sleep_for(current_faults.delay);
    if (current_faults.outage) {
        send_json(response, unavailable, {{"error", "outage"}});
        return;
    }
    const std::string prefix = "/v1/streams/";
    if (path.rfind(prefix, 0) != 0) {
        send_json(response, not_found, {{"error", "no such path"}});
        return;
    }
    const std::string stream_path = path.substr(prefix.size());
    const auto slash = stream_path.find('/');
    const std::string name = stream_path.substr(0, slash);
    if (slash == std::string::npos) {
        this->send_bounds(response, name);
    } else if (request.getMethod() == "POST") {
        this->append(request, response, name);
    } else {
        this->read(request, response, name);
    }
}

bool log_server::exceeds_append_rate(time_point now)
{
    constexpr milliseconds window{1000};
    if (now - this->rate_window_start >= window) {
        this->rate_window_start = now;
        this->appends_in_window = 0;
    }
    return ++this->appends_in_window > this->options.appends_per_second;
}

void log_server::expire(stream& s, time_point now) const
{
    while (!s.records.empty() && s.records.front().expires_at <= now) {
        s.oldest = s.records.front().offset + 1;
        s.records.pop_front();
    }
}

void log_server::append(http_request& request, http_response& response, const std::string& name)
{
    const std::string data(std::istreambuf_iterator<char>(request.stream()), {});
    const time_point now = steady_clock::now();
    std::uint64_t offset = 0;
    bool lose_response = false;
    {
        const std::lock_guard lock(this->mutex);
        if (this->exceeds_append_rate(now)) {
            ++this->rejected_appends;
            send_json(response, too_many_requests, {{"error", "over rate"}});
            return;
        }
        if (data.size() > this->options.max_record_bytes) {
            send_json(response, too_large, {{"error", "record too large"}});
            return;
        }
        stream& s = this->streams[name];
        offset = s.next++;
        s.records.push_back({offset, data, now + this->options.retention});
        ++this->append_count;
        lose_response = this->faults.lose_answers > 0;
        this->faults.lose_answers -= lose_response ? 1 : 0;
        this->appended.notify_all();
    }
    if (lose_response) {
        abort_connection(request);
        return;
    }
    send_json(response, ok, {{"offset", offset}});
}

void log_server::read(http_request& request, http_response& response, const std::string& name)
{
    const Poco::URI uri(request.getURI());
    const std::uint64_t from = number_parameter(uri, "from", 0);
    const std::uint64_t max_records = number_parameter(uri, "max", 256);
    const time_point deadline = steady_clock::now() + milliseconds(number_parameter(uri, "wait_ms", 0));
    json records = json::array();
    log_server::stream bounds;
    {
        std::unique_lock lock(this->mutex);
        ++this->read_count;
        stream& s = this->streams[name];
        this->appended.wait_until(lock, deadline,
                                  [&] { return s.next > from || this->stopping || this->faults.outage; });
        this->expire(s, steady_clock::now());
        bounds.oldest = s.oldest;
        bounds.next = s.next;
        for (const stored_record& record : s.records) {
            if (record.offset >= from && records.size() < max_records) {
                records.push_back({{"offset", record.offset}, {"data", record.data}});
                this->bytes_read += record.data.size();
            }
        }
        if (this->faults.outage) {
            lock.unlock();
            send_json(response, unavailable, {{"error", "outage"}});
            return;
        }
    }
    send_json(response, ok,
              {{"oldest", bounds.oldest}, {"next", bounds.next}, {"records", std::move(records)}});
}

void log_server::send_bounds(http_response& response, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    ++this->read_count;
    stream& s = this->streams[name];
    this->expire(s, steady_clock::now());
    send_json(response, ok, {{"oldest", s.oldest}, {"next", s.next}});
}

void log_server::handle_faults(http_request& request, http_response& response)
{
    const json body = json::parse(request.stream(), nullptr, false);
    if (!body.is_object()) {
        send_json(response, bad_request, {{"error", "must be a JSON object"}});
        return;
    }
    this->set_faults({body.value("outage", false), milliseconds(body.value("delay_ms", 0)),
                      body.value("lose_answers", 0)});
    send_json(response, ok, {{"ok", true}});
}

void log_server::set_faults(const fault_state& next)
{
    const std::lock_guard lock(this->mutex);
    this->faults = next;
    this->appended.notify_all();
}

std::vector<std::string> log_server::records(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> out;
    for (const stored_record& record : this->streams[name].records) {
        out.push_back(record.data);
    }
    return out;
}

void log_server::append_raw(const std::string& name, const std::string& data)
{
    const std::lock_guard lock(this->mutex);
    stream& s = this->streams[name];
    s.records.push_back({s.next++, data, steady_clock::now() + this->options.retention});
    this->appended.notify_all();
}

void log_server::send_counters(http_response& response)
{
    const std::lock_guard lock(this->mutex);
    send_json(response, ok,
              {{"appends", this->append_count},
               {"refused", this->rejected_appends},
               {"reads", this->read_count},
               {"bytes_read", this->bytes_read}});
}

} // namespace pomeloloft::stand_ins
