#include "crowd_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>

namespace ebonymount {
namespace {

using Poco::Net::PollSet;

/// Keeps what the client does not read out of the client's system.
constexpr int RECEIVE_BUFFER_BYTES = 4096;

}  // namespace

CrowdClient::CrowdClient(EventLoop& loop, const Poco::Net::StreamSocket& socket,
                         CrowdBehaviour behaviour)
    : m_loop(loop), m_stream(socket), m_socket(socket), m_behaviour(std::move(behaviour)) {}

std::shared_ptr<CrowdClient> CrowdClient::open(EventLoop& loop, const std::string& address,
                                               CrowdBehaviour behaviour) {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    const std::shared_ptr<CrowdClient> client(new CrowdClient(loop, socket, std::move(behaviour)));
    socket.connectNB(Poco::Net::SocketAddress(address));
    client->watch();
    return client;
}

void CrowdClient::watch() {
    const bool writes = !m_connected || m_stream.has_unsent();
    const int modes = PollSet::POLL_ERROR | (m_has_response ? 0 : PollSet::POLL_READ) |
                      (writes ? PollSet::POLL_WRITE : 0);
    m_loop.watch(m_socket, modes, shared_from_this());
}

bool CrowdClient::has_sent() const {
    return m_ended ||
           (m_connected && m_flood_sent >= m_behaviour.flood_bytes && !m_stream.has_unsent());
}

bool CrowdClient::has_response() const {
    return m_has_response || m_ended;
}

bool CrowdClient::has_ended() const {
    return m_ended;
}

void CrowdClient::on_ready(int modes) {
    const std::shared_ptr<CrowdClient> self = shared_from_this();
    if ((modes & PollSet::POLL_ERROR) != 0) {
        end();
        return;
    }
    if ((modes & PollSet::POLL_READ) != 0) {
        m_has_response = true;
        if (!has_bytes()) {
            end();
            return;
        }
    }
    if ((modes & PollSet::POLL_WRITE) != 0) {
        const bool is_first = !m_connected;
        m_connected = true;
        const StreamState state = is_first ? m_stream.send(m_behaviour.request) : m_stream.flush();
        if (state == StreamState::broken) {
            end();
            return;
        }
        send_flood();
        if (is_first) {
            repeat();
        }
    }
    if (!m_ended) {
        watch();
    }
}

bool CrowdClient::has_bytes() {
    char first = 0;
    try {
        return m_socket.receiveBytes(&first, 1, MSG_PEEK) != 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void CrowdClient::send_flood() {
    while (!m_ended && !m_stream.has_unsent() && m_flood_sent < m_behaviour.flood_bytes) {
        const std::size_t bytes =
            std::min(m_behaviour.flood.size(), m_behaviour.flood_bytes - m_flood_sent);
        m_flood_sent += bytes;
        if (m_stream.send(m_behaviour.flood.substr(0, bytes)) == StreamState::broken) {
            end();
        }
    }
}

void CrowdClient::repeat() {
    if (m_ended || (m_behaviour.trickle.empty() && m_behaviour.read_bytes == 0)) {
        return;
    }
    if (!m_behaviour.trickle.empty() && !m_stream.has_unsent() &&
        m_stream.send(m_behaviour.trickle) == StreamState::broken) {
        end();
        return;
    }
    read(m_behaviour.read_bytes);
    const std::shared_ptr<CrowdClient> self = shared_from_this();
    m_loop.run_at(monotonic_now() + m_behaviour.interval, [self] { self->repeat(); });
}

void CrowdClient::read(std::size_t bytes) {
    if (bytes == 0 || !m_has_response) {
        return;
    }
    std::string discarded(bytes, '\0');
    try {
        if (m_socket.receiveBytes(discarded.data(), static_cast<int>(bytes)) == 0) {
            end();
        }
    } catch (const Poco::Exception&) {
        end();
    }
}

void CrowdClient::end() {
    m_ended = true;
    close();
}

void CrowdClient::close() {
    m_loop.unwatch(m_socket);
    m_socket.close();
}

}  // namespace ebonymount
