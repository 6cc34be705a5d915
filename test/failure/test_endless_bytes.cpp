// Peers that send bytes that are no message and never end, in each part of a message. The
// connection must end by the limits on messages, with bounded memory; no check depends on elapsed
// time.
#include <catch2/catch.hpp>

#include "raw_peer.h"

namespace ebonymount {
namespace {

constexpr std::size_t MAX_BODY_BYTES = 1 << 20;

/// More bytes than any limit lets a peer send. A test that reaches it fails.
constexpr std::size_t ENDLESS = 64 << 20;

struct EndlessCase {
    const char* part;
    std::string begin;
    std::string repeated;
};

std::string repeat(const std::string& text, std::size_t bytes) {
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

/// Sends `block` again and again until the peer has closed the connection.
void send_endlessly(EventLoop& loop, const std::shared_ptr<RawPeer>& peer,
                    const std::shared_ptr<const std::string>& block,
                    const std::shared_ptr<std::size_t>& sent) {
    if (peer->ended || *sent >= ENDLESS) {
        return;
    }
    peer->send(*block);
    *sent += block->size();
    loop.run_at(monotonic_now() + from_ms(1),
                [&loop, peer, block, sent] { send_endlessly(loop, peer, block, sent); });
}

const std::string CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string CHUNKED_REQUEST =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("a target's bytes without end break off the call in each part of a response") {
    const std::vector<EndlessCase> cases = {
        {"status line", "HTTP/1.1 200 ", "x"},
        {"no status line", "", "x"},
        {"header name", "HTTP/1.1 200 OK\r\n", "x"},
        {"header value", "HTTP/1.1 200 OK\r\nA: ", "x"},
        {"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
        {"chunk size", CHUNKED, "0"},
        {"chunk extension", CHUNKED + "5;a=", "x"},
        {"chunks", CHUNKED, "5\r\nhello\r\n"},
        {"trailer", CHUNKED + "0\r\n", "A: b\r\n"},
        {"trailer value", CHUNKED + "0\r\nA: ", "b"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"responses of other calls", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
    };
    for (const EndlessCase& endless : cases) {
        INFO(endless.part);
        const std::shared_ptr<const std::string> block =
            std::make_shared<std::string>(repeat(endless.repeated, 65536));
        const std::shared_ptr<std::size_t> sent = std::make_shared<std::size_t>(0);
        const ChannelRun run = call(
            [&](RawPeer& peer) {
                peer.send(endless.begin);
                send_endlessly(peer.loop(), peer.shared_from_this(), block, sent);
            },
            MAX_BODY_BYTES);
        CHECK(run.status == CallStatus::malformed);
        CHECK_FALSE(run.reusable);
        CHECK(*sent < ENDLESS);
    }
}

TEST_CASE("a caller's bytes without end close its connection in each part of a request") {
    const std::vector<EndlessCase> cases = {
        {"request line", "GET /", "x"},
        {"header value", "GET / HTTP/1.1\r\nA: ", "x"},
        {"headers", "GET / HTTP/1.1\r\n", "A: b\r\n"},
        {"body with a length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
         "x"},
        {"chunk size", CHUNKED_REQUEST, "0"},
        {"chunk extension", CHUNKED_REQUEST + "5;a=", "x"},
        {"chunks", CHUNKED_REQUEST, "5\r\nhello\r\n"},
        {"trailer", CHUNKED_REQUEST + "0\r\n", "A: b\r\n"},
        {"empty lines", "", "\r\n"},
    };
    for (const EndlessCase& endless : cases) {
        INFO(endless.part);
        Harness harness;
        HttpListenerOptions options;
        options.limits.max_body_bytes = MAX_BODY_BYTES;
        std::size_t served = 0;
        const std::shared_ptr<HttpListener> listener = harness.listen(
            options, [&served](const std::shared_ptr<HttpServerConnection>& connection,
                               const HttpRequestMessage&) {
                ++served;
                connection->respond(HttpResponseMessage{200, {}, "", true});
            });
        const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
        caller->on_bytes = [&harness, &caller] {
            if (caller->ended) {
                harness.loop.stop();
            }
        };
        const std::shared_ptr<const std::string> block =
            std::make_shared<std::string>(repeat(endless.repeated, 65536));
        const std::shared_ptr<std::size_t> sent = std::make_shared<std::size_t>(0);
        caller->send(endless.begin);
        send_endlessly(harness.loop, caller, block, sent);
        harness.loop.run();
        CHECK_FALSE(harness.hung);
        CHECK(served == 0);
        CHECK(*sent < ENDLESS);
        listener->close();
    }
}

}  // namespace ebonymount
