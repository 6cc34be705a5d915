// A non-blocking TCP connection with a buffer of unsent bytes.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <deque>
#include <string>

#include "base/time.h"

namespace ebonymount {

/// State of the connection after a read or write.
enum class StreamState : std::uint8_t {
    open,    ///< The connection is usable, whether or not bytes were transferred.
    ended,   ///< The peer closed its side (FIN).
    broken,  ///< The connection was reset or timed out.
};

/// Enables keep-alive probes and a limit on unacknowledged data, to detect a peer that is gone
/// without closing the connection. Probes start after a second without traffic.
void detect_dead_peer(Poco::Net::StreamSocket& socket);

/// Frees the memory of an empty receive buffer, unless it is small.
void release_empty_buffer(std::string& buffer);

/// True when a write failed only because it would have blocked (EAGAIN, EWOULDBLOCK).
bool would_block(const Poco::Exception& error);

class TcpStream {
public:
    /// Wraps an accepted connection, or one whose connect was started.
    explicit TcpStream(const Poco::Net::StreamSocket& socket);

    /// Starts to connect; throws Poco::Exception when the system refuses at once.
    static TcpStream connect(const Poco::Net::SocketAddress& address);

    /// Applies the free function of the same name to this connection.
    void detect_dead_peer();

    /// Appends received bytes to `buffer`; does not block.
    StreamState receive(std::string& buffer);

    /// Queues bytes, without copying them, and writes as much as the system accepts.
    StreamState send(std::string bytes);

    /// Queues bytes without writing them yet.
    void queue(std::string bytes);

    /// Writes as much of the queued bytes as the system accepts.
    StreamState flush();

    bool has_unsent() const;

    /// Memory that the queued bytes take.
    std::size_t unsent_memory() const;

    /// Number of bytes that the system has accepted since the start.
    std::int64_t sent_bytes() const;

    /// The errno of a finished connect; 0 when it succeeded.
    int connect_error();

    /// Closes the sending side; the peer's bytes can still be read.
    void shutdown_send();

    /// Makes `close` reset the connection (RST).
    void reset_on_close();

    void close();

    /// Address of the peer; empty when the connection is gone.
    std::string peer_address() const;

    const Poco::Net::StreamSocket& socket() const;

private:
    Poco::Net::StreamSocket m_socket;
    std::deque<std::string> m_unsent;
    /// Bytes of the first queued string that are written.
    std::size_t m_written = 0;
    std::size_t m_unsent_memory = 0;
    std::int64_t m_sent_bytes = 0;
};

}  // namespace ebonymount
