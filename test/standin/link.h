// A TCP link that forwards connections with delay and jitter, and can be cut, frozen, reset or
// silenced while it runs. Links of one event loop live on its thread.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "base/random.h"
#include "io/event_loop.h"
#include "io/http_listener.h"

namespace standin {

struct LinkTraits {
    std::string name;
    std::string listen;
    std::string forward;
    double delay_ms = 4.0;
    double jitter_ms = 0.5;
};

/// Directions of a link, as its clients see them.
enum class Way : std::uint8_t { there, back, both };

class Link : public ebonymount::SocketOwner, public std::enable_shared_from_this<Link> {
public:
    /// Listens and forwards until the loop ends; throws Poco::Exception if the address is taken.
    static std::shared_ptr<Link> open(ebonymount::EventLoop& loop, const LinkTraits& traits);

    void set_delay(double delay_ms, double jitter_ms);
    /// A cut link resets what is open and what is new.
    void set_cut(bool cut);
    /// A frozen way keeps its bytes, as a partition does, and sends them once it is thawed.
    void set_frozen(bool frozen, Way way = Way::both);
    /// Resets each open connection with that probability.
    void reset_open(double share);
    /// Open connections lose everything from now on and stay open; new ones work.
    void silence_open(double share);
    /// Part of the reads on the way back that are cut short, with a reset, or sent twice.
    void set_spoiled(double share);

    const std::string& name() const;

    void on_ready(int modes) override;

private:
    struct Pipe;
    class End;

    Link(ebonymount::EventLoop& loop, const LinkTraits& traits);
    bool is_frozen(Way way) const;
    void pump_all();

    ebonymount::EventLoop& m_loop;
    LinkTraits m_traits;
    Poco::Net::ServerSocket m_listener;
    ebonymount::Random m_random;
    bool m_cut = false;
    bool m_frozen_there = false;
    bool m_frozen_back = false;
    double m_spoiled = 0.0;
    std::list<std::weak_ptr<Pipe>> m_pipes;
};

}  // namespace standin
