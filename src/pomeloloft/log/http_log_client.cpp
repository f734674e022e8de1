#include <algorithm>
#include <string>

#include <Poco/Net/HTTPRequest.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/http/single_call.hpp"
#include "pomeloloft/log/log_client.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;

constexpr milliseconds default_response_time{2000};
constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;

/// Bytes that an answer may have: a record of 1 MB takes up to 6 MB as a JSON string.
constexpr std::size_t max_answer_bytes = 64U << 20U;
/// Factor by which fewer records are read after an answer that was too long.
constexpr std::uint32_t batch_reduction = 8;

result<single_response> send_request(const std::string& address, HTTPRequest& request, std::string_view body,
                                     time_point deadline)
{
    auto response = call_once(address, request, body, deadline, max_answer_bytes);
    if (!response) {
        return error{response.error().code, "log", to_string(response.error())};
    }
    return response;
}

result<json> parse_body(const single_response& response)
{
    if (response.body_too_long) {
        return error{error_code::corrupt, "log", "answer is too long"};
    }
    if (response.status == http_too_many_requests) {
        return error{error_code::refused, "log", "over the log's rate"};
    }
    if (response.status != http_ok) {
        return error{error_code::unavailable, "log", "answered " + std::to_string(response.status)};
    }
    json body = parse_json(response.body);
    if (!body.is_object()) {
        return error{error_code::corrupt, "log", "answer is not a JSON object"};
    }
    return body;
}

std::string stream_path(std::string_view stream)
{
    return "/v1/streams/" + std::string(stream);
}

log_bounds read_bounds(const json& body)
{
    return {body.at("oldest").get<std::uint64_t>(), body.at("next").get<std::uint64_t>()};
}

error malformed_response(const json::exception& failure)
{
    return {error_code::corrupt, "log", failure.what()};
}

result<std::uint64_t> append_record(const std::string& address, std::string_view stream,
                                    std::string_view data)
{
    HTTPRequest request(HTTPRequest::HTTP_POST, stream_path(stream) + "/records", HTTPRequest::HTTP_1_1);
    BOOST_OUTCOME_TRY(auto response,
                      send_request(address, request, data, steady_clock::now() + default_response_time));
    BOOST_OUTCOME_TRY(auto body, parse_body(response));
    try {
        return body.at("offset").get<std::uint64_t>();
    } catch (const json::exception& failure) {
        return malformed_response(failure);
    }
}

/// Deadline of one answer to a read.
time_point answer_deadline(const log_read_request& read)
{
    return read.response_deadline == no_deadline
               ? std::max(read.wait_deadline, steady_clock::now()) + default_response_time
               : read.response_deadline;
}

/// Reads at most `max_records` records. If they exceed the limit on answers, fewer are read.
result<single_response> read_batch(const std::string& address, const log_read_request& read)
{
    for (std::uint32_t max_records = read.max_records;;
         max_records = std::max(max_records / batch_reduction, 1U)) {
        const milliseconds wait = remaining(read.wait_deadline, steady_clock::now());
        HTTPRequest request(HTTPRequest::HTTP_GET,
                            stream_path(read.stream) + "/records?from=" + std::to_string(read.from) +
                                "&max=" + std::to_string(max_records) +
                                "&wait_ms=" + std::to_string(wait.count()),
                            HTTPRequest::HTTP_1_1);
        BOOST_OUTCOME_TRY(auto response, send_request(address, request, {}, answer_deadline(read)));
        if (!response.body_too_long || max_records <= 1) {
            return response;
        }
    }
}

result<log_batch> read_records(const std::string& address, const log_read_request& read)
{
    BOOST_OUTCOME_TRY(auto response, read_batch(address, read));
    BOOST_OUTCOME_TRY(auto body, parse_body(response));
    try {
        log_batch batch{read_bounds(body), {}};
        for (const json& record : body.at("records")) {
            batch.records.push_back(
                {record.at("offset").get<std::uint64_t>(), record.at("data").get<std::string>()});
        }
        return batch;
    } catch (const json::exception& failure) {
        return malformed_response(failure);
    }
}

result<log_bounds> stream_bounds(const std::string& address, std::string_view stream)
{
    HTTPRequest request(HTTPRequest::HTTP_GET, stream_path(stream), HTTPRequest::HTTP_1_1);
    BOOST_OUTCOME_TRY(auto response,
                      send_request(address, request, {}, steady_clock::now() + default_response_time));
    BOOST_OUTCOME_TRY(auto body, parse_body(response));
    try {
        return read_bounds(body);
    } catch (const json::exception& failure) {
        return malformed_response(failure);
    }
}

} // namespace

log_client make_http_log_client(const std::string& address)
{
    return {
        [address](std::string_view stream, std::string_view data) {
            return append_record(address, stream, data);
        },
        [address](const log_read_request& request) { return read_records(address, request); },
        [address](std::string_view stream) { return stream_bounds(address, stream); },
    };
}

} // namespace pomeloloft
