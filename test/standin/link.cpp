#include "link.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <deque>
#include <vector>

#include "base/hash.h"
#include "io/tcp_stream.h"

namespace standin {

using ebonymount::Duration;
using ebonymount::monotonic_now;
using ebonymount::StreamState;
using ebonymount::Time;
using Poco::Net::PollSet;

namespace {

constexpr int BACKLOG = 256;

}  // namespace

/// A forwarded connection: the client's socket and the socket to the server.
struct Link::Connection : std::enable_shared_from_this<Link::Connection> {
    struct Chunk {
        Time due;
        std::string bytes;
    };
    /// State of one direction, with the bytes that were read at the source and not yet sent at the
    /// sink.
    struct Flow {
        std::deque<Chunk> waiting;
        /// The source has sent its last byte.
        bool ended = false;
        bool end_forwarded = false;
        /// Reset the connection once all waiting bytes are sent.
        bool truncated = false;
    };

    Connection(const std::shared_ptr<Link>& owner, const Poco::Net::StreamSocket& client_socket,
               ebonymount::TcpStream server_stream)
        : link(owner), client(client_socket), server(std::move(server_stream)) {}

    void start();
    void watch();
    void read(LinkDirection direction);
    void pump(LinkDirection direction);
    void close(bool reset);

    ebonymount::TcpStream& source(LinkDirection direction) {
        return direction == LinkDirection::to_server ? client : server;
    }
    ebonymount::TcpStream& sink(LinkDirection direction) {
        return direction == LinkDirection::to_server ? server : client;
    }
    Flow& flow(LinkDirection direction) {
        return direction == LinkDirection::to_server ? to_server : to_client;
    }

    std::shared_ptr<Link> link;
    ebonymount::TcpStream client;
    ebonymount::TcpStream server;
    Flow to_server;
    Flow to_client;
    std::shared_ptr<SocketHandler> client_handler;
    std::shared_ptr<SocketHandler> server_handler;
    bool connected = false;
    bool silent = false;
    bool closed = false;
};

/// Handles the events of one socket of a connection. `reads` is the direction of the bytes that are
/// read from this socket.
class Link::SocketHandler : public ebonymount::SocketOwner {
public:
    SocketHandler(const std::shared_ptr<Connection>& connection, LinkDirection reads)
        : m_connection(connection), m_reads(reads) {}

    void on_ready(int modes) override {
        const std::shared_ptr<Connection> connection = m_connection;
        if (m_reads == LinkDirection::to_client && !connection->connected) {
            if (connection->server.connect_error() != 0) {
                connection->close(true);
                return;
            }
            connection->connected = true;
            connection->pump(LinkDirection::to_server);
        }
        if ((modes & PollSet::POLL_WRITE) != 0 && !connection->closed) {
            const LinkDirection writes = m_reads == LinkDirection::to_server
                                             ? LinkDirection::to_client
                                             : LinkDirection::to_server;
            connection->pump(writes);
        }
        if ((modes & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0 && !connection->closed) {
            connection->read(m_reads);
        }
    }

private:
    std::shared_ptr<Connection> m_connection;
    LinkDirection m_reads;
};

void Link::Connection::start() {
    client_handler = std::make_shared<SocketHandler>(shared_from_this(), LinkDirection::to_server);
    server_handler = std::make_shared<SocketHandler>(shared_from_this(), LinkDirection::to_client);
    watch();
}

void Link::Connection::watch() {
    if (closed) {
        return;
    }
    const auto modes = [](bool reads, bool writes) {
        return (reads ? PollSet::POLL_READ : 0) | (writes ? PollSet::POLL_WRITE : 0) |
               PollSet::POLL_ERROR;
    };
    link->m_loop.watch(client.socket(), modes(!to_server.ended, client.has_unsent()),
                       client_handler);
    link->m_loop.watch(server.socket(), modes(!to_client.ended, !connected || server.has_unsent()),
                       server_handler);
}

void Link::Connection::read(LinkDirection direction) {
    Flow& received = flow(direction);
    std::string bytes;
    const StreamState state = source(direction).receive(bytes);
    if (state == StreamState::broken) {
        close(true);
        return;
    }
    if (direction == LinkDirection::to_client &&
        ebonymount::uniform(link->m_random) < link->m_corrupted_share) {
        if (ebonymount::uniform(link->m_random) < 0.5) {
            bytes += std::string(bytes);
        } else {
            bytes.resize(bytes.size() / 2);
            received.truncated = true;
        }
    }
    if (!bytes.empty() && !silent) {
        const double wait_ms = link->m_parameters.delay_ms +
                               link->m_parameters.jitter_ms * ebonymount::uniform(link->m_random);
        Time due = monotonic_now() + Duration(static_cast<std::int64_t>(wait_ms * 1000.0));
        if (!received.waiting.empty()) {
            due = std::max(due, received.waiting.back().due);
        }
        received.waiting.push_back({due, std::move(bytes)});
        const std::weak_ptr<Connection> weak = weak_from_this();
        link->m_loop.run_at(due, [weak, direction] {
            const std::shared_ptr<Connection> connection = weak.lock();
            if (connection != nullptr && !connection->closed) {
                connection->pump(direction);
            }
        });
    }
    if (state == StreamState::ended) {
        received.ended = true;
        pump(direction);
    }
}

void Link::Connection::pump(LinkDirection direction) {
    if (closed || link->is_frozen(direction) ||
        (direction == LinkDirection::to_server && !connected)) {
        return;
    }
    Flow& pending = flow(direction);
    const Time now = monotonic_now();
    StreamState state = sink(direction).flush();
    while (state == StreamState::open && !pending.waiting.empty() &&
           pending.waiting.front().due <= now) {
        state = sink(direction).send(std::move(pending.waiting.front().bytes));
        pending.waiting.pop_front();
    }
    if (state == StreamState::broken) {
        close(true);
        return;
    }
    if (pending.truncated && pending.waiting.empty() && !sink(direction).has_unsent()) {
        close(true);
        return;
    }
    if (pending.ended && pending.waiting.empty() && !sink(direction).has_unsent() && !silent) {
        if (!pending.end_forwarded) {
            pending.end_forwarded = true;
            sink(direction).shutdown_send();
        }
        if (to_server.end_forwarded && to_client.end_forwarded) {
            close(false);
            return;
        }
    }
    watch();
}

void Link::Connection::close(bool reset) {
    if (closed) {
        return;
    }
    const std::shared_ptr<Connection> keep_alive = shared_from_this();
    closed = true;
    for (ebonymount::TcpStream* stream : {&client, &server}) {
        if (reset) {
            stream->reset_on_close();
        }
        link->m_loop.unwatch(stream->socket());
        stream->close();
    }
    client_handler.reset();
    server_handler.reset();
}

Link::Link(ebonymount::EventLoop& loop, const LinkParameters& parameters)
    : m_loop(loop), m_parameters(parameters), m_random(ebonymount::stable_hash(parameters.name)) {
    m_listener.bind(Poco::Net::SocketAddress(parameters.listen), true);
    m_listener.listen(BACKLOG);
    m_listener.setBlocking(false);
}

std::shared_ptr<Link> Link::open(ebonymount::EventLoop& loop, const LinkParameters& parameters) {
    const std::shared_ptr<Link> link(new Link(loop, parameters));
    loop.watch(link->m_listener, PollSet::POLL_READ, link);
    return link;
}

void Link::on_ready(int /*modes*/) {
    try {
        Poco::Net::StreamSocket client_socket = m_listener.acceptConnection();
        if (m_cut) {
            client_socket.setLinger(true, 0);
            client_socket.close();
            return;
        }
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(
            shared_from_this(), client_socket,
            ebonymount::TcpStream::connect(Poco::Net::SocketAddress(m_parameters.forward)));
        connection->start();
        std::erase_if(m_connections,
                      [](const std::weak_ptr<Connection>& weak) { return weak.expired(); });
        m_connections.push_back(connection);
    } catch (const Poco::Exception&) {
        // The client has disconnected, or connecting to the server failed at once. The client's
        // socket closes here.
        return;
    }
}

bool Link::is_frozen(LinkDirection direction) const {
    return direction == LinkDirection::to_server ? m_frozen_to_server : m_frozen_to_client;
}

void Link::pump_all() {
    const std::list<std::weak_ptr<Connection>> connections = m_connections;
    for (const std::weak_ptr<Connection>& weak : connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection != nullptr) {
            connection->pump(LinkDirection::to_server);
            connection->pump(LinkDirection::to_client);
        }
    }
}

void Link::set_delay(double delay_ms, double jitter_ms) {
    m_parameters.delay_ms = delay_ms;
    m_parameters.jitter_ms = jitter_ms;
}

void Link::set_cut(bool cut) {
    m_cut = cut;
    if (cut) {
        reset_connections(1.0);
    }
}

void Link::set_frozen(bool frozen, LinkDirection direction) {
    m_frozen_to_server = direction == LinkDirection::to_client ? m_frozen_to_server : frozen;
    m_frozen_to_client = direction == LinkDirection::to_server ? m_frozen_to_client : frozen;
    if (!frozen) {
        pump_all();
    }
}

void Link::reset_connections(double share) {
    const std::list<std::weak_ptr<Connection>> connections = m_connections;
    for (const std::weak_ptr<Connection>& weak : connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection != nullptr && ebonymount::uniform(m_random) < share) {
            connection->close(true);
        }
    }
}

void Link::silence_connections(double share) {
    for (const std::weak_ptr<Connection>& weak : m_connections) {
        const std::shared_ptr<Connection> connection = weak.lock();
        if (connection != nullptr && ebonymount::uniform(m_random) < share) {
            connection->silent = true;
        }
    }
}

void Link::set_corrupted_share(double share) {
    m_corrupted_share = share;
}

std::size_t Link::connections() const {
    return static_cast<std::size_t>(std::count_if(
        m_connections.begin(), m_connections.end(), [](const std::weak_ptr<Connection>& weak) {
            const std::shared_ptr<Connection> connection = weak.lock();
            return connection != nullptr && !connection->closed;
        }));
}

const std::string& Link::name() const {
    return m_parameters.name;
}

}  // namespace standin
