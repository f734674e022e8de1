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

/// The head of a response.
struct response_head {
    int status = 0;
    header_list headers;
    /// Body length in bytes; absent if it is not known in advance (chunked encoding).
    std::optional<std::uint64_t> length;
    /// The response has no body, even if a Content-Length is given.
    bool bodyless = false;
};

/// Writes one response to a caller and, on request, keeps a copy for replay. After the caller disconnects,
/// nothing more is written, but the copy is completed.
class response_writer {
public:
    response_writer(http_request& from, http_response& to) : request(from), response(to) {}

    /// Enables the copy; call before `begin`.
    void keep_copy() { this->response_copy = std::make_shared<stored_response>(); }

    /// The copy; null without `keep_copy` and until the response is complete.
    [[nodiscard]] std::shared_ptr<const stored_response> copy() const
    {
        return this->complete ? this->response_copy : nullptr;
    }

    /// Writes the head of a response from a target.
    /// @param version configuration version that the request was routed by; 0 to leave out its header.
    void begin(const response_head& head, run_state state, std::uint64_t version);

    /// Writes a part of the body.
    /// @return false when neither the caller nor a copy accepts any more.
    bool write(const char* data, std::size_t size);

    /// Ends a complete body.
    void finish();

    /// Ends a truncated body by cutting the connection, so that the caller detects that it is incomplete.
    void abort_body();

    /// Writes a refusal: an error response that the proxy generates itself. Discards the copy.
    void refuse(run_state state, refusal_reason reason, const std::string& message);

    /// Writes a stored response again.
    void replay(const stored_response& stored);

    /// Report on the target to send with every response; set by the target's own proxy.
    std::optional<endpoint_report> report;

    /// The caller's request.
    [[nodiscard]] http_request& caller() const { return this->request; }

    /// Outcome that the last head reported to the caller.
    [[nodiscard]] run_state last_state() const { return this->reported_state; }

private:
    void send_head(const response_head& head);

    http_request& request;
    http_response& response;
    std::ostream* out = nullptr;
    std::shared_ptr<stored_response> response_copy;
    bool write_failed = false;
    bool complete = false;
    run_state reported_state = run_state::not_run;
};

/// HTTP status code of a refusal.
[[nodiscard]] int http_status_of(run_state state, refusal_reason reason);

} // namespace pomeloloft
