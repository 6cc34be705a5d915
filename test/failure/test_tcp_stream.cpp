// A peer that stops reading for a while must not break the connection.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>

#include "io/http2_session.h"
#include "io/tcp_stream.h"

namespace ebonymount {
namespace {

/// More bytes than the system buffers for a loopback connection.
constexpr std::size_t LARGE_BYTES = 32U << 20U;

/// Ends a test that hangs; no check depends on elapsed time.
constexpr Duration HANG_LIMIT = from_ms(20000);

}  // namespace

TEST_CASE("bytes that a full socket buffer does not accept are queued and sent later") {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    TcpStream sender(Poco::Net::StreamSocket(listener.address()));
    TcpStream receiver(listener.acceptConnection());
    CHECK(sender.send(std::string(LARGE_BYTES, 'x')) == StreamState::open);
    CHECK(sender.has_unsent());
    std::string received;
    while (received.size() < LARGE_BYTES) {
        REQUIRE(receiver.receive(received) == StreamState::open);
        REQUIRE(sender.flush() == StreamState::open);
    }
    CHECK_FALSE(sender.has_unsent());
}

TEST_CASE("a stream between nodes completes although its reader is slower than its writer") {
    Metrics metrics;
    TrafficCounters traffic{metrics.counter("in"), metrics.counter("out")};
    EventLoop loop(LoopThread::caller);
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::shared_ptr<Http2Session> client =
        Http2Session::connect(loop, listener.address().toString(), traffic);
    const StreamHandler handler = [](const std::shared_ptr<ServerStream>& stream,
                                     const std::string&, const std::string&) {
        stream->write(std::string(LARGE_BYTES, 'x'));
        stream->finish();
    };
    const std::shared_ptr<Http2Session> server =
        Http2Session::serve(loop, listener.acceptConnection(), handler, traffic);
    std::size_t received = 0;
    StreamStatus status = StreamStatus::broken;
    StreamCallbacks callbacks;
    callbacks.on_data = [&received](std::string_view bytes) {
        received += bytes.size();
    };
    callbacks.on_end = [&status, &loop](StreamStatus final_status) {
        status = final_status;
        loop.stop();
    };
    client->open("/any", "", std::move(callbacks));
    loop.run_at(monotonic_now() + HANG_LIMIT, [&loop] { loop.stop(); });
    loop.run();
    CHECK(status == StreamStatus::complete);
    CHECK(received == LARGE_BYTES);
}

}  // namespace ebonymount
