// A TCP link between data centres: forwards connections with delay and jitter, and can be cut,
// reset or frozen while it runs.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace standin {

struct LinkTraits {
    std::string name;
    std::string listen;
    std::string forward;
    double delay_ms = 4.0;
    double jitter_ms = 0.5;
};

class Link {
public:
    explicit Link(const LinkTraits& traits);
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    Link(Link&&) = delete;
    Link& operator=(Link&&) = delete;

    void set_delay(double delay_ms, double jitter_ms);
    /// A cut link closes what is open and refuses what is new.
    void set_cut(bool cut);
    /// A frozen link keeps its connections and forwards nothing until it is thawed.
    void set_frozen(bool frozen);

    const std::string& name() const {
        return m_traits.name;
    }
    std::string address() const;

private:
    struct Pipe;

    void accept_loop();
    void pump(const std::shared_ptr<Pipe>& pipe, bool forwards);

    LinkTraits m_traits;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_cut{false};
    std::atomic<bool> m_frozen{false};
    std::atomic<double> m_delay_ms;
    std::atomic<double> m_jitter_ms;
    std::mutex m_mutex;
    std::list<std::shared_ptr<Pipe>> m_pipes;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

}  // namespace standin
