// The HTTP codec on byte buffers: framing, limits, pipelining, complete and incomplete messages.
#include <catch2/catch.hpp>

#include "io/http_message.h"

namespace ebonymount {
namespace {

HttpLimits small_limits() {
    return {200, 50};
}

}  // namespace

TEST_CASE("a request is parsed whole wherever its bytes are split") {
    const std::string bytes =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        HttpRequestReader reader(HttpLimits{});
        std::string buffer = bytes.substr(0, cut);
        const ReadState state = reader.consume(buffer);
        CHECK((state == ReadState::complete) == (cut == bytes.size()));
        buffer += bytes.substr(cut);
        if (state != ReadState::complete) {
            REQUIRE(reader.consume(buffer) == ReadState::complete);
        }
        const HttpRequestMessage request = reader.take();
        CHECK(request.method == "POST");
        CHECK(request.target == "/a?b=c");
        CHECK(request.body == "hello");
        CHECK(find_header(request.headers, "x-a") == "1");
        CHECK(buffer.empty());
    }
}

TEST_CASE("a chunked body is reassembled") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body == "abcde");
}

// Guards against trailers that are taken for headers: a signature, or a declaration that the
// request has not run, which the header did not have.
TEST_CASE("trailers of a chunked message are dropped") {
    const std::string chunks = "Transfer-Encoding: chunked\r\nA: 1\r\n\r\n2\r\nok\r\n0\r\n";
    const std::string trailers = "A: 2\r\nB: 3\r\n\r\n";
    HttpResponseReader response_reader(HttpLimits{});
    std::string bytes = "HTTP/1.1 200 OK\r\n" + chunks + trailers;
    REQUIRE(response_reader.consume(bytes) == ReadState::complete);
    const HttpResponseMessage response = response_reader.take();
    CHECK(response.headers == HttpHeaders{{"Transfer-Encoding", "chunked"}, {"A", "1"}});
    CHECK(response.body == "ok");
    HttpRequestReader request_reader(HttpLimits{});
    bytes = "POST / HTTP/1.1\r\n" + chunks + trailers;
    REQUIRE(request_reader.consume(bytes) == ReadState::complete);
    CHECK(find_header(request_reader.take().headers, "B").empty());
}

TEST_CASE("pipelined requests stay in the buffer") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().target == "/1");
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().target == "/2");
    CHECK(reader.consume(buffer) == ReadState::nothing);
}

TEST_CASE("conflicting framings in one request are malformed, which prevents request smuggling") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer =
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    CHECK(reader.consume(buffer) == ReadState::malformed);
    HttpRequestReader duplicate_lengths(HttpLimits{});
    std::string two_lengths =
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde";
    CHECK(duplicate_lengths.consume(two_lengths) == ReadState::malformed);
}

TEST_CASE("header and body limits are enforced") {
    HttpRequestReader header(small_limits());
    std::string long_header = "GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n";
    CHECK(header.consume(long_header) == ReadState::header_too_long);
    HttpRequestReader body(small_limits());
    std::string long_body = "POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n";
    CHECK(body.consume(long_body) == ReadState::body_too_long);
}

TEST_CASE("a response without a length is complete at the end of the stream") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\npart";
    CHECK(reader.consume(buffer) == ReadState::body);
    CHECK(reader.end_of_stream() == ReadState::complete);
    const HttpResponseMessage response = reader.take();
    CHECK(response.body == "part");
    CHECK_FALSE(response.keep_alive);
}

TEST_CASE("a response that ends before its length is malformed") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    CHECK(reader.consume(buffer) == ReadState::body);
    CHECK(reader.end_of_stream() == ReadState::malformed);
}

TEST_CASE("an interim response is skipped") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body == "ok");
}

TEST_CASE("a response to HEAD has no body, whatever its Content-Length") {
    HttpResponseReader reader(HttpLimits{});
    reader.expect_no_body();
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body.empty());
}

TEST_CASE("bytes that are not an HTTP response are malformed") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "\x16\x03\x01garbage\r\n\r\n";
    CHECK(reader.consume(buffer) == ReadState::malformed);
}

TEST_CASE("encoded messages are decoded to the same values") {
    const HttpRequestMessage request{"PUT", "/x?y", {{"Host", "h"}, {"A", "1"}}, "body", true};
    HttpRequestReader request_reader(HttpLimits{});
    std::string bytes = encode(request);
    REQUIRE(request_reader.consume(bytes) == ReadState::complete);
    const HttpRequestMessage decoded_request = request_reader.take();
    CHECK(decoded_request.method == "PUT");
    CHECK(decoded_request.target == "/x?y");
    CHECK(decoded_request.body == "body");
    HttpResponseMessage response;
    response.status = 503;
    response.headers = {{"Retry-After", "0.250"}};
    response.keep_alive = false;
    HttpResponseReader response_reader(HttpLimits{});
    bytes = encode(response, false);
    REQUIRE(response_reader.consume(bytes) == ReadState::complete);
    const HttpResponseMessage decoded_response = response_reader.take();
    CHECK(decoded_response.status == 503);
    CHECK(find_header(decoded_response.headers, "retry-after") == "0.250");
    CHECK_FALSE(decoded_response.keep_alive);
}

// Guards against a limit of the encoder that the parser does not have: a field that was read and is
// passed on must not end the process.
TEST_CASE("a field that can be read can be encoded, whatever its length") {
    const HttpLimits limits{1 << 20, 100};
    for (const std::size_t length : {65532U, 65533U, 65534U, 65535U, 65536U, 390000U}) {
        INFO(length);
        const std::string value(length, 'v');
        const HttpHeaders headers = {{"Host", "h"}, {"Long", value}, {value, "short"}};
        HttpRequestReader request_reader(limits);
        std::string bytes = encode(HttpRequestMessage{"GET", "/" + value, headers, "", true});
        REQUIRE(request_reader.consume(bytes) == ReadState::complete);
        const HttpRequestMessage request = request_reader.take();
        CHECK(request.target == "/" + value);
        CHECK(request.headers == headers);
        HttpResponseReader response_reader(limits);
        bytes = encode(HttpResponseMessage{200, headers, "ok", true}, false);
        REQUIRE(response_reader.consume(bytes) == ReadState::complete);
        const HttpResponseMessage response = response_reader.take();
        CHECK(find_header(response.headers, "Long") == value);
        CHECK(find_header(response.headers, value) == "short");
        CHECK(response.body == "ok");
    }
}

TEST_CASE("the framing headers of an encoded message are its own") {
    const HttpHeaders headers = {
        {"connection", "keep-alive"}, {"Content-Length", "9"}, {"Transfer-Encoding", "chunked"}};
    CHECK(encode(HttpRequestMessage{"POST", "/", headers, "ab", false}) ==
          "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab");
    CHECK(encode(HttpResponseMessage{200, headers, "ab", true}, false) ==
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
}

TEST_CASE("tokens of a list header are found regardless of case") {
    CHECK(lists_token("keep-alive, X-Secret", "x-secret"));
    CHECK_FALSE(lists_token("keep-alive, X-Secrets", "x-secret"));
    CHECK_FALSE(lists_token("", "x"));
}

}  // namespace ebonymount
