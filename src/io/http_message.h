// HTTP/1.1 messages and their codec, built on Boost.Beast's parser without its sockets.
//
// The codec works on byte buffers, so servers and clients on any transport share it, and tests
// need no network. Bodies are buffered whole: a message is only delivered when it is complete.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebonymount {

struct HttpHeader {
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// Headers in the order of the message; a name may occur more than once. The trailers of a chunked
/// message are dropped.
using HttpHeaders = std::vector<HttpHeader>;

/// Compares header names, ignoring case.
bool is_same_header(std::string_view left, std::string_view right);

/// Value of the first header of that name; empty if there is none.
std::string_view find_header(const HttpHeaders& headers, std::string_view name);

/// True when a comma-separated header value contains the token, ignoring case.
bool lists_token(std::string_view value, std::string_view token);

struct HttpRequestMessage {
    std::string method;
    /// Path and query as sent.
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// False when the sender closes the connection after this message.
    bool keep_alive = true;

    friend bool operator==(const HttpRequestMessage&, const HttpRequestMessage&) = default;
};

struct HttpResponseMessage {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool keep_alive = true;

    friend bool operator==(const HttpResponseMessage&, const HttpResponseMessage&) = default;
};

/// Encodes a message with fields of any length; the framing headers are not taken from the message.
/// A response, and a request that has a body or another method than GET or HEAD,
/// gets a `Content-Length`; `without_body` omits the body, for the response to a HEAD request.
std::string encode(const HttpRequestMessage& request);
std::string encode(const HttpResponseMessage& response, bool without_body);

/// Encodes a message up to and with the empty line before its body, which has the given length.
std::string encode_head(const HttpRequestMessage& request, std::size_t body_bytes);
std::string encode_head(const HttpResponseMessage& response, std::size_t body_bytes);

/// Memory that a message takes, with the strings of its headers.
std::size_t memory_of(const HttpRequestMessage& message);
std::size_t memory_of(const HttpResponseMessage& message);

/// Limits of the messages that a reader accepts.
struct HttpLimits {
    std::size_t max_header_bytes = 65536;
    std::size_t max_body_bytes = 16777216;

    friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

/// Progress of a reader within a message.
enum class ReadState : std::uint8_t {
    nothing,   ///< No byte of a message has arrived.
    header,    ///< The header is incomplete.
    body,      ///< The header is complete, the body is not.
    complete,  ///< The message is complete; `take` returns it.
    header_too_long,
    body_too_long,
    malformed,
};

/// Parses requests from a byte stream, one after the other.
class HttpRequestReader {
public:
    explicit HttpRequestReader(const HttpLimits& limits);
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader&) = delete;
    HttpRequestReader& operator=(const HttpRequestReader&) = delete;
    HttpRequestReader(HttpRequestReader&&) = delete;
    HttpRequestReader& operator=(HttpRequestReader&&) = delete;

    /// Consumes bytes from the front of `buffer`; bytes of the next message stay in it.
    ReadState consume(std::string& buffer);

    /// True when the header is complete with `Expect: 100-continue` and the body is not.
    bool expects_continue() const;

    /// Returns the complete message and resets the reader for the next one.
    HttpRequestMessage take();

    /// Drops what was read of the message and resets the reader.
    void discard();

    /// Sets the limits on messages that have not begun.
    void set_limits(const HttpLimits& limits);

    /// Memory that the part of the message that was read takes.
    std::size_t memory() const;

private:
    class Parser;
    HttpLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

/// Parses responses from a byte stream, one after the other. Interim (1xx) responses are skipped. A
/// response whose status is not between 100 and 599 is malformed.
class HttpResponseReader {
public:
    explicit HttpResponseReader(const HttpLimits& limits);
    ~HttpResponseReader();
    HttpResponseReader(const HttpResponseReader&) = delete;
    HttpResponseReader& operator=(const HttpResponseReader&) = delete;
    HttpResponseReader(HttpResponseReader&&) = delete;
    HttpResponseReader& operator=(HttpResponseReader&&) = delete;

    /// Limits the next response, which must not have begun.
    void set_limits(const HttpLimits& limits);

    /// Declares that the next response is to a HEAD request and has no body.
    void expect_no_body();

    /// As `HttpRequestReader::consume`.
    ReadState consume(std::string& buffer);

    /// Handles the end of the stream, which completes a response without a length.
    ReadState end_of_stream();

    HttpResponseMessage take();

    /// As `HttpRequestReader::memory`.
    std::size_t memory() const;

private:
    class Parser;
    void restart();
    /// Consumes one response, interim or final.
    ReadState consume_one(std::string& buffer);

    HttpLimits m_limits;
    bool m_no_body = false;
    std::int64_t m_interim_responses = 0;
    std::unique_ptr<Parser> m_parser;
};

}  // namespace ebonymount
