// HTTP/1.1 messages and their codec, on Boost.Beast's parser and serializer without its sockets.
//
// The codec works on byte buffers, so servers and clients on any transport share it, and tests
// need no network. Bodies are held whole: nothing is passed on before it is complete.
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

/// Headers in the order of the wire; a name may stand more than once.
using HttpHeaders = std::vector<HttpHeader>;

/// Compares names of headers without regard to case.
bool is_same_header(std::string_view left, std::string_view right);

/// Value of the first header of that name; empty without one.
std::string_view find_header(const HttpHeaders& headers, std::string_view name);

/// True when a comma-separated header value holds the token, in any case.
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

/// Bytes of a message, with a length. An answer to a HEAD request has no body.
std::string encode(const HttpRequestMessage& request);
std::string encode(const HttpResponseMessage& answer, bool without_body);

/// Limits of what a reader takes.
struct HttpLimits {
    std::size_t max_header_bytes = 65536;
    std::size_t max_body_bytes = 16777216;
};

/// How far a reader has come.
enum class ReadState : std::uint8_t {
    nothing,   ///< No byte of a message has come.
    header,    ///< Within the header.
    body,      ///< The header is complete, the body is not.
    complete,  ///< A message can be taken.
    header_too_long,
    body_too_long,
    malformed,
};

/// Reads requests from a stream of bytes, one after the other.
class HttpRequestReader {
public:
    explicit HttpRequestReader(const HttpLimits& limits);
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader&) = delete;
    HttpRequestReader& operator=(const HttpRequestReader&) = delete;
    HttpRequestReader(HttpRequestReader&&) = delete;
    HttpRequestReader& operator=(HttpRequestReader&&) = delete;

    /// Takes bytes from the front of `buffer`; bytes of the next message stay in it.
    ReadState consume(std::string& buffer);

    /// True when the header is complete and asks to be told to go on with the body.
    bool expects_continue() const;

    /// The complete message; the reader starts anew.
    HttpRequestMessage take();

private:
    class Parser;
    HttpLimits m_limits;
    std::unique_ptr<Parser> m_parser;
};

/// Reads answers from a stream of bytes, one after the other.
class HttpResponseReader {
public:
    explicit HttpResponseReader(const HttpLimits& limits);
    ~HttpResponseReader();
    HttpResponseReader(const HttpResponseReader&) = delete;
    HttpResponseReader& operator=(const HttpResponseReader&) = delete;
    HttpResponseReader(HttpResponseReader&&) = delete;
    HttpResponseReader& operator=(HttpResponseReader&&) = delete;

    /// The next answer is to a HEAD request and has no body.
    void expect_no_body();

    ReadState consume(std::string& buffer);

    /// The stream has ended in order. Completes an answer that has no length.
    ReadState end_of_stream();

    HttpResponseMessage take();

private:
    class Parser;
    void restart();

    HttpLimits m_limits;
    bool m_no_body = false;
    std::unique_ptr<Parser> m_parser;
};

}  // namespace ebonymount
