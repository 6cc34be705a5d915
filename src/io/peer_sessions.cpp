#include "io/peer_sessions.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "io/server_socket.h"

namespace ebonymount {
namespace {

/// Maximum sessions waiting to be accepted.
constexpr int BACKLOG = 1024;

}  // namespace

void PeerCall::cancel(const std::shared_ptr<PeerCall>& call) {
    call->m_loop.post([call] {
        call->m_cancelled = true;
        if (const std::shared_ptr<Http2Session> session = call->m_session.lock()) {
            session->reset(call->m_stream_id);
        }
    });
}

std::shared_ptr<PeerCall> PeerPool::call(const std::string& address, const std::string& path,
                                         std::string body, StreamCallbacks callbacks) {
    const std::shared_ptr<PeerCall> call = std::make_shared<PeerCall>(m_sessions->loop());
    m_sessions->loop().post([sessions = m_sessions, call, address, path, body = std::move(body),
                             callbacks = std::move(callbacks)]() mutable {
        if (call->m_cancelled) {
            callbacks.on_end(StreamStatus::never_sent);
            return;
        }
        const std::shared_ptr<Http2Session> session = sessions->open(address);
        call->m_session = session;
        call->m_stream_id = session->open(path, std::move(body), std::move(callbacks));
    });
    return call;
}

void PeerPool::close(const std::string& address) {
    m_sessions->loop().post([sessions = m_sessions, address] { sessions->close(address); });
}

void PeerPool::close_all() {
    m_sessions->loop().post([sessions = m_sessions] { sessions->close_all(); });
}

EventLoop& PeerPool::Sessions::loop() const {
    return m_loop;
}

std::shared_ptr<Http2Session> PeerPool::Sessions::open(const std::string& address) {
    std::shared_ptr<Http2Session>& session = m_by_address[address];
    if (session == nullptr || !session->is_open()) {
        session = Http2Session::connect(m_loop, address, m_traffic);
    }
    return session;
}

void PeerPool::Sessions::close(const std::string& address) {
    const auto found = m_by_address.find(address);
    if (found != m_by_address.end()) {
        const std::shared_ptr<Http2Session> session = found->second;
        m_by_address.erase(found);
        session->close();
    }
}

void PeerPool::Sessions::close_all() {
    for (const auto& [address, session] : m_by_address) {
        session->close();
    }
    m_by_address.clear();
}

Result<std::shared_ptr<PeerServer>> PeerServer::listen(EventLoop& loop, const std::string& address,
                                                       StreamHandler handler,
                                                       const TrafficCounters& traffic) {
    const std::shared_ptr<PeerServer> server(new PeerServer(loop, std::move(handler), traffic));
    try {
        server->m_socket = listen_at(address, BACKLOG);
    } catch (const Poco::Exception& error) {
        return Error{ErrorCode::unavailable, "cannot listen for peers: " + error.displayText(),
                     address};
    }
    loop.post(
        [server, &loop] { loop.watch(server->m_socket, Poco::Net::PollSet::POLL_READ, server); });
    return server;
}

void PeerServer::close() {
    m_loop.unwatch(m_socket);
    m_socket.close();
}

std::string PeerServer::address() const {
    return m_socket.address().toString();
}

void PeerServer::on_ready(int /*modes*/) {
    try {
        Poco::Net::StreamSocket socket = m_socket.acceptConnection();
        socket.setNoDelay(true);
        Http2Session::serve(m_loop, socket, m_handler, m_traffic);
    } catch (const Poco::Exception&) {
        // The peer disconnected before the accept.
    }
}

}  // namespace ebonymount
