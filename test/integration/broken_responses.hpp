#pragma once

#include <cstddef>
#include <string>

#include "test/named_row.hpp"

namespace pomeloloft::testing {

/// A response of a target. `{id}` stands for the id of the request.
struct response_row : named_row {
    std::string bytes;
};

inline const std::string ok_line = "HTTP/1.1 200 OK\r\n";
inline const std::string fields = "X-Request-Id: {id}\r\nX-Response-Signature: signed\r\n";
inline const std::string length = "Content-Length: 4\r\n";

inline const response_row broken_rows[] = {
    {"status 000", "HTTP/1.1 000 None\r\n" + fields + length + "\r\nbody"},
    {"status 099", "HTTP/1.1 099 None\r\n" + fields + length + "\r\nbody"},
    {"status 999", "HTTP/1.1 999 None\r\n" + fields + length + "\r\nbody"},
    {"blank within a field name", ok_line + fields + "X Name: value\r\n" + length + "\r\nbody"},
    {"blank at the start of a field name", ok_line + fields + " X-Name: value\r\n" + length + "\r\nbody"},
    {"blank before the length", ok_line + fields + " Content-Length: 4\r\n\r\nbody"},
    {"blank after the length", ok_line + fields + "Content-Length : 4\r\n\r\nbody"},
    {"control byte in a field name", ok_line + fields + "X-\x01Name: value\r\n" + length + "\r\nbody"},
    {"control byte in a field value", ok_line + fields + "X-Name: va\x01lue\r\n" + length + "\r\nbody"},
    {"two transfer codings",
     ok_line + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
    {"two lengths", ok_line + fields + length + "Content-Length: 2\r\n\r\nbody"},
};

inline const std::string chunked = ok_line + fields + "Transfer-Encoding: chunked\r\n\r\n";

/// Bodies that violate the chunked coding; the connection stays open.
inline const response_row broken_body_rows[] = {
    {"no size of a chunk", chunked + "\r\nbody\r\n0\r\n\r\n"},
    {"letters as the size of a chunk", chunked + "zz\r\nbody\r\n0\r\n\r\n"},
    {"negative size of a chunk", chunked + "-4\r\nbody\r\n0\r\n\r\n"},
    {"prefix in the size of a chunk", chunked + "0x4\r\nbody\r\n0\r\n\r\n"},
    {"bytes behind the size of a chunk", chunked + "4body\r\nbody\r\n0\r\n\r\n"},
    {"blank before the size of a chunk", chunked + " 4\r\nbody\r\n0\r\n\r\n"},
    {"no end of a chunk", chunked + "4\r\nbodyXX0\r\n\r\n"},
    {"invalid second chunk", chunked + "4\r\nbody\r\nzz\r\nmore\r\n0\r\n\r\n"},
    {"size beyond 64 bits", chunked + "10000000000000004\r\nbody\r\n0\r\n\r\n"},
    {"no last chunk", chunked + "4\r\nbody\r\n\r\n"},
    {"bytes behind the last chunk", chunked + "4\r\nbody\r\n0\r\nX Y: z\r\n\r\n"},
};

/// Valid responses that name fields for the receiver as fields of the connection.
inline const response_row listed_field_rows[] = {
    {"the id", ok_line + fields + "Connection: X-Request-Id\r\n" + length + "\r\nbody"},
    {"the signature", ok_line + fields + "Connection: X-Response-Signature\r\n" + length + "\r\nbody"},
    {"the length", ok_line + fields + "Connection: Content-Length\r\n" + length + "\r\nbody"},
    {"several, in another case", ok_line + fields +
                                     "Connection: keep-alive, x-request-id, X-RESPONSE-SIGNATURE\r\n" +
                                     length + "\r\nbody"},
};

/// A response that does not end.
struct endless_row : named_row {
    std::string bytes;
    std::string repeated;
};

inline const endless_row endless_rows[] = {
    {"bytes that are no response", "", "garbage "},
    {"header value", ok_line + fields + "X-Long: ", "value"},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"body without a length", ok_line + fields + "\r\n", "body"},
    {"chunks", chunked, "4\r\nbody\r\n"},
    {"chunk extension", chunked + "4;name=", "value"},
    {"trailers", chunked + "0\r\n", "X-More: value\r\n"},
    {"bytes behind a complete response", ok_line + fields + length + "\r\nbody", "more"},
};

/// The beginnings of responses to an upload.
inline const response_row cut_rows[] = {
    {"200 without a length", ok_line + fields + "\r\npart"},
    {"500 without a length", "HTTP/1.1 500 Failed\r\n" + fields + "\r\npart"},
    {"200 with a length", ok_line + fields + "Content-Length: 50\r\n\r\npart"},
};

/// Size of an upload: more than the buffers of a connection hold, so that the target responds while the body
/// is being written.
inline constexpr std::size_t upload_bytes = 8U << 20U;

} // namespace pomeloloft::testing
