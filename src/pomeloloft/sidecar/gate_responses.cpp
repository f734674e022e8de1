#include <string_view>
#include <utility>

#include "pomeloloft/sidecar/gate.hpp"

namespace pomeloloft::sidecar {
namespace {

bool is_encoded(const net::response& response)
{
    return response.find(net::http::field::content_encoding) != response.end();
}

std::string_view describe_loss(net::exchange_end end, bool reused)
{
    if (end == net::exchange_end::malformed) {
        return "the target sent no valid response";
    }
    return reused ? "reused connection to the target ended" : "connection to the target ended";
}

} // namespace

target_call_result target_gate::classify_exchange(const net::request& sent, net::exchange_result completed,
                                                  bool reused) const
{
    const header_names& names = this->local_settings.headers;
    target_call_result out;
    if (completed.end == net::exchange_end::timed_out) {
        out.outcome = attempt_outcome::timed_out;
        return out;
    }
    if (completed.end == net::exchange_end::cancelled) {
        out.outcome = attempt_outcome::cancelled;
        return out;
    }
    if (completed.end != net::exchange_end::answered) {
        out.outcome = attempt_outcome::lost;
        out.detail = describe_loss(completed.end, reused);
        return out;
    }
    net::response& response = completed.response;
    const bool not_run = response.find(names.not_executed) != response.end() ||
                         response.result() == net::http::status::misdirected_request;
    if (not_run) {
        out.outcome = attempt_outcome::rejected;
        return out;
    }
    const bool success = to_status_class(response.result()) == net::http::status_class::successful;
    const bool is_complete = sent.method() == net::http::verb::head || !is_encoded(response);
    if (success && (!is_complete || response.find(names.signature) == response.end())) {
        out.outcome = attempt_outcome::lost;
        out.detail = "successful response has no signature header or has a content encoding";
        return out;
    }
    out.outcome = attempt_outcome::answered;
    out.response = std::move(response);
    return out;
}

} // namespace pomeloloft::sidecar
