#include "pomeloloft/http/response_check.hpp"

#include <cstdint>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "pomeloloft/http/response_scan.hpp"

namespace pomeloloft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Bytes of a chunk's header or of trailers that may be received before they are complete.
constexpr std::size_t max_incomplete_bytes = 64U << 10U;

/// The body of a message whose content is not kept.
struct discarded_body {
    struct value_type {};

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& /*body*/)
        {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& ec)
        {
            ec = {};
        }

        template <class ConstBuffers>
        std::size_t put(const ConstBuffers& received, boost::system::error_code& ec)
        {
            ec = {};
            return beast::buffer_bytes(received);
        }

        void finish(boost::system::error_code& ec) { ec = {}; }
    };
};

error violation(std::string reason)
{
    return {error_code::corrupt, "response", std::move(reason)};
}

} // namespace

struct response_check::chunked_body {
    chunked_body()
    {
        this->parser.eager(true);
        this->parser.body_limit(boost::none);
        this->parser.header_limit(max_incomplete_bytes);
    }

    result<void> add(std::string_view received)
    {
        if (this->parser.is_done()) {
            return success();
        }
        if (this->pending.size() + received.size() > this->pending.max_size()) {
            return violation("incomplete chunk header or trailers");
        }
        this->pending.commit(
            asio::buffer_copy(this->pending.prepare(received.size()), asio::buffer(received)));
        boost::system::error_code ec;
        while (this->pending.size() > 0 && !this->parser.is_done() && !ec) {
            this->pending.consume(this->parser.put(this->pending.data(), ec));
        }
        if (ec && ec != http::error::need_more) {
            return violation(ec.message());
        }
        return success();
    }

    http::response_parser<discarded_body> parser;
    beast::flat_buffer pending{max_incomplete_bytes};
};

response_check::response_check() = default;
response_check::~response_check() = default;

void response_check::begin()
{
    this->in_head = true;
    this->head.clear();
    this->chunks.reset();
}

result<void> response_check::add(std::string_view received)
{
    if (this->in_head) {
        return this->add_to_head(received);
    }
    return this->chunks ? this->chunks->add(received) : success();
}

result<void> response_check::add_to_head(std::string_view received)
{
    this->head += received;
    while (this->in_head) {
        const head_scan scanned = scan_response_head(this->head);
        if (scanned.defect) {
            return violation(std::string(name_of(head_defect_names, *scanned.defect)));
        }
        if (scanned.size == 0) {
            return success();
        }
        if (is_interim_status(scanned.status)) {
            this->head.erase(0, scanned.size);
            continue;
        }
        this->in_head = false;
        if (scanned.chunked) {
            this->chunks = std::make_unique<chunked_body>();
            BOOST_OUTCOME_TRYV(this->chunks->add(this->head));
        }
        std::string().swap(this->head);
    }
    return success();
}

} // namespace pomeloloft
