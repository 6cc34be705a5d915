// One thread that watches sockets and runs posted tasks.
//
// All sessions between nodes of one process live on one loop, so their state needs no lock. Other
// threads reach a session only by posting a task.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace ebonymount {

/// A socket's owner as the loop sees it. Registered owners are kept alive by the loop.
class SocketOwner {
public:
    SocketOwner() = default;
    SocketOwner(const SocketOwner&) = delete;
    SocketOwner& operator=(const SocketOwner&) = delete;
    SocketOwner(SocketOwner&&) = delete;
    SocketOwner& operator=(SocketOwner&&) = delete;
    virtual ~SocketOwner() = default;

    /// Called on the loop's thread with the ready modes of `Poco::Net::PollSet`.
    virtual void on_ready(int modes) = 0;
};

class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    EventLoop(EventLoop&&) = delete;
    EventLoop& operator=(EventLoop&&) = delete;

    /// Runs the task on the loop's thread; tasks run in the order of their posting.
    void post(std::function<void()> task);

    /// Starts or changes the watch of a socket. Only on the loop's thread.
    void watch(const Poco::Net::Socket& socket, int modes, std::shared_ptr<SocketOwner> owner);

    /// Ends the watch of a socket. Only on the loop's thread.
    void unwatch(const Poco::Net::Socket& socket);

    /// Ends the thread; later tasks are dropped.
    void stop();

private:
    void run();
    void run_tasks();
    void wake();
    void dispatch();

    Poco::Net::PollSet m_sockets;
    Poco::Net::DatagramSocket m_wake_receiver;
    Poco::Net::DatagramSocket m_wake_sender;
    std::map<Poco::Net::Socket, std::shared_ptr<SocketOwner>> m_owners;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    bool m_wake_sent = false;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

}  // namespace ebonymount
