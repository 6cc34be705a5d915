#include "io/event_loop.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

#include "io/exception_guard.h"

namespace ebonymount {
namespace {

/// Poll timeout when no timer is due earlier.
constexpr int IDLE_POLL_MS = 1000;

}  // namespace

EventLoop::EventLoop(LoopThread thread) {
    m_wake_receiver.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_wake_receiver.setBlocking(false);
    m_wake_sender.connect(m_wake_receiver.address());
    m_sockets.add(m_wake_receiver, Poco::Net::PollSet::POLL_READ);
    if (thread == LoopThread::own) {
        m_thread = std::thread([this] { run(); });
    }
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
    if (m_owners.count(socket.impl()) > 0) {
        m_sockets.update(socket, modes);
    } else {
        m_sockets.add(socket, modes);
    }
    m_owners[socket.impl()] = std::move(owner);
}

void EventLoop::unwatch(const Poco::Net::Socket& socket) {
    if (m_owners.erase(socket.impl()) > 0) {
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
        run_guarded("loop", [this] { poll_sockets(); });
        run_tasks();
        run_timers();
    }
    m_owners.clear();
}

TimerId EventLoop::run_at(Time due, std::function<void()> task) {
    // A time that has passed becomes the next poll's, so that a timer that sets itself again keeps
    // the loop from no socket.
    due = std::max(due, m_polled_at + Duration{1});
    const TimerId timer = m_next_timer++;
    m_timers.emplace(std::make_pair(due, timer), std::move(task));
    m_due_times.emplace(timer, due);
    return timer;
}

void EventLoop::cancel(TimerId timer) {
    const auto found = m_due_times.find(timer);
    if (found != m_due_times.end()) {
        m_timers.erase({found->second, timer});
        m_due_times.erase(found);
    }
}

void EventLoop::run_timers() {
    // A timer that became due while sockets were served waits for one more poll, so that a response
    // that has arrived is read before the timeout for it fires.
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_polled_at) {
        const std::function<void()> task = std::move(m_timers.begin()->second);
        m_due_times.erase(m_timers.begin()->first.second);
        m_timers.erase(m_timers.begin());
        run_guarded("loop", task);
    }
}

Poco::Timespan EventLoop::time_to_next_timer() const {
    const Duration idle = from_ms(IDLE_POLL_MS);
    const Duration remaining =
        m_timers.empty() ? idle : std::min(idle, m_timers.begin()->first.first - monotonic_now());
    // Poll timeouts are whole milliseconds; rounding down would cause a busy loop until the timer
    // is due.
    const std::int64_t whole_ms =
        remaining <= Duration::zero() ? 0 : (remaining.count() + 999) / 1000;
    return Poco::Timespan(whole_ms * Poco::Timespan::MILLISECONDS);
}

void EventLoop::poll_sockets() {
    const Poco::Net::PollSet::SocketModeMap ready = m_sockets.poll(time_to_next_timer());
    m_polled_at = monotonic_now();
    for (const auto& [socket, modes] : ready) {
        if (socket == m_wake_receiver) {
            std::array<char, 64> discarded{};
            m_wake_receiver.receiveBytes(discarded.data(), static_cast<int>(discarded.size()));
            continue;
        }
        notify_owner(socket, modes);
    }
}

void EventLoop::notify_owner(const Poco::Net::Socket& socket, int modes) {
    const auto found = m_owners.find(socket.impl());
    if (found == m_owners.end()) {
        return;
    }
    const std::shared_ptr<SocketOwner> owner = found->second;
    if (!run_guarded("loop", [&owner, modes] { owner->on_ready(modes); })) {
        run_guarded("loop", [&owner] { owner->on_exception(); });
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
        run_guarded("loop", task);
    }
}

void EventLoop::wake() {
    // Without the byte, the loop notices at its next timer.
    run_guarded("loop", [this] {
        const char byte = 1;
        m_wake_sender.sendBytes(&byte, 1);
    });
}

}  // namespace ebonymount
