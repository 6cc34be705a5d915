#include "io/http_listener.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>
#include <vector>

#include "io/exception_guard.h"
#include "io/server_socket.h"

namespace ebonymount {
namespace {

/// Maximum connections waiting to be accepted; beyond that the system drops the SYN.
constexpr int BACKLOG = 512;

/// At the limit, this part of the connections makes room at once, so that the others are not
/// compared again for each new one.
constexpr std::size_t EVICTED_TOGETHER_DIVISOR = 64;

/// Connections accepted, and requests read that were received together with earlier ones, in a
/// round of the event loop: those of a crowd take turns with everything else.
constexpr int MAX_ACCEPTS_PER_ROUND = 16;
constexpr std::size_t MAX_BUFFERED_PER_ROUND = 16;

/// How long nothing is accepted when the system has no descriptor or memory for a connection.
constexpr Duration ACCEPT_PAUSE = from_ms(100);

bool is_out_of_resources(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

HttpListenerCounts& HttpListenerCounts::operator+=(const HttpListenerCounts& other) {
    accepted += other.accepted;
    refused_over_limit += other.refused_over_limit;
    evicted += other.evicted;
    failed_accepts += other.failed_accepts;
    malformed += other.malformed;
    timed_out += other.timed_out;
    return *this;
}

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
    for (const auto& [key, weak] : m_connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        if (connection != nullptr) {
            connection->apply_limits();
        }
    }
}

void HttpListener::set_max_connections(std::size_t connections) {
    m_options.max_connections = connections;
}

void HttpListener::on_ready(int /*modes*/) {
    int accepted = 0;
    while (accept_one() && ++accepted < MAX_ACCEPTS_PER_ROUND && has_waiting_connection()) {
    }
}

void HttpListener::queue_buffered(const std::shared_ptr<HttpServerConnection>& connection) {
    m_buffered.push_back(connection);
    post_read_buffered();
}

void HttpListener::post_read_buffered() {
    if (!m_reads_buffered) {
        m_loop.post([self = shared_from_this()] { self->read_buffered(); });
        m_reads_buffered = true;
    }
}

void HttpListener::read_buffered() {
    m_reads_buffered = false;
    // A connection that is answered at once queues itself again.
    const std::size_t count = std::min(m_buffered.size(), MAX_BUFFERED_PER_ROUND);
    for (std::size_t i = 0; i < count; ++i) {
        const std::shared_ptr<HttpServerConnection> connection = m_buffered.front().lock();
        m_buffered.pop_front();
        if (connection != nullptr &&
            !run_guarded("listener", [&connection] { connection->read_buffered(); })) {
            run_guarded("listener", [&connection] { connection->on_exception(); });
        }
    }
    if (!m_buffered.empty()) {
        post_read_buffered();
    }
}

bool HttpListener::has_waiting_connection() const {
    return m_socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
}

bool HttpListener::accept_one() {
    try {
        TcpStream stream(m_socket.acceptConnection());
        if (m_connections.size() >= m_options.max_connections && !make_room()) {
            ++m_counts.refused_over_limit;
            stream.close();
        } else {
            add_connection(std::move(stream));
        }
        return true;
    } catch (const Poco::Exception& error) {
        // None is waiting, or the caller disconnected before the accept.
        if (is_out_of_resources(error.code())) {
            ++m_counts.failed_accepts;
            pause_accepting();
        }
        return false;
    }
}

void HttpListener::add_connection(TcpStream stream) {
    ++m_counts.accepted;
    stream.detect_dead_peer();
    const std::shared_ptr<HttpServerConnection> connection(
        new HttpServerConnection(shared_from_this(), std::move(stream)));
    m_connections.emplace(connection.get(), connection);
    if (!run_guarded("listener", [&connection] { connection->start(); })) {
        connection->close();
    }
}

bool HttpListener::make_room() {
    if (m_options.at_connection_limit == AtConnectionLimit::refuse_new) {
        return false;
    }
    const Time now = monotonic_now();
    const auto is_waiting = [now](const HttpServerConnection& connection) {
        return connection.is_waiting(now);
    };
    std::vector<std::shared_ptr<HttpServerConnection>> waiting = connections_that(is_waiting);
    const std::size_t closed =
        std::min(waiting.size(), 1 + m_options.max_connections / EVICTED_TOGETHER_DIVISOR);
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(closed);
    const auto is_evicted_before = [](const std::shared_ptr<HttpServerConnection>& left,
                                      const std::shared_ptr<HttpServerConnection>& right) {
        return std::make_pair(left->has_completed_request(), left->waiting_since()) <
               std::make_pair(right->has_completed_request(), right->waiting_since());
    };
    std::partial_sort(waiting.begin(), end, waiting.end(), is_evicted_before);
    for (auto candidate = waiting.begin(); candidate != end; ++candidate) {
        ++m_counts.evicted;
        (*candidate)->close();
    }
    return closed > 0;
}

void HttpListener::pause_accepting() {
    if (m_is_paused || !m_accepting) {
        return;
    }
    m_is_paused = true;
    m_loop.unwatch(m_socket);
    const std::weak_ptr<HttpListener> weak = weak_from_this();
    m_loop.run_at(monotonic_now() + ACCEPT_PAUSE, [weak] {
        const std::shared_ptr<HttpListener> listener = weak.lock();
        if (listener != nullptr && listener->m_accepting) {
            listener->m_is_paused = false;
            listener->m_loop.watch(listener->m_socket, Poco::Net::PollSet::POLL_READ, listener);
        }
    });
}

void HttpListener::close_after_responses() {
    m_close_after_responses = true;
}

std::vector<std::shared_ptr<HttpServerConnection>> HttpListener::connections_that(
    const std::function<bool(const HttpServerConnection&)>& condition) const {
    std::vector<std::shared_ptr<HttpServerConnection>> found;
    for (const auto& [key, weak] : m_connections) {
        const std::shared_ptr<HttpServerConnection> connection = weak.lock();
        if (connection != nullptr && condition(*connection)) {
            found.push_back(connection);
        }
    }
    return found;
}

void HttpListener::close_idle() {
    const auto is_idle = [](const HttpServerConnection& connection) {
        return connection.is_idle();
    };
    for (const std::shared_ptr<HttpServerConnection>& connection : connections_that(is_idle)) {
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
    const auto is_any = [](const HttpServerConnection& /*connection*/) {
        return true;
    };
    for (const std::shared_ptr<HttpServerConnection>& connection : connections_that(is_any)) {
        connection->close();
    }
}

void HttpListener::sweep(Time now) {
    const auto is_overdue = [now](const HttpServerConnection& connection) {
        return connection.overdue(now) != HttpServerConnection::Overdue::nothing;
    };
    for (const std::shared_ptr<HttpServerConnection>& connection : connections_that(is_overdue)) {
        connection->end_overdue(now);
    }
}

std::size_t HttpListener::busy_connections() const {
    const auto is_busy = [](const HttpServerConnection& connection) {
        return !connection.is_idle();
    };
    return connections_that(is_busy).size();
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
