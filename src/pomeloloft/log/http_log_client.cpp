#include <istream>
#include <iterator>
#include <ostream>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/base/json_text.hpp"
#include "pomeloloft/log/log_client.hpp"

namespace pomeloloft {
namespace {

using nlohmann::json;
using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr milliseconds default_response_time{2000};
constexpr int http_too_many_requests = 429;

struct log_response {
    int status = 0;
    std::string body;
};

result<log_response> send_request(const std::string& address, HTTPRequest& request, std::string_view body,
                                  milliseconds response_time = default_response_time)
{
    try {
        HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(response_time.count() * Poco::Timespan::MILLISECONDS));
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        HTTPResponse http_response;
        std::istream& stream = session.receiveResponse(http_response);
        log_response response;
        response.status = http_response.getStatus();
        response.body.assign(std::istreambuf_iterator<char>(stream), {});
        return response;
    } catch (const Poco::TimeoutException&) {
        return error{error_code::timeout, "log", "no answer from " + address + " in time"};
    } catch (const Poco::Exception& failure) {
        return error{error_code::unavailable, "log", address + ": " + failure.displayText()};
    }
}

result<json> parse_body(const log_response& response)
{
    if (response.status == http_too_many_requests) {
        return error{error_code::refused, "log", "over the log's rate"};
    }
    if (response.status != HTTPResponse::HTTP_OK) {
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
    BOOST_OUTCOME_TRY(auto response, send_request(address, request, data));
    BOOST_OUTCOME_TRY(auto body, parse_body(response));
    try {
        return body.at("offset").get<std::uint64_t>();
    } catch (const json::exception& failure) {
        return malformed_response(failure);
    }
}

result<log_batch> read_records(const std::string& address, const log_read_request& read)
{
    const time_point now = steady_clock::now();
    const milliseconds wait = remaining(read.wait_deadline, now);
    const milliseconds response_time = read.response_deadline == no_deadline
                                           ? wait + default_response_time
                                           : remaining(read.response_deadline, now);
    HTTPRequest request(HTTPRequest::HTTP_GET,
                        stream_path(read.stream) + "/records?from=" + std::to_string(read.from) + "&max=" +
                            std::to_string(read.max_records) + "&wait_ms=" + std::to_string(wait.count()),
                        HTTPRequest::HTTP_1_1);
    BOOST_OUTCOME_TRY(auto response, send_request(address, request, {}, response_time));
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
    BOOST_OUTCOME_TRY(auto response, send_request(address, request, {}));
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
