#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "pomeloloft/http/server.hpp"
#include "pomeloloft/proxy/request.hpp"
#include "pomeloloft/traffic/choose.hpp"
#include "pomeloloft/traffic/idempotency.hpp"
#include "pomeloloft/traffic/outcome.hpp"

namespace pomeloloft {

/// The head of an answer.
struct response_head {
    int status = 0;
    header_list headers;
    /// Body bytes; absent when only its end will tell.
    std::optional<std::uint64_t> length;
    /// The answer has no body, whatever its headers say.
    bool bodyless = false;
};

/// Writes one answer to a caller and, when asked, keeps a copy to replay. A caller that goes away ends the
/// writing but not the keeping.
class response_writer {
public:
    response_writer(http_request& from, http_response& to) : request(from), response(to) {}

    /// Keeps a copy of what is written.
    void keep_copy() { this->response_copy = std::make_shared<kept_answer>(); }

    /// The copy kept; null without `keep_copy` and while the answer is not whole.
    [[nodiscard]] std::shared_ptr<const kept_answer> copy() const
    {
        return this->complete ? this->response_copy : nullptr;
    }

    /// Begins an answer that a target gave.
    void begin(const response_head& head, run_state state, std::uint64_t version);

    /// Writes a part of the body.
    /// @return whether anyone still takes it.
    bool write(const char* data, std::size_t size);

    /// Ends a whole body.
    void finish();

    /// Ends a body that is cut short, so that the caller sees it as incomplete.
    void abort_body();

    /// Answers in the mesh's own name.
    void refuse(run_state state, refusal_reason reason, const std::string& message);

    /// Replays a kept answer.
    void replay(const kept_answer& answer);

    /// What to report of the target with every answer; set by the proxy beside it.
    std::optional<endpoint_report> report;

    /// The caller's request.
    [[nodiscard]] http_request& caller() const { return this->request; }

    /// What the caller was told last.
    [[nodiscard]] run_state last_state() const { return this->reported_state; }

private:
    void send_head(const response_head& head);

    http_request& request;
    http_response& response;
    std::ostream* out = nullptr;
    std::shared_ptr<kept_answer> response_copy;
    bool write_failed = false;
    bool complete = false;
    run_state reported_state = run_state::not_run;
};

/// Status code for an answer in the mesh's own name.
[[nodiscard]] int http_status_of(run_state state, refusal_reason reason);

} // namespace pomeloloft
