// Single-threaded event loop: polls sockets and runs posted tasks and timers.
//
// All sessions of a loop run on its thread, so their state needs no lock. Other threads access a
// session only by posting a task.
//
// An exception of a task or timer ends that task or timer, one of a socket's owner ends the owner's
// connection. The loop goes on.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// Receives the events of a watched socket. The loop keeps registered owners alive.
class SocketOwner {
public:
    SocketOwner() = default;
    SocketOwner(const SocketOwner&) = delete;
    SocketOwner& operator=(const SocketOwner&) = delete;
    SocketOwner(SocketOwner&&) = delete;
    SocketOwner& operator=(SocketOwner&&) = delete;
    virtual ~SocketOwner() = default;

    /// Called on the loop's thread; `modes` are the ready modes of `Poco::Net::PollSet`.
    virtual void on_ready(int modes) = 0;

    /// Called after `on_ready` has ended with an exception: ends what was in progress. An owner
    /// that has nothing in progress, such as a listening socket, goes on.
    virtual void on_exception() {}
};

/// The thread that runs a loop.
enum class LoopThread : std::uint8_t {
    own,     ///< The loop starts its own thread, which runs until `stop`.
    caller,  ///< The thread that calls `run`.
};

/// Identifies a timer; ids increase in order of creation.
using TimerId = std::uint64_t;

/// Polls sockets and runs tasks and timers on one thread; the destructor stops the loop.
class EventLoop {
public:
    explicit EventLoop(LoopThread thread = LoopThread::own);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    EventLoop(EventLoop&&) = delete;
    EventLoop& operator=(EventLoop&&) = delete;

    /// Runs the task on the loop's thread, in posting order. May be called from any thread.
    void post(std::function<void()> task);

    /// Starts watching a socket, or changes its modes and owner. Only on the loop's thread.
    void watch(const Poco::Net::Socket& socket, int modes, std::shared_ptr<SocketOwner> owner);

    /// Stops watching a socket. Only on the loop's thread.
    void unwatch(const Poco::Net::Socket& socket);

    /// Runs the task once at or after `due`, and not before sockets have been polled if `due` has
    /// passed. Only on the loop's thread.
    TimerId run_at(Time due, std::function<void()> task);

    /// Cancels a timer that has not run. Only on the loop's thread.
    void cancel(TimerId timer);

    /// Runs the loop until `stop`. Only for `LoopThread::caller`.
    void run();

    /// Stops the loop; pending tasks and timers are dropped.
    void stop();

private:
    void run_tasks();
    void run_timers();
    Poco::Timespan time_to_next_timer() const;
    void wake();
    void poll_sockets();
    void notify_owner(const Poco::Net::Socket& socket, int modes);

    Poco::Net::PollSet m_sockets;
    Poco::Net::DatagramSocket m_wake_receiver;
    Poco::Net::DatagramSocket m_wake_sender;
    std::unordered_map<Poco::Net::SocketImpl*, std::shared_ptr<SocketOwner>> m_owners;
    std::map<std::pair<Time, TimerId>, std::function<void()>> m_timers;
    std::unordered_map<TimerId, Time> m_due_times;
    TimerId m_next_timer = 1;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    bool m_wake_sent = false;
    /// When the last poll returned.
    Time m_polled_at{};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

}  // namespace ebonymount
