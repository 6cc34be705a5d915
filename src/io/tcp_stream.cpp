#include "io/tcp_stream.h"

#include <Poco/Net/NetException.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>

namespace ebonymount {
namespace {

constexpr std::size_t READ_BYTES = 16384;

/// A connection keeps an empty receive buffer of this size for its next message.
constexpr std::size_t MAX_KEPT_BUFFER_BYTES = 2048;

/// TCP keep-alive: idle seconds before the first probe, seconds between probes, and the number of
/// unanswered probes after which the connection fails.
constexpr int PROBE_AFTER_S = 1;
constexpr int PROBE_INTERVAL_S = 1;
constexpr int MAX_UNANSWERED_PROBES = 2;

/// The connection fails when sent bytes stay unacknowledged for this many milliseconds.
constexpr int MAX_UNACKNOWLEDGED_MS = 3000;

}  // namespace

void release_empty_buffer(std::string& buffer) {
    if (buffer.empty() && buffer.capacity() > MAX_KEPT_BUFFER_BYTES) {
        std::string().swap(buffer);
    }
}

bool would_block(const Poco::Exception& error) {
    return error.code() == EAGAIN || error.code() == EWOULDBLOCK;
}

TcpStream::TcpStream(const Poco::Net::StreamSocket& socket) : m_socket(socket) {
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
}

TcpStream TcpStream::connect(const Poco::Net::SocketAddress& address) {
    Poco::Net::StreamSocket socket;
    socket.connectNB(address);
    return TcpStream(socket);
}

void detect_dead_peer(Poco::Net::StreamSocket& socket) {
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS);
}

void TcpStream::detect_dead_peer() {
    ebonymount::detect_dead_peer(m_socket);
}

StreamState TcpStream::receive(std::string& buffer) {
    std::array<char, READ_BYTES> chunk{};
    try {
        const int count = m_socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (count == 0) {
            return StreamState::ended;
        }
        if (count > 0) {
            buffer.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return StreamState::open;
    } catch (const Poco::Exception&) {
        return StreamState::broken;
    }
}

void TcpStream::queue(std::string bytes) {
    if (!bytes.empty()) {
        m_unsent_memory += bytes.capacity();
        m_unsent.push_back(std::move(bytes));
    }
}

StreamState TcpStream::send(std::string bytes) {
    queue(std::move(bytes));
    return flush();
}

StreamState TcpStream::flush() {
    try {
        while (has_unsent()) {
            const std::string& first = m_unsent.front();
            const int count = m_socket.sendBytes(first.data() + m_written,
                                                 static_cast<int>(first.size() - m_written));
            if (count <= 0) {
                return StreamState::open;
            }
            m_sent_bytes += count;
            m_written += static_cast<std::size_t>(count);
            if (m_written == first.size()) {
                m_unsent_memory -= first.capacity();
                m_unsent.pop_front();
                m_written = 0;
            }
        }
    } catch (const Poco::Exception& error) {
        return would_block(error) ? StreamState::open : StreamState::broken;
    }
    return StreamState::open;
}

bool TcpStream::has_unsent() const {
    return !m_unsent.empty();
}

std::size_t TcpStream::unsent_memory() const {
    return m_unsent_memory;
}

std::int64_t TcpStream::sent_bytes() const {
    return m_sent_bytes;
}

int TcpStream::connect_error() {
    try {
        return m_socket.impl()->socketError();
    } catch (const Poco::Exception&) {
        return ECONNABORTED;
    }
}

void TcpStream::shutdown_send() {
    try {
        m_socket.shutdownSend();
    } catch (const Poco::Exception&) {
        // The peer has reset the connection; there is nothing left to shut down.
        return;
    }
}

void TcpStream::reset_on_close() {
    m_socket.setLinger(true, 0);
}

std::string TcpStream::peer_address() const {
    try {
        return m_socket.peerAddress().toString();
    } catch (const Poco::Exception&) {
        return "";
    }
}

void TcpStream::close() {
    m_socket.close();
    m_unsent.clear();
    m_unsent_memory = 0;
    m_written = 0;
}

const Poco::Net::StreamSocket& TcpStream::socket() const {
    return m_socket;
}

}  // namespace ebonymount
