// HTTP/2 connections between nodes: a pool of outgoing sessions by address, and the server side.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "io/http2_session.h"

namespace ebonymount {

/// Handle of one request to a peer, with which the request can be cancelled.
class PeerCall {
public:
    explicit PeerCall(EventLoop& loop) : m_loop(loop) {}

    /// Resets the stream; `on_end` still reports how it ended. May be called from any thread.
    static void cancel(const std::shared_ptr<PeerCall>& call);

private:
    friend class PeerPool;

    EventLoop& m_loop;
    std::weak_ptr<Http2Session> m_session;
    std::int32_t m_stream_id = -1;
    bool m_cancelled = false;
};

/// Outgoing sessions, one per address, opened on first use and reopened after they break.
class PeerPool {
public:
    PeerPool(EventLoop& loop, const TrafficCounters& traffic)
        : m_sessions(std::make_shared<Sessions>(loop, traffic)) {}

    /// Sends a complete request. May be called from any thread; the callbacks run on
    /// the loop's thread.
    std::shared_ptr<PeerCall> call(const std::string& address, const std::string& path,
                                   std::string body, StreamCallbacks callbacks);

    /// Closes the session to an address, so that the next call opens a new one. May be called from
    /// any thread.
    void close(const std::string& address);

    /// Closes all sessions. May be called from any thread.
    void close_all();

private:
    /// The open sessions, by address. Tasks that are posted to the loop may outlive the pool.
    class Sessions {
    public:
        Sessions(EventLoop& loop, const TrafficCounters& traffic)
            : m_loop(loop), m_traffic(traffic) {}

        EventLoop& loop() const;

        /// The members below are called on the loop's thread only.
        std::shared_ptr<Http2Session> open(const std::string& address);
        void close(const std::string& address);
        void close_all();

    private:
        EventLoop& m_loop;
        TrafficCounters m_traffic;
        std::map<std::string, std::shared_ptr<Http2Session>> m_by_address;
    };

    std::shared_ptr<Sessions> m_sessions;
};

/// Accepts sessions from peers.
class PeerServer : public SocketOwner, public std::enable_shared_from_this<PeerServer> {
public:
    /// Starts to listen. The error names the address that cannot be bound.
    static Result<std::shared_ptr<PeerServer>> listen(EventLoop& loop, const std::string& address,
                                                      StreamHandler handler,
                                                      const TrafficCounters& traffic);

    /// Stops accepting sessions. Only on the loop's thread.
    void close();

    /// The bound address, with the port that the system chose if none was given.
    std::string address() const;

    void on_ready(int modes) override;

private:
    PeerServer(EventLoop& loop, StreamHandler handler, const TrafficCounters& traffic)
        : m_loop(loop), m_handler(std::move(handler)), m_traffic(traffic) {}

    EventLoop& m_loop;
    StreamHandler m_handler;
    TrafficCounters m_traffic;
    Poco::Net::ServerSocket m_socket;
};

}  // namespace ebonymount
