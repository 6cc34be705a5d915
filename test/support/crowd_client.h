// A caller that does not behave: sends what a test gives it and reads little or nothing.
#pragma once

#include <memory>
#include <string>

#include "io/event_loop.h"
#include "io/tcp_stream.h"

namespace ebonymount {

/// What a client of a crowd sends and reads.
struct CrowdBehaviour {
    /// Sent once the client is connected.
    std::string request;
    /// Sent again and again after the request, `flood_bytes` in total.
    std::string flood;
    std::size_t flood_bytes = 0;
    /// Sent at each interval after that; nothing if empty.
    std::string trickle;
    /// Bytes read at each interval; 0 reads nothing.
    std::size_t read_bytes = 0;
    Duration interval = from_ms(100);
};

class CrowdClient : public SocketOwner, public std::enable_shared_from_this<CrowdClient> {
public:
    /// Starts to connect. The client keeps its connection until the server ends it or `close`.
    static std::shared_ptr<CrowdClient> open(EventLoop& loop, const std::string& address,
                                             CrowdBehaviour behaviour);

    /// True once the client has sent its request and its flood, or the connection has ended.
    bool has_sent() const;
    /// True once bytes of a response have arrived, and also once the connection has ended.
    bool has_response() const;
    /// True once the server has ended the connection.
    bool has_ended() const;

    void close();

    void on_ready(int modes) override;

private:
    CrowdClient(EventLoop& loop, const Poco::Net::StreamSocket& socket, CrowdBehaviour behaviour);
    void watch();
    /// False if the server has closed the connection.
    bool has_bytes();
    void send_flood();
    void repeat();
    void read(std::size_t bytes);
    void end();

    EventLoop& m_loop;
    TcpStream m_stream;
    Poco::Net::StreamSocket m_socket;
    CrowdBehaviour m_behaviour;
    std::size_t m_flood_sent = 0;
    bool m_connected = false;
    bool m_has_response = false;
    bool m_ended = false;
};

}  // namespace ebonymount
