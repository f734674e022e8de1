#include "pomeloloft/cli/operator_client.hpp"

#include <istream>
#include <iterator>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

namespace pomeloloft {

result<operator_response> call_operator(const std::string& address, const std::string& method,
                                        const std::string& path, const std::string& body)
{
    constexpr int timeout_seconds = 30;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(timeout_seconds, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        request.setContentType("application/json");
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse http_response;
        std::istream& stream = session.receiveResponse(http_response);
        operator_response response;
        response.status = http_response.getStatus();
        response.body.assign(std::istreambuf_iterator<char>(stream), {});
        return response;
    } catch (const Poco::Exception& failure) {
        return error{error_code::unavailable, "--proxy", address + ": " + failure.displayText()};
    }
}

} // namespace pomeloloft
