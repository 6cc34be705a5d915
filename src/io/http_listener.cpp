#include "io/http_listener.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <vector>

#include "io/server_socket.h"

namespace ebonymount {
namespace {

/// Maximum connections waiting to be accepted; beyond that the system drops the SYN.
constexpr int BACKLOG = 512;

}  // namespace

HttpListener::HttpListener(EventLoop& loop, const Poco::Net::ServerSocket& socket,
                           const HttpListenerOptions& options, HttpRequestHandler handler)
    : m_loop(loop), m_socket(socket), m_options(options), m_handler(std::move(handler)) {}

Result<std::shared_ptr<HttpListener>> HttpListener::listen(EventLoop& loop,
                                                           const std::string& address,
                                                           const HttpListenerOptions& options,
                                                           HttpRequestHandler handler) {
    try {
        const Poco::Net::ServerSocket socket = listen_at(address, BACKLOG);
        std::shared_ptr<HttpListener> listener(
            new HttpListener(loop, socket, options, std::move(handler)));
        loop.watch(socket, Poco::Net::PollSet::POLL_READ, listener);
        return listener;
    } catch (const Poco::Exception& error) {
        const ErrorCode code =
            error.code() == EADDRINUSE ? ErrorCode::conflict : ErrorCode::unavailable;
        return Error{code, "cannot listen: " + error.displayText(), address};
    }
}

void HttpListener::set_options(const HttpListenerOptions& options) {
    m_options = options;
}

void HttpListener::on_ready(int /*modes*/) {
    accept_one();
}

bool HttpListener::accept_one() {
    try {
        TcpStream stream(m_socket.acceptConnection());
        if (m_connections.size() >= m_options.max_connections) {
            ++m_counts.refused_over_limit;
            stream.close();
            return true;
        }
        ++m_counts.accepted;
        stream.detect_dead_peer();
        const std::shared_ptr<HttpServerConnection> connection(
            new HttpServerConnection(shared_from_this(), std::move(stream)));
        m_connections.emplace(connection.get(), connection);
        connection->start();
        return true;
    } catch (const Poco::Exception&) {
        // None is waiting, or the caller disconnected before the accept.
        return false;
    }
}

void HttpListener::close_after_responses() {
    m_close_after_responses = true;
}

void HttpListener::close_idle() {
    std::vector<std::shared_ptr<HttpServerConnection>> idle;
    for (const auto& [key, weak] : m_connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        if (connection != nullptr && connection->is_idle()) {
            idle.push_back(connection);
        }
    }
    for (const std::shared_ptr<HttpServerConnection>& connection : idle) {
        connection->close();
    }
}

void HttpListener::stop_accepting() {
    if (m_accepting) {
        m_accepting = false;
        // Closing the socket would reset connections that are already established.
        for (int waiting = 0; waiting < BACKLOG && accept_one(); ++waiting) {
        }
        m_loop.unwatch(m_socket);
        m_socket.close();
    }
}

void HttpListener::close() {
    stop_accepting();
    const std::map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>> connections =
        m_connections;
    for (const auto& [key, weak] : connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        if (connection != nullptr) {
            connection->close();
        }
    }
}

void HttpListener::sweep(Time now) {
    const std::map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>> connections =
        m_connections;
    for (const auto& [key, weak] : connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        if (connection != nullptr) {
            connection->sweep(now);
        }
    }
}

std::size_t HttpListener::busy_connections() const {
    std::size_t busy = 0;
    for (const auto& [key, weak] : m_connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        busy += connection != nullptr && !connection->is_idle() ? 1 : 0;
    }
    return busy;
}

std::size_t HttpListener::connections() const {
    return m_connections.size();
}

const HttpListenerCounts& HttpListener::counts() const {
    return m_counts;
}

std::string HttpListener::address() const {
    return m_socket.address().toString();
}

void HttpListener::remove_connection(HttpServerConnection& connection) {
    m_connections.erase(&connection);
}

}  // namespace ebonymount
