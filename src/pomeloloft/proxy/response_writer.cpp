#include "pomeloloft/proxy/response_writer.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <nlohmann/json.hpp>

namespace pomeloloft {
namespace {

constexpr std::size_t max_copied_body_bytes = 64U << 10U;
constexpr const char* retry_after_seconds = "1";

} // namespace

int http_status_of(run_state state, refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_route:
        return 404;
    case refusal_reason::bad_request:
    case refusal_reason::key_invalid:
        return 400;
    case refusal_reason::key_required:
        return 428;
    case refusal_reason::key_expired:
    case refusal_reason::key_issuer_gone:
    case refusal_reason::key_answer_dropped:
        return 409;
    case refusal_reason::quarantined:
        return 422;
    default:
        break;
    }
    if (reason == refusal_reason::deadline) {
        return 504;
    }
    return state == run_state::not_run ? 503 : 502;
}

void response_writer::send_head(const response_head& head)
{
    this->response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
    this->response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(this->response.getStatus()));
    for (const auto& [name, value] : head.headers) {
        if (Poco::icompare(name, "Date") == 0) {
            this->response.set(name, value);
        } else {
            this->response.add(name, value);
        }
    }
    if (this->report) {
        this->response.set(header::load, std::to_string(this->report->load));
        this->response.set(header::response_time, std::to_string(this->report->response_time_us));
    }
    if (head.length) {
        this->response.setContentLength64(static_cast<Poco::Int64>(*head.length));
    } else if (!head.bodyless) {
        this->response.setChunkedTransferEncoding(true);
    }
    try {
        this->out = &this->response.send();
    } catch (const Poco::Exception&) {
        this->write_failed = true;
    }
}

void response_writer::begin(const response_head& head, run_state state, std::uint64_t version)
{
    response_head marked = head;
    marked.headers.emplace_back(header::outcome, name_of(run_state_names, state));
    if (version > 0) {
        marked.headers.emplace_back(header::version, std::to_string(version));
    }
    this->reported_state = state;
    if (this->response_copy) {
        this->response_copy->status = marked.status;
        this->response_copy->headers = marked.headers;
    }
    this->send_head(marked);
}

bool response_writer::write(const char* data, std::size_t size)
{
    if (this->response_copy && !this->response_copy->body_dropped) {
        this->response_copy->body_dropped = this->response_copy->body.size() + size > max_copied_body_bytes;
        this->response_copy->body.append(data, this->response_copy->body_dropped ? 0 : size);
    }
    if (!this->write_failed) {
        try {
            enter_phase(this->request, client_phase::writing);
            this->out->write(data, static_cast<std::streamsize>(size));
            enter_phase(this->request, client_phase::handling);
            this->write_failed = !this->out->good();
        } catch (const Poco::Exception&) {
            this->write_failed = true;
        }
    }
    return !this->write_failed || this->response_copy != nullptr;
}

void response_writer::finish()
{
    this->complete = true;
    if (this->out == nullptr || this->write_failed) {
        return;
    }
    try {
        enter_phase(this->request, client_phase::writing);
        this->out->flush();
    } catch (const Poco::Exception&) {
        this->write_failed = true;
    }
}

void response_writer::abort_body()
{
    this->write_failed = true;
    abort_connection(this->request);
}

void response_writer::refuse(run_state state, refusal_reason reason, const std::string& message)
{
    const nlohmann::json body{{"outcome", name_of(run_state_names, state)},
                              {"reason", name_of(refusal_reason_names, reason)},
                              {"message", message}};
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    response_head head;
    head.status = http_status_of(state, reason);
    head.headers = {{"Content-Type", "application/json"},
                    {header::outcome, std::string(name_of(run_state_names, state))},
                    {header::reason, std::string(name_of(refusal_reason_names, reason))}};
    if (state == run_state::not_run && head.status == 503) {
        head.headers.emplace_back("Retry-After", retry_after_seconds);
    }
    head.length = text.size();
    this->reported_state = state;
    this->response_copy.reset();
    this->send_head(head);
    if (!this->write_failed && this->request.getMethod() != "HEAD") {
        this->write(text.data(), text.size());
    }
    this->finish();
}

void response_writer::replay(const stored_response& stored)
{
    response_head head;
    head.status = stored.status;
    head.headers = stored.headers;
    head.headers.emplace_back(header::replayed, "true");
    head.length = stored.body.size();
    this->reported_state = run_state::ran;
    this->send_head(head);
    if (!this->write_failed) {
        this->write(stored.body.data(), stored.body.size());
    }
    this->finish();
}

} // namespace pomeloloft
