#include "pomeloloft/http/single_call.hpp"

#include <array>
#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include "pomeloloft/http/connection_pool.hpp"

namespace pomeloloft {
namespace {

void read_body(std::istream& stream, std::size_t max_body_bytes, single_response& response)
{
    constexpr std::size_t buffer_bytes = 16U << 10U;
    std::array<char, buffer_bytes> buffer{};
    do {
        stream.read(buffer.data(), buffer.size());
        response.body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        response.body_too_long = response.body.size() > max_body_bytes;
    } while (stream && !response.body_too_long);
}

bool is_complete(client_connection& connection, const Poco::Net::HTTPResponse& head, std::size_t body_bytes)
{
    if (connection.networkException() != nullptr) {
        return false;
    }
    if (head.getChunkedTransferEncoding()) {
        // POCO takes the end of the stream for the last chunk.
        return !connection.remote_closed();
    }
    return !head.hasContentLength() || body_bytes == static_cast<std::size_t>(head.getContentLength64());
}

error timeout_error(const std::string& address)
{
    return {error_code::timeout, address, "no complete response in time"};
}

} // namespace

result<single_response> call_once(const std::string& address, Poco::Net::HTTPRequest& request,
                                  std::string_view body, time_point deadline, std::size_t max_body_bytes)
{
    try {
        client_connection connection(address);
        BOOST_OUTCOME_TRYV(connection.open(deadline));
        connection.set_io_timeout(remaining(deadline, steady_clock::now()));
        request.setKeepAlive(false);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        connection.sendRequest(request) << body;
        Poco::Net::HTTPResponse head;
        std::istream& stream = connection.receive_head(head, deadline);
        single_response response;
        response.status = head.getStatus();
        read_body(stream, max_body_bytes, response);
        if (response.body_too_long) {
            response.body.clear();
            return response;
        }
        if (!is_complete(connection, head, response.body.size())) {
            if (steady_clock::now() >= deadline) {
                return timeout_error(address);
            }
            return error{error_code::corrupt, address, "the body of the response is incomplete or invalid"};
        }
        return response;
    } catch (const Poco::TimeoutException&) {
        return timeout_error(address);
    } catch (const Poco::DataFormatException& failure) {
        return error{error_code::corrupt, address, failure.displayText()};
    } catch (const Poco::Exception& failure) {
        return error{error_code::unavailable, address, failure.displayText()};
    }
}

} // namespace pomeloloft
