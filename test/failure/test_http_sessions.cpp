// HTTP/1.1 server and client on one event loop over loopback, with misbehaving callers and targets.
// Checks depend on which events occur, never on elapsed time.
#include <catch2/catch.hpp>
#include <optional>

#include "io/http_channel.h"
#include "io/http_listener.h"
#include "raw_peer.h"

namespace ebonymount {
namespace {

/// Bytes of a long response, more than twice what the system buffers for a connection.
constexpr std::size_t RESPONSE = 16 << 20;
constexpr int READ_AT_ONCE = 32768;

HttpResponseMessage ok(const std::string& body) {
    HttpResponseMessage response;
    response.status = 200;
    response.body = body;
    return response;
}

}  // namespace

TEST_CASE("a response to an earlier call is skipped") {
    const ChannelRun run = call([](RawPeer& peer) {
        peer.send(
            "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold"
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew");
    });
    CHECK(run.status == CallStatus::answered);
    CHECK(run.response.body == "new");
    CHECK(run.reusable);
}

TEST_CASE("unexpected bytes after a complete response end the connection") {
    const ChannelRun run = call(
        [](RawPeer& peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokextra"); });
    CHECK(run.status == CallStatus::answered);
    CHECK(run.response.body == "ok");
    CHECK_FALSE(run.reusable);
}

TEST_CASE(
    "a truncated response is an error; a response without a length ends with the connection") {
    const ChannelRun truncated = call([](RawPeer& peer) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
        peer.close();
    });
    CHECK(truncated.status != CallStatus::answered);
    CHECK(truncated.sent);
    const ChannelRun until_close = call([](RawPeer& peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\nall of it");
        peer.close();
    });
    CHECK(until_close.status == CallStatus::answered);
    CHECK(until_close.response.body == "all of it");
    CHECK_FALSE(until_close.reusable);
}

TEST_CASE("bytes that are not an HTTP response are malformed") {
    const ChannelRun run = call([](RawPeer& peer) { peer.send("\x01\x02 nonsense\r\n\r\n"); });
    CHECK(run.status == CallStatus::malformed);
}

// Guards against a status below 100 that is taken for an interim response, so that the caller waits
// for a final one, and against one above 599 that is passed on.
TEST_CASE("a response with a status that HTTP does not have is malformed") {
    for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
        for (const std::string body : {"", "Content-Length: 2\r\n", "Content-Length: 9\r\n"}) {
            INFO(status << " " << body);
            const ChannelRun run = call([&](RawPeer& peer) {
                peer.send("HTTP/1.1 " + status + " X\r\n" + body + "\r\nok");
            });
            CHECK(run.status == CallStatus::malformed);
            CHECK_FALSE(run.reusable);
        }
    }
    for (const std::string status : {"200", "299", "404", "599"}) {
        INFO(status);
        const ChannelRun run = call([&status](RawPeer& peer) {
            peer.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status +
                      " X\r\nContent-Length: 2\r\n\r\nok");
        });
        CHECK(run.status == CallStatus::answered);
        CHECK(run.response.status == std::stoi(status));
    }
}

TEST_CASE("a call to a port without a listener ends as not sent") {
    Harness harness;
    std::string address;
    {
        const std::shared_ptr<RawServer> server = std::make_shared<RawServer>(harness.loop);
        address = server->address();
        server->close();
    }
    std::optional<CallStatus> status;
    bool sent = false;
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(harness.loop, address, [](HttpChannel&) {});
    REQUIRE(channel != nullptr);
    ChannelCall request;
    request.make_request = [] {
        return std::string("x");
    };
    request.on_sent = [&sent] {
        sent = true;
    };
    request.on_end = [&](CallStatus final_status, const HttpResponseMessage&) {
        status = final_status;
        harness.loop.stop();
    };
    channel->start(std::move(request));
    harness.loop.run();
    CHECK(status == CallStatus::not_sent);
    CHECK_FALSE(sent);
}

TEST_CASE("a call whose target is withdrawn while the connection opens is not sent") {
    // A request that waits for a connection would otherwise reach the target after the drain bound.
    Harness harness;
    const std::shared_ptr<RawServer> server = std::make_shared<RawServer>(harness.loop);
    server->watch();
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(harness.loop, server->address(), [](HttpChannel&) {});
    REQUIRE(channel != nullptr);
    REQUIRE(channel->is_connecting());
    bool accepts_work = true;
    bool sent = false;
    std::optional<CallStatus> status;
    ChannelCall request;
    request.make_request = [] {
        return encode(HttpRequestMessage{"GET", "/", {{"Host", "h"}}, "", true});
    };
    request.may_send = [&accepts_work] {
        return accepts_work;
    };
    request.on_sent = [&sent] {
        sent = true;
    };
    request.on_end = [&](CallStatus final_status, const HttpResponseMessage&) {
        status = final_status;
        harness.loop.stop();
    };
    channel->start(std::move(request));
    accepts_work = false;
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    CHECK(status == CallStatus::not_sent);
    CHECK_FALSE(sent);
    // The connection is intact and serves a later call.
    CHECK(channel->is_idle());
}

TEST_CASE("pipelined requests are answered one by one in order") {
    Harness harness;
    const std::shared_ptr<HttpListener> listener = harness.listen(
        {}, [](const std::shared_ptr<HttpServerConnection>& connection,
               const HttpRequestMessage& request) { connection->respond(ok(request.target)); });
    const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
    caller->on_bytes = [&] {
        if (caller->received.find("/3") != std::string::npos) {
            harness.loop.stop();
        }
    };
    caller->send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    harness.loop.run();
    REQUIRE_FALSE(harness.hung);
    CHECK(caller->received.find("/1") < caller->received.find("/2"));
    CHECK(caller->received.find("/2") < caller->received.find("/3"));
    listener->close();
}

TEST_CASE("a caller that disconnects is detected while its request is served") {
    Harness harness;
    bool gone = false;
    std::shared_ptr<RawPeer> caller;
    const std::shared_ptr<HttpListener> listener = harness.listen(
        {},
        [&](const std::shared_ptr<HttpServerConnection>& connection, const HttpRequestMessage&) {
            connection->on_caller_gone([&] {
                gone = true;
                harness.loop.stop();
            });
            caller->close();
        });
    caller = harness.caller(listener->address());
    caller->send("GET / HTTP/1.1\r\n\r\n");
    harness.loop.run();
    CHECK(gone);
    listener->close();
}

TEST_CASE("a stopping server responds with Connection: close, and then closes the connection") {
    Harness harness;
    const std::shared_ptr<HttpListener> listener =
        harness.listen({}, [](const std::shared_ptr<HttpServerConnection>& connection,
                              const HttpRequestMessage&) { connection->respond(ok("done")); });
    const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
    listener->close_after_responses();
    caller->on_bytes = [&] {
        if (caller->ended) {
            harness.loop.stop();
        }
    };
    caller->send("GET / HTTP/1.1\r\n\r\n");
    harness.loop.run();
    REQUIRE_FALSE(harness.hung);
    CHECK(caller->received.find("Connection: close") != std::string::npos);
    CHECK(caller->received.find("done") != std::string::npos);
    listener->close();
}

TEST_CASE("oversized and malformed requests get their error status and the connection closes") {
    HttpListenerOptions options;
    options.limits = {200, 50};
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"GET / HTTP/1.1\r\nX: " + std::string(500, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nContent-Length: 51\r\n\r\n", "413"},
        {"NOT HTTP\r\n\r\n", "400"}};
    for (const auto& [bytes, status] : cases) {
        Harness harness;
        const std::shared_ptr<HttpListener> listener =
            harness.listen(options, [](const std::shared_ptr<HttpServerConnection>& connection,
                                       const HttpRequestMessage&) { connection->respond(ok("")); });
        const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
        caller->on_bytes = [&] {
            if (caller->ended) {
                harness.loop.stop();
            }
        };
        caller->send(bytes);
        harness.loop.run();
        REQUIRE_FALSE(harness.hung);
        CHECK(caller->received.find("HTTP/1.1 " + status) == 0);
        listener->close();
    }
}

TEST_CASE("a request whose header arrives too slowly gets status 408") {
    Harness harness;
    HttpListenerOptions options;
    options.header_timeout = from_ms(1);
    const std::shared_ptr<HttpListener> listener =
        harness.listen(options, [](const std::shared_ptr<HttpServerConnection>& connection,
                                   const HttpRequestMessage&) { connection->respond(ok("")); });
    const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
    caller->on_bytes = [&] {
        if (caller->received.find("408") != std::string::npos) {
            harness.loop.stop();
        }
    };
    caller->send("GET / HT");
    // Sweeps with a time in the future simulate the passing of time.
    std::function<void()> sweep = [&] {
        listener->sweep(monotonic_now() + from_ms(1000));
        harness.loop.run_at(monotonic_now() + from_ms(1), sweep);
    };
    sweep();
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    listener->close();
}

namespace {

/// Runs a caller that gets a long response and does `act` every few milliseconds, while the
/// listener is swept as if almost the idle timeout had passed. Ends when `is_done`; false if the
/// listener has closed the connection.
bool keeps_connection(const std::function<void(RawPeer&)>& act,
                      const std::function<bool()>& is_done) {
    constexpr Duration INTERVAL = from_ms(15);
    constexpr Duration MARGIN = from_ms(1500);
    Harness harness;
    HttpListenerOptions options;
    options.idle_timeout = from_ms(60000);
    const std::shared_ptr<HttpListener> listener = harness.listen(
        options,
        [](const std::shared_ptr<HttpServerConnection>& connection, const HttpRequestMessage&) {
            connection->respond(ok(std::string(RESPONSE, 'x')));
        });
    const std::shared_ptr<RawPeer> caller = harness.caller(listener->address(), READ_AT_ONCE);
    harness.loop.unwatch(caller->socket());
    caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    bool is_kept = true;
    bool was_open = false;
    std::function<void()> repeat = [&] {
        act(*caller);
        listener->sweep(monotonic_now() + options.idle_timeout - MARGIN);
        was_open = was_open || listener->connections() == 1;
        is_kept = !was_open || listener->connections() == 1;
        if (!is_kept || is_done()) {
            harness.loop.stop();
        } else {
            harness.loop.run_at(monotonic_now() + INTERVAL, repeat);
        }
    };
    harness.loop.run_at(monotonic_now() + INTERVAL, repeat);
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    listener->close();
    return is_kept;
}

}  // namespace

// Guards against a time limit that counts received bytes while a response is being sent.
TEST_CASE("a caller that takes a response slowly but steadily keeps its connection") {
    std::size_t taken = 0;
    const bool is_kept =
        keeps_connection([&taken](RawPeer& caller) { taken += caller.receive_some(READ_AT_ONCE); },
                         [&taken] { return taken >= RESPONSE / 2; });
    CHECK(is_kept);
    CHECK(taken >= RESPONSE / 2);
}

TEST_CASE("a caller that takes nothing of a response loses its connection, though it sends") {
    const bool is_kept =
        keeps_connection([](RawPeer& caller) { caller.send("GET"); }, [] { return false; });
    CHECK_FALSE(is_kept);
}

// Guards against a round of the event loop that is as long as a crowd of callers makes it.
TEST_CASE("callers that send many requests at once do not hold up others") {
    constexpr std::size_t CROWD = 200;
    constexpr std::size_t REQUESTS = 1000;
    /// Requests of the crowd that may be served before one that arrives now: in some rounds of the
    /// loop, for the accept, the request and the response, 16 each.
    constexpr std::size_t MAX_SERVED_BEFORE = 100;
    Harness harness;
    std::size_t crowd_served = 0;
    std::optional<std::size_t> served_before;
    std::size_t served_at_connect = 0;
    const std::shared_ptr<HttpListener> listener = harness.listen(
        HttpListenerOptions{}, [&](const std::shared_ptr<HttpServerConnection>& connection,
                                   const HttpRequestMessage& request) {
            crowd_served += request.target == "/crowd" ? 1 : 0;
            connection->respond(ok(""));
        });
    std::string requests;
    for (std::size_t i = 0; i < REQUESTS; ++i) {
        requests += "GET /crowd HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    std::vector<std::shared_ptr<RawPeer>> crowd;
    for (std::size_t i = 0; i < CROWD; ++i) {
        crowd.push_back(harness.caller(listener->address()));
        crowd.back()->send(requests);
    }
    std::shared_ptr<RawPeer> ordinary;
    std::function<void()> connect_ordinary = [&] {
        if (listener->connections() < CROWD) {
            harness.loop.run_at(monotonic_now(), connect_ordinary);
            return;
        }
        served_at_connect = crowd_served;
        ordinary = harness.caller(listener->address());
        ordinary->on_bytes = [&] {
            served_before = crowd_served - served_at_connect;
            harness.loop.stop();
        };
        ordinary->send("GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n");
    };
    connect_ordinary();
    harness.loop.run();
    REQUIRE_FALSE(harness.hung);
    REQUIRE(served_before.has_value());
    CHECK(*served_before <= MAX_SERVED_BEFORE);
    listener->close();
}

// Guards against a kept connection that rejects requests by limits that no longer hold.
TEST_CASE("limits that change apply to the next request on a kept connection") {
    Harness harness;
    HttpListenerOptions options;
    options.limits = {1000, 100};
    const std::shared_ptr<HttpListener> listener = harness.listen(
        options, [](const std::shared_ptr<HttpServerConnection>& connection,
                    const HttpRequestMessage& request) { connection->respond(ok(request.body)); });
    const std::shared_ptr<RawPeer> caller = harness.caller(listener->address());
    const auto post = [&caller](std::size_t bytes) {
        caller->send(encode(
            HttpRequestMessage{"POST", "/", {{"Host", "h"}}, std::string(bytes, 'b'), true}));
    };
    std::vector<std::string> responses;
    caller->on_bytes = [&] {
        const std::string body(responses.empty() ? 100 : 500, 'b');
        const bool is_rejected = caller->received.find("HTTP/1.1 413 ") == 0;
        if (!caller->ended && !is_rejected && !caller->received.ends_with(body)) {
            return;
        }
        responses.push_back(caller->received.substr(0, 13));
        caller->received.clear();
        if (responses.size() == 1) {
            options.limits.max_body_bytes = 500;
            listener->set_options(options);
            post(500);
        } else if (responses.size() == 2) {
            options.limits.max_body_bytes = 10;
            listener->set_options(options);
            post(11);
        } else {
            harness.loop.stop();
        }
    };
    post(100);
    harness.loop.run();
    CHECK_FALSE(harness.hung);
    CHECK(responses == std::vector<std::string>{"HTTP/1.1 200 ", "HTTP/1.1 200 ", "HTTP/1.1 413 "});
    listener->close();
}

}  // namespace ebonymount
