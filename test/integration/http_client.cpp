#include "http_client.hpp"

#include <array>
#include <istream>
#include <sstream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <nlohmann/json.hpp>

#include "pomeloloft/http/connection_pool.hpp"

namespace pomeloloft::testing {
namespace {

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds default_timeout{5000};

void read_body(client_connection& connection, const Poco::Net::HTTPResponse& response_head,
               std::istream& stream, client_response& response)
{
    std::array<char, 16384> buffer{};
    while (stream.good()) {
        stream.read(buffer.data(), buffer.size());
        response.body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
    }
    response.complete =
        response_head.hasContentLength()
            ? response.body.size() == static_cast<std::size_t>(response_head.getContentLength64())
            : !connection.remote_closed();
}

} // namespace

std::string client_response::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

client_response call(const std::string& address, const client_request& request)
{
    client_response response;
    try {
        client_connection connection(address);
        if (!connection.open(steady_clock::now() + connect_timeout)) {
            return response;
        }
        connection.set_io_timeout(request.timeout.value_or(default_timeout));
        Poco::Net::HTTPRequest request_head(request.method, request.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request_head.setKeepAlive(true);
        for (const auto& [name, value] : request.headers) {
            request_head.set(name, value);
        }
        if (!request.body.empty() || request.method != "GET") {
            request_head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        connection.sendRequest(request_head) << request.body;
        Poco::Net::HTTPResponse response_head;
        std::istream& stream = connection.receiveResponse(response_head);
        response.status = response_head.getStatus();
        for (const auto& [name, value] : response_head) {
            response.headers[name] = value;
        }
        read_body(connection, response_head, stream, response);
    } catch (const Poco::Exception&) {
        response.complete = false;
    }
    return response;
}

client_response upload_slowly(const std::string& address, const std::string& path, const std::string& piece,
                              int pieces, milliseconds pause, std::atomic<int>& sent)
{
    client_response response;
    try {
        client_connection connection(address);
        if (!connection.open(steady_clock::now() + connect_timeout)) {
            return response;
        }
        connection.set_io_timeout(milliseconds{10'000});
        Poco::Net::HTTPRequest request_head("PUT", path, Poco::Net::HTTPRequest::HTTP_1_1);
        request_head.setContentLength64(static_cast<Poco::Int64>(piece.size()) * pieces);
        std::ostream& out = connection.sendRequest(request_head);
        for (int i = 0; i < pieces; ++i) {
            out << piece << std::flush;
            ++sent;
            std::this_thread::sleep_for(pause);
        }
        Poco::Net::HTTPResponse response_head;
        std::istream& stream = connection.receiveResponse(response_head);
        response.status = response_head.getStatus();
        read_body(connection, response_head, stream, response);
    } catch (const Poco::Exception&) {
        response.complete = false;
    }
    return response;
}

std::string get_key(const std::string& address)
{
    const client_response response =
        call(address, {"POST", "/.well-known/pomeloloft/keys", {}, "", milliseconds{2000}});
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("key", "") : "";
}

double metric(const std::string& local_address, const std::string& name)
{
    const client_response response = call(local_address, {"GET", "/metrics", {}, "", milliseconds{2000}});
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return -1;
}

std::string send_raw(const std::string& address, const std::string& bytes, milliseconds timeout)
{
    std::string received;
    try {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
        socket.setReceiveTimeout(Poco::Timespan(timeout.count() * Poco::Timespan::MILLISECONDS));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 4096> buffer{};
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer.data(), buffer.size());
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception&) {
        return received;
    }
    return received;
}

} // namespace pomeloloft::testing
