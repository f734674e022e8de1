#include "pomeloloft/proxy/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include "pomeloloft/base/hash.hpp"

namespace pomeloloft {
namespace {

constexpr std::size_t max_uri_bytes = 8192;
constexpr std::size_t max_header_bytes = 32768;
constexpr std::uint64_t max_deadline_ms = 600'000;

error field_error(const std::string& name, const std::string& what)
{
    return {error_code::invalid, name, what};
}

/// Number of header fields with a name.
std::size_t count_fields(const http_request& request, const std::string& name)
{
    std::size_t count = 0;
    for (auto it = request.find(name); it != request.end() && Poco::icompare(it->first, name) == 0; ++it) {
        ++count;
    }
    return count;
}

/// Rejects ambiguous body lengths, which different servers could interpret differently (request smuggling).
result<void> check_framing(const http_request& request)
{
    const std::size_t lengths = count_fields(request, "Content-Length");
    const std::size_t encodings = count_fields(request, "Transfer-Encoding");
    if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)) {
        return field_error("Content-Length", "the body's length is given more than once");
    }
    if (encodings == 1 && Poco::icompare(request.get("Transfer-Encoding"), "chunked") != 0) {
        return field_error("Transfer-Encoding", "only chunked is understood");
    }
    if (lengths == 1) {
        const std::string& text = request.get("Content-Length");
        const bool digits = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
        constexpr std::size_t max_digits = 15;
        if (!digits || text.size() > max_digits) {
            return field_error("Content-Length", "must be a whole number of bytes");
        }
    }
    return success();
}

result<std::optional<std::uint64_t>> read_number_header(const http_request& request, const char* name,
                                                        std::uint64_t max_value)
{
    if (!request.has(name)) {
        return std::optional<std::uint64_t>{};
    }
    const std::string& text = request.get(name);
    std::uint64_t value = 0;
    const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parse_error != std::errc{} || end != text.data() + text.size() || value > max_value) {
        return field_error(name, "must be a whole number of at most " + std::to_string(max_value));
    }
    return std::optional<std::uint64_t>{value};
}

bool has_mesh_prefix(const std::string& name)
{
    constexpr std::string_view prefix = "x-pomeloloft-";
    return name.size() >= prefix.size() &&
           Poco::icompare(name.substr(0, prefix.size()), std::string(prefix)) == 0;
}

/// Names of the fields that the Connection header declares as hop-by-hop, in lower case.
std::set<std::string> connection_options(const http_request& request)
{
    std::set<std::string> names;
    std::istringstream list(Poco::toLower(request.get("Connection", "")));
    for (std::string item; std::getline(list, item, ',');) {
        names.insert(Poco::trim(item));
    }
    return names;
}

result<header_list> forwarded_headers(const http_request& request)
{
    header_list out;
    std::size_t bytes = 0;
    const std::set<std::string> hop_by_hop = connection_options(request);
    for (const auto& [name, value] : request) {
        bytes += name.size() + value.size();
        if (is_hop_by_hop(name) || has_mesh_prefix(name) || hop_by_hop.contains(Poco::toLower(name))) {
            continue;
        }
        if (value.find_first_of("\r\n") != std::string::npos) {
            return field_error(name, "must not contain line breaks");
        }
        out.emplace_back(name, value);
    }
    if (bytes > max_header_bytes) {
        return field_error("headers", "are larger than 32 KiB together");
    }
    return out;
}

bool has_dot_segment(const std::string& path)
{
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string segment = path.substr(begin, end - begin);
        if (segment == "." || segment == "..") {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

/// Reads in blocks, each of which counts as progress of the client.
void read_up_to(http_request& request, std::istream& in, std::string& out, std::size_t limit)
{
    constexpr std::size_t block_bytes = 4U << 10U;
    std::size_t count = 0;
    out.resize(limit);
    while (count < limit && in.good()) {
        const std::size_t wanted = std::min(block_bytes, limit - count);
        in.read(out.data() + count, static_cast<std::streamsize>(wanted));
        count += static_cast<std::size_t>(in.gcount());
        record_progress(request, static_cast<std::uint64_t>(in.gcount()));
    }
    out.resize(count);
}

} // namespace

bool is_hop_by_hop(const std::string& name)
{
    static const std::set<std::string> names{
        "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te",    "trailer",
        "transfer-encoding", "upgrade",    "content-length",     "proxy-connection",    "expect"};
    return names.contains(Poco::toLower(name));
}

result<std::string> normalise_path(std::string_view uri)
{
    if (uri.empty() || uri.front() != '/' || uri.size() > max_uri_bytes) {
        return field_error("request target", "must begin with '/' and be at most 8 KiB long");
    }
    const std::string_view raw = uri.substr(0, uri.find_first_of("?#"));
    std::string decoded;
    try {
        Poco::URI::decode(std::string(raw), decoded);
    } catch (const Poco::Exception&) {
        return field_error("request target", "has a bad percent-escape");
    }
    const auto is_control = [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f || c == '\\';
    };
    if (std::any_of(decoded.begin(), decoded.end(), is_control) || has_dot_segment(decoded)) {
        return field_error("request target", "has control bytes, backslashes or dot segments");
    }
    const auto last =
        std::unique(decoded.begin(), decoded.end(), [](char a, char b) { return a == '/' && b == '/'; });
    decoded.erase(last, decoded.end());
    return decoded;
}

result<request_head> read_head(const http_request& request, time_point now)
{
    BOOST_OUTCOME_TRYV(check_framing(request));
    request_head head;
    head.method = request.getMethod();
    head.uri = request.getURI();
    BOOST_OUTCOME_TRY(auto path, normalise_path(head.uri));
    head.path = std::move(path);
    BOOST_OUTCOME_TRY(auto headers, forwarded_headers(request));
    head.headers = std::move(headers);
    BOOST_OUTCOME_TRY(auto time_left, read_number_header(request, header::deadline_ms, max_deadline_ms));
    head.deadline = now + milliseconds(time_left.value_or(max_deadline_ms));
    head.retried_above = request.has(header::retried);
    head.key = request.get(header::key, "");
    return head;
}

std::uint64_t held_bytes_of(const http_request& request)
{
    if (request.getChunkedTransferEncoding()) {
        return max_header_bytes + max_replay_bytes;
    }
    const auto length = request.hasContentLength() ? request.getContentLength64() : 0;
    return max_header_bytes + std::min(static_cast<std::uint64_t>(length), std::uint64_t{max_replay_bytes});
}

result<request_body> read_body_prefix(http_request& request)
{
    request_body body;
    body.source = &request;
    body.source_stream = &request.stream();
    const bool chunked = request.getChunkedTransferEncoding();
    if (!chunked) {
        const auto length = request.hasContentLength() ? request.getContentLength64() : 0;
        body.length = static_cast<std::uint64_t>(length);
    }
    if (body.length && *body.length == 0) {
        body.complete = true;
        return body;
    }
    const std::size_t wanted =
        body.length ? std::min<std::uint64_t>(*body.length, max_replay_bytes) : max_replay_bytes;
    read_up_to(request, *body.source_stream, body.prefix, wanted);
    const bool truncated =
        body.length ? body.prefix.size() < wanted : body.prefix.size() < wanted && caller_gone(request);
    if (truncated) {
        return field_error("body", "ended before its length");
    }
    body.complete = body.length ? body.prefix.size() == *body.length : body.prefix.size() < wanted;
    if (body.complete) {
        body.length = body.prefix.size();
    }
    return body;
}

std::uint64_t fingerprint_of(const request_head& head, const request_body& body)
{
    std::uint64_t hash = hash_bytes(head.method);
    hash = hash_combine(hash, hash_bytes(head.uri));
    hash = hash_combine(hash, body.length.value_or(0));
    return hash_combine(hash, hash_bytes(body.prefix));
}

} // namespace pomeloloft
