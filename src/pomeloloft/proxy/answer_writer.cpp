#include "pomeloloft/proxy/answer_writer.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <nlohmann/json.hpp>

namespace pomeloloft {
namespace {

constexpr std::size_t max_kept_body = 64U << 10U;
constexpr const char* retry_after_seconds = "1";

} // namespace

int status_of(run_state state, refusal_reason reason)
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

void answer_writer::send_head(const answer_head& head)
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
        this->response.set(header::answer_time, std::to_string(this->report->response_time_us));
    }
    if (head.length) {
        this->response.setContentLength64(static_cast<Poco::Int64>(*head.length));
    } else if (!head.bodyless) {
        this->response.setChunkedTransferEncoding(true);
    }
    try {
        this->out = &this->response.send();
    } catch (const Poco::Exception&) {
        this->broken = true;
    }
}

void answer_writer::begin(const answer_head& head, run_state state, std::uint64_t version)
{
    answer_head marked = head;
    marked.headers.emplace_back(header::outcome, name_of(run_state_names, state));
    if (version > 0) {
        marked.headers.emplace_back(header::version, std::to_string(version));
    }
    this->told_state = state;
    if (this->kept) {
        this->kept->status = marked.status;
        this->kept->headers = marked.headers;
    }
    this->send_head(marked);
}

bool answer_writer::write(const char* data, std::size_t size)
{
    if (this->kept && !this->kept->body_dropped) {
        this->kept->body_dropped = this->kept->body.size() + size > max_kept_body;
        this->kept->body.append(data, this->kept->body_dropped ? 0 : size);
    }
    if (!this->broken) {
        try {
            this->out->write(data, static_cast<std::streamsize>(size));
            this->broken = !this->out->good();
        } catch (const Poco::Exception&) {
            this->broken = true;
        }
    }
    return !this->broken || this->kept != nullptr;
}

void answer_writer::finish()
{
    this->whole = true;
    if (this->out == nullptr || this->broken) {
        return;
    }
    try {
        this->out->flush();
    } catch (const Poco::Exception&) {
        this->broken = true;
    }
}

void answer_writer::cut()
{
    this->broken = true;
    abort_connection(this->request);
}

void answer_writer::refuse(run_state state, refusal_reason reason, const std::string& message)
{
    const nlohmann::json body{{"outcome", name_of(run_state_names, state)},
                              {"reason", name_of(refusal_reason_names, reason)},
                              {"message", message}};
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    answer_head head;
    head.status = status_of(state, reason);
    head.headers = {{"Content-Type", "application/json"},
                    {header::outcome, std::string(name_of(run_state_names, state))},
                    {header::reason, std::string(name_of(refusal_reason_names, reason))}};
    if (state == run_state::not_run && head.status == 503) {
        head.headers.emplace_back("Retry-After", retry_after_seconds);
    }
    head.length = text.size();
    this->told_state = state;
    this->kept.reset();
    this->send_head(head);
    if (!this->broken && this->request.getMethod() != "HEAD") {
        this->write(text.data(), text.size());
    }
    this->finish();
}

void answer_writer::replay(const stored_response& answer)
{
    answer_head head;
    head.status = answer.status;
    head.headers = answer.headers;
    head.headers.emplace_back(header::replayed, "true");
    head.length = answer.body.size();
    this->told_state = run_state::ran;
    this->send_head(head);
    if (!this->broken) {
        this->write(answer.body.data(), answer.body.size());
    }
    this->finish();
}

} // namespace pomeloloft
