#include "link.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <chrono>
#include <deque>
#include <random>

namespace standin {

using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t CHUNK_BYTES = 65536;
const Poco::Timespan POLL_TIME(0, 50000);

std::chrono::microseconds from_ms(double milliseconds) {
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000.0));
}

}  // namespace

/// Two sockets that are forwarded to each other.
struct Link::Pipe {
    Poco::Net::StreamSocket near;
    Poco::Net::StreamSocket far;
    std::atomic<bool> closed{false};

    void close() {
        if (closed.exchange(true)) {
            return;
        }
        for (Poco::Net::StreamSocket* socket : {&near, &far}) {
            try {
                socket->shutdown();
            } catch (const Poco::Exception&) {
                // Already closed by its other end.
            }
        }
    }
};

Link::Link(const LinkTraits& traits)
    : m_traits(traits), m_delay_ms(traits.delay_ms), m_jitter_ms(traits.jitter_ms) {
    m_listener.bind(Poco::Net::SocketAddress(traits.listen), true);
    m_listener.listen(64);
    m_acceptor = std::thread([this] { accept_loop(); });
}

Link::~Link() {
    m_stopping = true;
    set_cut(true);
    m_acceptor.join();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void Link::set_delay(double delay_ms, double jitter_ms) {
    m_delay_ms = delay_ms;
    m_jitter_ms = jitter_ms;
}

void Link::set_cut(bool cut) {
    m_cut = cut;
    if (!cut) {
        return;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const std::shared_ptr<Pipe>& pipe : m_pipes) {
        pipe->close();
    }
    m_pipes.clear();
}

void Link::set_frozen(bool frozen) {
    m_frozen = frozen;
}

std::string Link::address() const {
    return m_listener.address().toString();
}

void Link::accept_loop() {
    while (!m_stopping) {
        if (!m_listener.poll(POLL_TIME, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const std::shared_ptr<Pipe> pipe = std::make_shared<Pipe>();
        try {
            pipe->near = m_listener.acceptConnection();
            if (m_cut) {
                pipe->near.close();
                continue;
            }
            pipe->far.connect(Poco::Net::SocketAddress(m_traits.forward));
            pipe->near.setNoDelay(true);
            pipe->far.setNoDelay(true);
        } catch (const Poco::Exception&) {
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pipes.push_back(pipe);
        m_threads.emplace_back([this, pipe] { pump(pipe, true); });
        m_threads.emplace_back([this, pipe] { pump(pipe, false); });
    }
}

/// Reads from one end and writes to the other when each chunk is due, in order.
void Link::pump(const std::shared_ptr<Pipe>& pipe, bool forwards) {
    struct Chunk {
        Clock::time_point due;
        std::string bytes;
    };
    Poco::Net::StreamSocket& source = forwards ? pipe->near : pipe->far;
    Poco::Net::StreamSocket& sink = forwards ? pipe->far : pipe->near;
    std::mt19937_64 random(std::hash<std::string>{}(m_traits.name) + (forwards ? 1 : 2));
    std::deque<Chunk> waiting;
    std::array<char, CHUNK_BYTES> buffer{};
    try {
        while (!pipe->closed && !m_stopping) {
            const Clock::time_point now = Clock::now();
            Poco::Timespan wait = POLL_TIME;
            if (!waiting.empty() && !m_frozen) {
                const std::int64_t left =
                    std::chrono::duration_cast<std::chrono::microseconds>(waiting.front().due - now)
                        .count();
                wait =
                    Poco::Timespan(std::max<std::int64_t>(0, std::min<std::int64_t>(left, 50000)));
            }
            if (source.poll(wait, Poco::Net::Socket::SELECT_READ)) {
                const int count =
                    source.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (count <= 0) {
                    break;
                }
                std::uniform_real_distribution<double> jitter(0.0, m_jitter_ms + 1e-9);
                Clock::time_point due = Clock::now() + from_ms(m_delay_ms + jitter(random));
                if (!waiting.empty()) {
                    due = std::max(due, waiting.back().due);
                }
                waiting.push_back(
                    {due, std::string(buffer.data(), static_cast<std::size_t>(count))});
            }
            while (!waiting.empty() && waiting.front().due <= Clock::now() && !m_frozen) {
                sink.sendBytes(waiting.front().bytes.data(),
                               static_cast<int>(waiting.front().bytes.size()));
                waiting.pop_front();
            }
        }
    } catch (const Poco::Exception&) {
        // One end broke; the other is closed below.
    }
    pipe->close();
}

}  // namespace standin
