#include <string>
#include <utility>

#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {
namespace {

constexpr milliseconds probe_timeout{700};

error probe_error(net::exchange_end end)
{
    return {pomeloloft::error_code::unavailable, "health check",
            std::string(name_of(net::exchange_end_names, end))};
}

} // namespace

net::task<result<std::string>> target_gate::probe(std::string path)
{
    const time_point deadline = steady_clock::now() + probe_timeout;
    auto connected = co_await this->pool.connect(this->address, deadline);
    if (!connected) {
        co_return connected.error();
    }
    net::request sent{net::http::verb::get, path, 11};
    sent.set(net::http::field::host, this->local_settings.target_address);
    net::exchange_options options;
    options.deadline = deadline;
    net::exchange_result completed = co_await net::exchange(*connected.value(), sent, options);
    if (completed.end != net::exchange_end::answered) {
        co_return probe_error(completed.end);
    }
    const bool healthy = completed.response.result() == net::http::status::ok;
    if (completed.reusable) {
        this->pool.release(this->address, std::move(connected.value()));
    }
    co_return healthy ? std::string(completed.response[this->local_settings.headers.instance])
                      : std::string{};
}

} // namespace pomeloloft::sidecar
