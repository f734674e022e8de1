#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using clock = std::chrono::steady_clock;

const clock::time_point program_start = clock::now();

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

/// Binds a socket to `port`, or to a free one if it is 0. @return -1 if that fails.
int bind_to(std::uint16_t& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Closes a connection with a reset.
void reset_connection(int fd)
{
    const linger none{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    ::shutdown(fd, SHUT_RD);
}

bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool receive_more(int fd, std::string& buffer)
{
    char block[16384];
    const ssize_t received = ::recv(fd, block, sizeof block, 0);
    if (received <= 0) {
        return false;
    }
    buffer.append(block, static_cast<std::size_t>(received));
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool parse_head(const std::string& head, message& out)
{
    const std::size_t line_end = head.find("\r\n");
    const std::string first = head.substr(0, line_end);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (space == std::string::npos) {
        return false;
    }
    if (first.starts_with("HTTP/")) {
        out.status = std::atoi(first.c_str() + space);
    } else {
        out.method = first.substr(0, space);
        out.target = first.substr(space + 1, second - space - 1);
    }
    for (std::size_t at = line_end + 2; at < head.size();) {
        const std::size_t end = std::min(head.find("\r\n", at), head.size());
        const std::string line = head.substr(at, end - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            out.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
        at = end + 2;
    }
    return true;
}

} // namespace

std::string message::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string{} : found->second;
}

double now_s()
{
    return std::chrono::duration<double>(clock::now() - program_start).count();
}

void sleep_ms(int duration_ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

held_port::held_port() : fd(bind_to(this->number)) {}

held_port::~held_port()
{
    if (this->fd >= 0) {
        ::close(this->fd);
    }
}

bool read_message(int fd, std::string& buffer, message& out)
{
    std::size_t head_end = buffer.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (!receive_more(fd, buffer)) {
            return false;
        }
        head_end = buffer.find("\r\n\r\n");
    }
    if (!parse_head(buffer.substr(0, head_end), out)) {
        return false;
    }
    buffer.erase(0, head_end + 4);
    const auto length = static_cast<std::size_t>(std::atoll(out.header("content-length").c_str()));
    while (buffer.size() < length) {
        if (!receive_more(fd, buffer)) {
            return false;
        }
    }
    out.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

std::string response_text(int status, const std::string& body, const header_list& headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

message call(std::uint16_t port, const std::string& method, const std::string& target,
             const header_list& headers, const std::string& body, int timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = loopback(port);
    message out;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (!send_all(fd, text) || !read_message(fd, buffer, out)) {
            out = {};
        }
    }
    ::close(fd);
    return out;
}

bool http_server::start(std::uint16_t port)
{
    this->stopping = false;
    this->listen_port = port;
    this->listen_fd = bind_to(this->listen_port);
    if (this->listen_fd < 0 || ::listen(this->listen_fd, 256) != 0) {
        return false;
    }
    const std::lock_guard lock(this->mutex);
    ++this->threads;
    std::thread([this, fd = this->listen_fd] { this->accept_connections(fd); }).detach();
    return true;
}

void http_server::stop()
{
    this->stopping = true;
    std::unique_lock lock(this->mutex);
    if (this->listen_fd >= 0) {
        ::shutdown(this->listen_fd, SHUT_RDWR);
        this->listen_fd = -1;
    }
    for (const int fd : this->connections) {
        reset_connection(fd);
    }
    this->ended.wait(lock, [this] { return this->threads == 0; });
}

void http_server::accept_connections(int listener)
{
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 && !this->stopping && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (fd < 0) {
            break;
        }
        const std::lock_guard lock(this->mutex);
        if (this->stopping) {
            ::close(fd);
            break;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        this->connections.insert(fd);
        ++this->threads;
        std::thread([this, fd] { this->serve(fd); }).detach();
    }
    ::close(listener);
    const std::lock_guard lock(this->mutex);
    --this->threads;
    this->ended.notify_all();
}

void http_server::serve(int fd)
{
    std::string buffer;
    for (;;) {
        message received;
        if (!read_message(fd, buffer, received)) {
            break;
        }
        const std::string response = this->handle(received);
        if (response.empty() || this->stopping || !send_all(fd, response)) {
            break;
        }
    }
    const std::lock_guard lock(this->mutex);
    this->connections.erase(fd);
    ::close(fd);
    --this->threads;
    this->ended.notify_all();
}

} // namespace review
