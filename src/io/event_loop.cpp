#include "io/event_loop.h"

#include <Poco/Net/SocketAddress.h>

#include <array>

namespace ebonymount {
namespace {

constexpr int IDLE_POLL_MS = 1000;

}  // namespace

EventLoop::EventLoop() {
    m_wake_receiver.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_wake_receiver.setBlocking(false);
    m_wake_sender.connect(m_wake_receiver.address());
    m_sockets.add(m_wake_receiver, Poco::Net::PollSet::POLL_READ);
    m_thread = std::thread([this] { run(); });
}

EventLoop::~EventLoop() {
    stop();
}

void EventLoop::post(std::function<void()> task) {
    bool must_wake = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(task));
        must_wake = !m_wake_sent;
        m_wake_sent = true;
    }
    if (must_wake) {
        wake();
    }
}

void EventLoop::watch(const Poco::Net::Socket& socket, int modes,
                      std::shared_ptr<SocketOwner> owner) {
    if (m_owners.count(socket) > 0) {
        m_sockets.update(socket, modes);
    } else {
        m_sockets.add(socket, modes);
    }
    m_owners[socket] = std::move(owner);
}

void EventLoop::unwatch(const Poco::Net::Socket& socket) {
    if (m_owners.erase(socket) > 0) {
        m_sockets.remove(socket);
    }
}

void EventLoop::stop() {
    if (m_stopping.exchange(true)) {
        return;
    }
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EventLoop::run() {
    while (!m_stopping) {
        dispatch();
        run_tasks();
    }
    m_owners.clear();
}

void EventLoop::dispatch() {
    const Poco::Net::PollSet::SocketModeMap ready =
        m_sockets.poll(Poco::Timespan(IDLE_POLL_MS * Poco::Timespan::MILLISECONDS));
    for (const auto& [socket, modes] : ready) {
        if (socket == m_wake_receiver) {
            std::array<char, 64> sink{};
            m_wake_receiver.receiveBytes(sink.data(), static_cast<int>(sink.size()));
            continue;
        }
        const auto found = m_owners.find(socket);
        if (found != m_owners.end()) {
            const std::shared_ptr<SocketOwner> owner = found->second;
            owner->on_ready(modes);
        }
    }
}

void EventLoop::run_tasks() {
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_tasks);
        m_wake_sent = false;
    }
    for (const std::function<void()>& task : tasks) {
        task();
    }
}

void EventLoop::wake() {
    const char byte = 1;
    m_wake_sender.sendBytes(&byte, 1);
}

}  // namespace ebonymount
