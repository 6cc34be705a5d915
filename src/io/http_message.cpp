#include "io/http_message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>
#include <optional>

#include "io/http_status.h"

namespace ebonymount {
namespace {

/// Interim responses before a final one; a peer that sends more never ends.
constexpr std::int64_t MAX_INTERIM_RESPONSES = 16;

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::string_view LINE_END = "\r\n";

beast::string_view view(std::string_view text) {
    return {text.data(), text.size()};
}

std::string text(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Memory that a string takes outside of the string object.
std::size_t heap_memory(const std::string& text) {
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

std::size_t heap_memory(const HttpHeader& header) {
    return heap_memory(header.name) + heap_memory(header.value);
}

template <typename Message>
std::size_t memory_of_message(const Message& message) {
    std::size_t bytes = heap_memory(message.body) + message.headers.capacity() * sizeof(HttpHeader);
    for (const HttpHeader& header : message.headers) {
        bytes += heap_memory(header);
    }
    return bytes;
}

/// Collects the output of Beast's parser in `Message`, a request or a response.
template <bool is_request, typename Message>
class MessageParser : public beast_http::basic_parser<is_request> {
public:
    using Base = beast_http::basic_parser<is_request>;

    explicit MessageParser(const HttpLimits& limits)
        : m_max_unparsed_bytes(limits.max_header_bytes) {
        const std::size_t max_limit = std::numeric_limits<std::uint32_t>::max();
        this->eager(true);
        this->header_limit(
            static_cast<std::uint32_t>(std::min(limits.max_header_bytes, max_limit)));
        this->body_limit(limits.max_body_bytes);
    }

    ReadState consume(std::string& buffer) {
        std::size_t used = 0;
        beast::error_code error;
        while (!this->is_done() && used < buffer.size()) {
            used += this->put(boost::asio::const_buffer(buffer.data() + used, buffer.size() - used),
                              error);
            if (error) {
                break;
            }
        }
        buffer.erase(0, used);
        const ReadState state = state_after(error);
        // Beast bounds the header and the body, but waits for the end of a chunk header or trailer
        // of any length.
        const bool is_open = state == ReadState::body || state == ReadState::header;
        return is_open && buffer.size() > m_max_unparsed_bytes ? ReadState::malformed : state;
    }

    ReadState finish() {
        beast::error_code error;
        if (this->got_some()) {
            this->put_eof(error);
        }
        return state_after(error);
    }

    Message take() {
        message.keep_alive = this->keep_alive();
        return std::move(message);
    }

    bool has_begun() const {
        return this->got_some();
    }

    std::size_t memory() const {
        return m_header_text_memory + message.headers.capacity() * sizeof(HttpHeader) +
               heap_memory(message.body);
    }

    Message message;

private:
    /// Appends to the body without growing it beyond the length that the header states.
    void append_to_body(beast::string_view bytes) {
        const std::size_t size = message.body.size() + bytes.size();
        if (size > message.body.capacity() && m_body_length >= size) {
            message.body.reserve(std::min(m_body_length, 2 * size));
        }
        message.body.append(bytes.data(), bytes.size());
    }

    std::size_t m_max_unparsed_bytes;
    /// Memory of the texts of `message.headers`.
    std::size_t m_header_text_memory = 0;
    /// Length of the body if the header states one, otherwise 0.
    std::size_t m_body_length = 0;

    ReadState state_after(const beast::error_code& error) const {
        if (!error || error == beast_http::error::need_more) {
            if (this->is_done()) {
                return ReadState::complete;
            }
            if (this->is_header_done()) {
                return ReadState::body;
            }
            return this->got_some() ? ReadState::header : ReadState::nothing;
        }
        if (error == beast_http::error::header_limit) {
            return ReadState::header_too_long;
        }
        return error == beast_http::error::body_limit ? ReadState::body_too_long
                                                      : ReadState::malformed;
    }

    void on_request_impl(beast_http::verb /*verb*/, beast::string_view method,
                         beast::string_view target, int /*version*/,
                         beast::error_code& /*error*/) override {
        if constexpr (is_request) {
            message.method = text(method);
            message.target = text(target);
        }
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int /*version*/,
                          beast::error_code& /*error*/) override {
        if constexpr (!is_request) {
            message.status = code;
        }
    }

    void on_field_impl(beast_http::field /*field*/, beast::string_view name,
                       beast::string_view value, beast::error_code& /*error*/) override {
        if (this->is_header_done()) {
            // A trailer must not be taken for a header: it comes after the message was framed.
            return;
        }
        message.headers.push_back({text(name), text(value)});
        m_header_text_memory += heap_memory(message.headers.back());
    }

    void on_header_impl(beast::error_code& /*error*/) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           beast::error_code& /*error*/) override {
        m_body_length = static_cast<std::size_t>(length.value_or(0));
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code& /*error*/) override {
        append_to_body(body);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code& /*error*/) override {}

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, beast::string_view body,
                                   beast::error_code& /*error*/) override {
        append_to_body(body);
        return body.size();
    }

    void on_finish_impl(beast::error_code& /*error*/) override {}
};

/// Headers that say how a message is framed; `encode_head` writes them itself.
bool is_framing(const HttpHeader& header) {
    return is_same_header(header.name, "Connection") ||
           is_same_header(header.name, "Content-Length") ||
           is_same_header(header.name, "Transfer-Encoding");
}

void append_header(std::string& head, std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append(LINE_END);
}

/// Appends the headers, those of the framing and the empty line. Beast's parser accepts fields that
/// are too long for its container of fields, so they are written without one.
void append_headers(std::string& head, const HttpHeaders& headers, bool keep_alive,
                    std::optional<std::size_t> body_bytes) {
    for (const HttpHeader& header : headers) {
        if (!is_framing(header)) {
            append_header(head, header.name, header.value);
        }
    }
    if (!keep_alive) {
        append_header(head, "Connection", "close");
    }
    if (body_bytes.has_value()) {
        append_header(head, "Content-Length", std::to_string(*body_bytes));
    }
    head.append(LINE_END);
}

}  // namespace

bool is_same_header(std::string_view left, std::string_view right) {
    return beast::iequals(view(left), view(right));
}

std::string_view find_header(const HttpHeaders& headers, std::string_view name) {
    for (const HttpHeader& header : headers) {
        if (is_same_header(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

bool lists_token(std::string_view value, std::string_view token) {
    std::size_t start = 0;
    while (start < value.size()) {
        const std::size_t end = std::min(value.find(',', start), value.size());
        std::string_view item = value.substr(start, end - start);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (is_same_header(item, token)) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

std::string encode_head(const HttpRequestMessage& request, std::size_t body_bytes) {
    std::string head;
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1");
    head.append(LINE_END);
    const bool has_length = body_bytes > 0 || (request.method != "GET" && request.method != "HEAD");
    append_headers(head, request.headers, request.keep_alive,
                   has_length ? std::optional(body_bytes) : std::nullopt);
    return head;
}

std::string encode_head(const HttpResponseMessage& response, std::size_t body_bytes) {
    const beast_http::status status =
        beast_http::int_to_status(static_cast<unsigned>(response.status));
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head.append(text(beast_http::obsolete_reason(status))).append(LINE_END);
    append_headers(head, response.headers, response.keep_alive, body_bytes);
    return head;
}

std::string encode(const HttpRequestMessage& request) {
    return encode_head(request, request.body.size()) + request.body;
}

std::string encode(const HttpResponseMessage& response, bool without_body) {
    std::string bytes = encode_head(response, response.body.size());
    if (!without_body) {
        bytes += response.body;
    }
    return bytes;
}

std::size_t memory_of(const HttpRequestMessage& message) {
    return memory_of_message(message) + heap_memory(message.target);
}

std::size_t memory_of(const HttpResponseMessage& message) {
    return memory_of_message(message);
}

class HttpRequestReader::Parser : public MessageParser<true, HttpRequestMessage> {
public:
    using MessageParser::MessageParser;
};

class HttpResponseReader::Parser : public MessageParser<false, HttpResponseMessage> {
public:
    using MessageParser::MessageParser;
};

HttpRequestReader::HttpRequestReader(const HttpLimits& limits)
    : m_limits(limits), m_parser(std::make_unique<Parser>(limits)) {}

HttpRequestReader::~HttpRequestReader() = default;

ReadState HttpRequestReader::consume(std::string& buffer) {
    return m_parser->consume(buffer);
}

bool HttpRequestReader::expects_continue() const {
    return m_parser->is_header_done() && !m_parser->is_done() &&
           is_same_header(find_header(m_parser->message.headers, "Expect"), "100-continue");
}

void HttpRequestReader::discard() {
    m_parser = std::make_unique<Parser>(m_limits);
}

void HttpRequestReader::set_limits(const HttpLimits& limits) {
    m_limits = limits;
    if (!m_parser->has_begun()) {
        discard();
    }
}

std::size_t HttpRequestReader::memory() const {
    return m_parser->memory();
}

HttpRequestMessage HttpRequestReader::take() {
    HttpRequestMessage message = m_parser->take();
    m_parser = std::make_unique<Parser>(m_limits);
    return message;
}

HttpResponseReader::HttpResponseReader(const HttpLimits& limits) : m_limits(limits) {
    restart();
}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::restart() {
    m_parser = std::make_unique<Parser>(m_limits);
    m_parser->skip(m_no_body);
}

void HttpResponseReader::set_limits(const HttpLimits& limits) {
    if (m_limits != limits) {
        m_limits = limits;
        restart();
    }
}

void HttpResponseReader::expect_no_body() {
    m_no_body = true;
    restart();
}

ReadState HttpResponseReader::consume(std::string& buffer) {
    ReadState state = consume_one(buffer);
    // Interim (1xx) responses are skipped; the final response follows.
    while (state == ReadState::complete && m_parser->message.status < http::OK) {
        if (++m_interim_responses > MAX_INTERIM_RESPONSES) {
            return ReadState::malformed;
        }
        restart();
        state = consume_one(buffer);
    }
    return state;
}

ReadState HttpResponseReader::consume_one(std::string& buffer) {
    const ReadState state = m_parser->consume(buffer);
    const int status = m_parser->message.status;
    const bool has_status = m_parser->is_header_done();
    return has_status && (status < http::CONTINUE || status > http::LAST_STATUS)
               ? ReadState::malformed
               : state;
}

ReadState HttpResponseReader::end_of_stream() {
    return m_parser->finish();
}

std::size_t HttpResponseReader::memory() const {
    return m_parser->memory();
}

HttpResponseMessage HttpResponseReader::take() {
    HttpResponseMessage message = m_parser->take();
    m_no_body = false;
    m_interim_responses = 0;
    restart();
    return message;
}

}  // namespace ebonymount
