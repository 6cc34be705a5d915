// Sessions between nodes that outlive what opened them, on one event loop over loopback.
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <new>
#include <optional>

#include "io/peer_sessions.h"

namespace ebonymount {
namespace {

/// An object whose memory is overwritten when it ends, so that a later access through a pointer or
/// reference to it does not go unnoticed.
template <typename T>
class Overwritten {
public:
    template <typename... Args>
    explicit Overwritten(Args&&... args)
        : m_object(new (m_memory.data()) T(std::forward<Args>(args)...)) {}
    ~Overwritten() {
        end();
    }
    Overwritten(const Overwritten&) = delete;
    Overwritten& operator=(const Overwritten&) = delete;
    Overwritten(Overwritten&&) = delete;
    Overwritten& operator=(Overwritten&&) = delete;

    T& operator*() {
        return *m_object;
    }
    T* operator->() {
        return m_object;
    }

    void end() {
        if (m_object != nullptr) {
            m_object->~T();
            m_object = nullptr;
            m_memory.fill(std::byte{0xff});
        }
    }

private:
    alignas(T) std::array<std::byte, sizeof(T)> m_memory{};
    T* m_object;
};

const std::string RESPONSE(100000, 'r');

/// A loop with a server and a pool that calls it. `on_request` runs before the response is sent.
struct Peers {
    explicit Peers(std::function<void()> on_request) {
        server = value_of(PeerServer::listen(
            loop, "127.0.0.1:0",
            [on_request = std::move(on_request)](const std::shared_ptr<ServerStream>& stream,
                                                 const std::string&, const std::string&) {
                on_request();
                stream->write(RESPONSE);
                stream->finish();
            },
            *traffic));
    }

    /// Calls the server; the loop stops when the call has ended.
    void call() {
        StreamCallbacks callbacks;
        callbacks.on_data = [this](std::string_view bytes) {
            received += bytes;
        };
        callbacks.on_end = [this](StreamStatus end) {
            status = end;
            loop.stop();
        };
        pool->call(server->address(), "/path", "body", std::move(callbacks));
    }

    EventLoop loop{LoopThread::caller};
    Metrics metrics;
    Counter& bytes_in = metrics.counter("in");
    Counter& bytes_out = metrics.counter("out");
    Overwritten<TrafficCounters> traffic{TrafficCounters{bytes_in, bytes_out}};
    Overwritten<PeerPool> pool{loop, *traffic};
    std::shared_ptr<PeerServer> server;
    std::string received;
    std::optional<StreamStatus> status;
};

}  // namespace

// Guards against a session that counts bytes in the memory of a feed that has ended.
TEST_CASE("sessions count bytes after their pool and its counters have ended") {
    std::function<void()> end_owner;
    Peers peers([&end_owner] { end_owner(); });
    end_owner = [&peers] {
        peers.pool.end();
        peers.traffic.end();
    };
    peers.call();
    peers.loop.run();
    CHECK(peers.status == StreamStatus::complete);
    CHECK(peers.received == RESPONSE);
    CHECK(peers.bytes_in.load() > static_cast<std::int64_t>(RESPONSE.size()));
    CHECK(peers.bytes_out.load() > static_cast<std::int64_t>(RESPONSE.size()));
    peers.server->close();
}

// Guards against tasks of a pool that run in its memory after it has ended.
TEST_CASE("a call that was begun before its pool ended is made") {
    Peers peers([] {});
    peers.call();
    peers.pool->close("127.0.0.1:1");
    peers.pool.end();
    peers.traffic.end();
    peers.loop.run();
    CHECK(peers.status == StreamStatus::complete);
    CHECK(peers.received == RESPONSE);
    peers.server->close();
}

}  // namespace ebonymount
