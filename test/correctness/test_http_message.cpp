// The HTTP codec on byte buffers: framing, limits, pipelines, what is complete and what is not.
#include <catch2/catch.hpp>

#include "io/http_message.h"

namespace ebonymount {
namespace {

HttpLimits small() {
    return {200, 50};
}

}  // namespace

TEST_CASE("a request comes whole however its bytes are cut") {
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

TEST_CASE("a body in chunks is put together") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body == "abcde");
}

TEST_CASE("requests that were sent ahead stay in the buffer") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().target == "/1");
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().target == "/2");
    CHECK(reader.consume(buffer) == ReadState::nothing);
}

TEST_CASE("two framings in one request are malformed, so nothing can be smuggled") {
    HttpRequestReader reader(HttpLimits{});
    std::string buffer =
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    CHECK(reader.consume(buffer) == ReadState::malformed);
    HttpRequestReader lengths(HttpLimits{});
    std::string twice = "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde";
    CHECK(lengths.consume(twice) == ReadState::malformed);
}

TEST_CASE("limits of header and body hold") {
    HttpRequestReader header(small());
    std::string long_header = "GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n";
    CHECK(header.consume(long_header) == ReadState::header_too_long);
    HttpRequestReader body(small());
    std::string long_body = "POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n";
    CHECK(body.consume(long_body) == ReadState::body_too_long);
}

TEST_CASE("an answer without a length is complete when its stream ends in order") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\npart";
    CHECK(reader.consume(buffer) == ReadState::body);
    CHECK(reader.end_of_stream() == ReadState::complete);
    const HttpResponseMessage answer = reader.take();
    CHECK(answer.body == "part");
    CHECK_FALSE(answer.keep_alive);
}

TEST_CASE("an answer that ends before its length is not complete") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    CHECK(reader.consume(buffer) == ReadState::body);
    CHECK(reader.end_of_stream() == ReadState::malformed);
}

TEST_CASE("an interim answer is passed over") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body == "ok");
}

TEST_CASE("an answer to HEAD has no body, whatever its length says") {
    HttpResponseReader reader(HttpLimits{});
    reader.expect_no_body();
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    REQUIRE(reader.consume(buffer) == ReadState::complete);
    CHECK(reader.take().body.empty());
}

TEST_CASE("bytes that are no answer are malformed") {
    HttpResponseReader reader(HttpLimits{});
    std::string buffer = "\x16\x03\x01garbage\r\n\r\n";
    CHECK(reader.consume(buffer) == ReadState::malformed);
}

TEST_CASE("what is encoded is read back") {
    const HttpRequestMessage request{"PUT", "/x?y", {{"Host", "h"}, {"A", "1"}}, "body", true};
    HttpRequestReader requests(HttpLimits{});
    std::string bytes = encode(request);
    REQUIRE(requests.consume(bytes) == ReadState::complete);
    const HttpRequestMessage read = requests.take();
    CHECK(read.method == "PUT");
    CHECK(read.target == "/x?y");
    CHECK(read.body == "body");
    HttpResponseMessage answer;
    answer.status = 503;
    answer.headers = {{"Retry-After", "0.250"}};
    answer.keep_alive = false;
    HttpResponseReader answers(HttpLimits{});
    bytes = encode(answer, false);
    REQUIRE(answers.consume(bytes) == ReadState::complete);
    const HttpResponseMessage back = answers.take();
    CHECK(back.status == 503);
    CHECK(find_header(back.headers, "retry-after") == "0.250");
    CHECK_FALSE(back.keep_alive);
}

TEST_CASE("tokens of a list header are found in any case") {
    CHECK(lists_token("keep-alive, X-Secret", "x-secret"));
    CHECK_FALSE(lists_token("keep-alive, X-Secrets", "x-secret"));
    CHECK_FALSE(lists_token("", "x"));
}

}  // namespace ebonymount
