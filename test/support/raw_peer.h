// Raw bytes on sockets of the test's own event loop, for callers and targets that break the
// protocol.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "io/http_channel.h"
#include "io/http_listener.h"

namespace ebonymount {

/// Ends a test that hangs.
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
    EventLoop& loop() {
        return m_loop;
    }
    void send(const std::string& bytes) {
        m_stream.send(bytes);
    }
    void close() {
        m_loop.unwatch(m_stream.socket());
        m_stream.close();
    }
    /// Receives up to that many bytes, and drops them.
    std::size_t receive_some(std::size_t bytes) {
        std::size_t total = 0;
        std::string buffer;
        while (total < bytes && m_stream.receive(buffer) == StreamState::open && !buffer.empty()) {
            total += buffer.size();
            buffer.clear();
        }
        return total;
    }
    const Poco::Net::StreamSocket& socket() const {
        return m_stream.socket();
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

    /// Connects a caller; `receive_buffer_bytes` of 0 leaves the size to the system.
    std::shared_ptr<RawPeer> caller(const std::string& address, int receive_buffer_bytes = 0) {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
        if (receive_buffer_bytes > 0) {
            socket.setReceiveBufferSize(receive_buffer_bytes);
        }
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

/// How one call on a new channel to a raw server ended.
struct ChannelRun {
    std::optional<CallStatus> status;
    HttpResponseMessage response;
    bool sent = false;
    bool reusable = false;
};

/// Runs a call on a new channel to a server that calls `on_request` with each complete request.
inline ChannelRun call(const std::function<void(RawPeer&)>& on_request,
                       std::size_t max_body_bytes = HttpLimits{}.max_body_bytes) {
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
    request.owner_of = [](const HttpResponseMessage& response) {
        return find_header(response.headers, "Id") == "0" ? ResponseOwner::other_call
                                                          : ResponseOwner::this_call;
    };
    request.limits.max_body_bytes = max_body_bytes;
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

}  // namespace ebonymount
