#include "link.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

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

/// A forwarded connection: the client's socket (`near`) and the server's socket (`far`).
struct Link::Pipe : std::enable_shared_from_this<Link::Pipe> {
    struct Chunk {
        Time due;
        std::string bytes;
    };
    /// One direction: bytes that were read at the source and wait to be sent at the sink.
    struct Flow {
        std::deque<Chunk> waiting;
        bool ended = false;
        bool end_forwarded = false;
        /// Reset the connection once all waiting bytes are sent.
        bool truncated = false;
    };

    Pipe(const std::shared_ptr<Link>& owner, const Poco::Net::StreamSocket& client,
         ebonymount::TcpStream server)
        : link(owner), near(client), far(std::move(server)) {}

    void start();
    void watch();
    void read(LinkDirection way);
    void pump(LinkDirection way);
    void close(bool reset);

    ebonymount::TcpStream& source(LinkDirection way) {
        return way == LinkDirection::there ? near : far;
    }
    ebonymount::TcpStream& sink(LinkDirection way) {
        return way == LinkDirection::there ? far : near;
    }
    Flow& flow(LinkDirection way) {
        return way == LinkDirection::there ? there : back;
    }

    std::shared_ptr<Link> link;
    ebonymount::TcpStream near;
    ebonymount::TcpStream far;
    Flow there;
    Flow back;
    std::shared_ptr<End> near_end;
    std::shared_ptr<End> far_end;
    bool connected = false;
    bool silent = false;
    bool closed = false;
};

/// Handles the events of one socket of a pipe.
class Link::End : public ebonymount::SocketOwner {
public:
    End(const std::shared_ptr<Pipe>& pipe, LinkDirection reads) : m_pipe(pipe), m_reads(reads) {}

    void on_ready(int modes) override {
        const std::shared_ptr<Pipe> pipe = m_pipe;
        if (m_reads == LinkDirection::back && !pipe->connected) {
            if (pipe->far.connect_error() != 0) {
                pipe->close(true);
                return;
            }
            pipe->connected = true;
            pipe->pump(LinkDirection::there);
        }
        if ((modes & PollSet::POLL_WRITE) != 0 && !pipe->closed) {
            const LinkDirection writes =
                m_reads == LinkDirection::there ? LinkDirection::back : LinkDirection::there;
            pipe->pump(writes);
        }
        if ((modes & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0 && !pipe->closed) {
            pipe->read(m_reads);
        }
    }

private:
    std::shared_ptr<Pipe> m_pipe;
    LinkDirection m_reads;
};

void Link::Pipe::start() {
    near_end = std::make_shared<End>(shared_from_this(), LinkDirection::there);
    far_end = std::make_shared<End>(shared_from_this(), LinkDirection::back);
    watch();
}

void Link::Pipe::watch() {
    if (closed) {
        return;
    }
    const auto modes = [](bool reads, bool writes) {
        return (reads ? PollSet::POLL_READ : 0) | (writes ? PollSet::POLL_WRITE : 0) |
               PollSet::POLL_ERROR;
    };
    link->m_loop.watch(near.socket(), modes(!there.ended, near.has_unsent()), near_end);
    link->m_loop.watch(far.socket(), modes(!back.ended, !connected || far.has_unsent()), far_end);
}

void Link::Pipe::read(LinkDirection way) {
    Flow& flow_read = flow(way);
    std::string bytes;
    const StreamState state = source(way).receive(bytes);
    if (state == StreamState::broken) {
        close(true);
        return;
    }
    if (way == LinkDirection::back && ebonymount::uniform(link->m_random) < link->m_spoiled_share) {
        if (ebonymount::uniform(link->m_random) < 0.5) {
            bytes += std::string(bytes);
        } else {
            bytes.resize(bytes.size() / 2);
            flow_read.truncated = true;
        }
    }
    if (!bytes.empty() && !silent) {
        const double wait_ms = link->m_parameters.delay_ms +
                               link->m_parameters.jitter_ms * ebonymount::uniform(link->m_random);
        Time due = monotonic_now() + Duration(static_cast<std::int64_t>(wait_ms * 1000.0));
        if (!flow_read.waiting.empty()) {
            due = std::max(due, flow_read.waiting.back().due);
        }
        flow_read.waiting.push_back({due, std::move(bytes)});
        const std::weak_ptr<Pipe> weak = weak_from_this();
        link->m_loop.run_at(due, [weak, way] {
            const std::shared_ptr<Pipe> pipe = weak.lock();
            if (pipe != nullptr && !pipe->closed) {
                pipe->pump(way);
            }
        });
    }
    if (state == StreamState::ended) {
        flow_read.ended = true;
        pump(way);
    }
}

void Link::Pipe::pump(LinkDirection way) {
    if (closed || link->is_frozen(way) || (way == LinkDirection::there && !connected)) {
        return;
    }
    Flow& sending = flow(way);
    const Time now = monotonic_now();
    StreamState state = sink(way).flush();
    while (state == StreamState::open && !sending.waiting.empty() &&
           sending.waiting.front().due <= now) {
        state = sink(way).send(std::move(sending.waiting.front().bytes));
        sending.waiting.pop_front();
    }
    if (state == StreamState::broken) {
        close(true);
        return;
    }
    if (sending.truncated && sending.waiting.empty() && !sink(way).has_unsent()) {
        close(true);
        return;
    }
    if (sending.ended && sending.waiting.empty() && !sink(way).has_unsent() && !silent) {
        if (!sending.end_forwarded) {
            sending.end_forwarded = true;
            sink(way).shutdown_send();
        }
        if (there.end_forwarded && back.end_forwarded) {
            close(false);
            return;
        }
    }
    watch();
}

void Link::Pipe::close(bool reset) {
    if (closed) {
        return;
    }
    const std::shared_ptr<Pipe> keep = shared_from_this();
    closed = true;
    for (ebonymount::TcpStream* stream : {&near, &far}) {
        if (reset) {
            stream->reset_on_close();
        }
        link->m_loop.unwatch(stream->socket());
        stream->close();
    }
    near_end.reset();
    far_end.reset();
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
        Poco::Net::StreamSocket client = m_listener.acceptConnection();
        if (m_cut) {
            client.setLinger(true, 0);
            client.close();
            return;
        }
        const std::shared_ptr<Pipe> pipe = std::make_shared<Pipe>(
            shared_from_this(), client,
            ebonymount::TcpStream::connect(Poco::Net::SocketAddress(m_parameters.forward)));
        pipe->start();
        std::erase_if(m_pipes, [](const std::weak_ptr<Pipe>& weak) { return weak.expired(); });
        m_pipes.push_back(pipe);
    } catch (const Poco::Exception&) {
        // The client has disconnected, or connecting to the server failed at once. The client's
        // socket closes here.
        return;
    }
}

bool Link::is_frozen(LinkDirection way) const {
    return way == LinkDirection::there ? m_frozen_there : m_frozen_back;
}

void Link::pump_all() {
    const std::list<std::weak_ptr<Pipe>> pipes = m_pipes;
    for (const std::weak_ptr<Pipe>& weak : pipes) {
        const std::shared_ptr<Pipe> pipe = weak.lock();
        if (pipe != nullptr) {
            pipe->pump(LinkDirection::there);
            pipe->pump(LinkDirection::back);
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

void Link::set_frozen(bool frozen, LinkDirection way) {
    m_frozen_there = way == LinkDirection::back ? m_frozen_there : frozen;
    m_frozen_back = way == LinkDirection::there ? m_frozen_back : frozen;
    if (!frozen) {
        pump_all();
    }
}

void Link::reset_connections(double share) {
    const std::list<std::weak_ptr<Pipe>> pipes = m_pipes;
    for (const std::weak_ptr<Pipe>& weak : pipes) {
        const std::shared_ptr<Pipe> pipe = weak.lock();
        if (pipe != nullptr && ebonymount::uniform(m_random) < share) {
            pipe->close(true);
        }
    }
}

void Link::silence_connections(double share) {
    for (const std::weak_ptr<Pipe>& weak : m_pipes) {
        const std::shared_ptr<Pipe> pipe = weak.lock();
        if (pipe != nullptr && ebonymount::uniform(m_random) < share) {
            pipe->silent = true;
        }
    }
}

void Link::set_corrupted_share(double share) {
    m_spoiled_share = share;
}

const std::string& Link::name() const {
    return m_parameters.name;
}

}  // namespace standin
