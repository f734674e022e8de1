#include "pomeloloft/cli/operator_client.hpp"

#include <utility>

#include <Poco/Net/HTTPRequest.h>

#include "pomeloloft/http/single_call.hpp"

namespace pomeloloft {
namespace {

/// For a whole answer. A proxy answers a patch, its slowest request, within 10 s: 2 s for the log and 8 s for
/// the outcome; the rest is for the transfer.
constexpr milliseconds response_timeout{30'000};
/// Bytes that an answer may have. A document, for one, has 4 MB at most.
constexpr std::size_t max_answer_bytes = 64U << 20U;

} // namespace

result<operator_response> call_operator(const std::string& address, const std::string& method,
                                        const std::string& path, const std::string& body)
{
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    auto answer = call_once(address, request, body, steady_clock::now() + response_timeout, max_answer_bytes);
    if (!answer) {
        return error{error_code::unavailable, "--proxy", to_string(answer.error())};
    }
    if (answer.value().body_too_long) {
        return error{error_code::unavailable, "--proxy", address + ": the answer is too long"};
    }
    return operator_response{answer.value().status, std::move(answer.value().body)};
}

} // namespace pomeloloft
