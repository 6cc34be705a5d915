// HTTP/1.1 server and client on one event loop over loopback, with misbehaving callers and targets.
// Checks depend on which events occur, never on elapsed time.
#include <catch2/catch.hpp>
#include <optional>

#include "io/http_channel.h"
#include "io/http_listener.h"

namespace ebonymount {
namespace {

constexpr Duration HANG_LIMIT = from_ms(20000);

/// A peer that sends and receives raw bytes on the test's loop.
class RawPeer : public SocketOwner, public std::enable_shared_from_this<RawPeer> {
public:
    RawPeer(EventLoop& loop, const Poco::Net::StreamSocket& socket)
        : m_loop(loop), m_stream(socket) {}

    void watch() {
        m_loop.watch(m_stream.socket(),
                     Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR,
                     shared_from_this());
    }
    void send(const std::string& bytes) {
        m_stream.send(bytes);
    }
    void close() {
        m_loop.unwatch(m_stream.socket());
        m_stream.close();
    }
    void on_ready(int /*modes*/) override {
        const std::shared_ptr<RawPeer> self = shared_from_this();
        if (m_stream.receive(received) != StreamState::open) {
            ended = true;
            m_loop.unwatch(m_stream.socket());
        }
        if (on_bytes) {
            on_bytes();
        }
    }

    std::string received;
    bool ended = false;
    std::function<void()> on_bytes;

private:
    EventLoop& m_loop;
    TcpStream m_stream;
};

/// Accepts connections as raw peers.
class RawServer : public SocketOwner, public std::enable_shared_from_this<RawServer> {
public:
    explicit RawServer(EventLoop& loop) : m_loop(loop) {
        m_socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
        m_socket.listen(8);
        m_socket.setBlocking(false);
    }
    void watch() {
        m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ, shared_from_this());
    }
    void close() {
        m_loop.unwatch(m_socket);
        m_socket.close();
    }
    std::string address() const {
        return m_socket.address().toString();
    }
    void on_ready(int /*modes*/) override {
        peers.push_back(std::make_shared<RawPeer>(m_loop, m_socket.acceptConnection()));
        on_peer(*peers.back());
        peers.back()->watch();
    }

    std::vector<std::shared_ptr<RawPeer>> peers;
    std::function<void(RawPeer&)> on_peer = [](RawPeer&) {
    };

private:
    EventLoop& m_loop;
    Poco::Net::ServerSocket m_socket;
};

struct Harness {
    Harness() : loop(LoopThread::caller) {
        loop.run_at(monotonic_now() + HANG_LIMIT, [this] {
            hung = true;
            loop.stop();
        });
    }

    std::shared_ptr<RawPeer> caller(const std::string& address) {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address));
        const std::shared_ptr<RawPeer> peer = std::make_shared<RawPeer>(loop, socket);
        peer->watch();
        return peer;
    }

    std::shared_ptr<HttpListener> listen(const HttpListenerOptions& options,
                                         HttpRequestHandler handler) {
        return std::get<std::shared_ptr<HttpListener>>(
            HttpListener::listen(loop, "127.0.0.1:0", options, std::move(handler)));
    }

    EventLoop loop;
    bool hung = false;
};

HttpResponseMessage ok(const std::string& body) {
    HttpResponseMessage response;
    response.status = 200;
    response.body = body;
    return response;
}

/// How one call on a new channel to a raw server ended.
struct ChannelRun {
    std::optional<CallStatus> status;
    HttpResponseMessage response;
    bool sent = false;
    bool reusable = false;
};

ChannelRun call(const std::function<void(RawPeer&)>& on_request) {
    Harness harness;
    const std::shared_ptr<RawServer> server = std::make_shared<RawServer>(harness.loop);
    server->on_peer = [&on_request](RawPeer& peer) {
        peer.on_bytes = [&peer, &on_request] {
            if (peer.received.find("\r\n\r\n") != std::string::npos) {
                peer.on_bytes = nullptr;
                on_request(peer);
            }
        };
    };
    server->watch();
    ChannelRun run;
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(harness.loop, server->address(), [](HttpChannel&) {});
    ChannelCall request;
    request.make_request = [] {
        return encode(HttpRequestMessage{"GET", "/", {{"Host", "h"}, {"Id", "1"}}, "", true});
    };
    request.is_own_response = [](const HttpResponseMessage& response) {
        return find_header(response.headers, "Id") != "0";
    };
    request.on_sent = [&run] {
        run.sent = true;
    };
    request.on_end = [&run, &harness, channel](CallStatus status, HttpResponseMessage response) {
        run.status = status;
        run.response = std::move(response);
        run.reusable = channel->is_idle();
        harness.loop.stop();
    };
    channel->start(std::move(request));
    harness.loop.run();
    REQUIRE_FALSE(harness.hung);
    return run;
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
    request.is_own_response = [](const HttpResponseMessage&) {
        return true;
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

}  // namespace ebonymount
