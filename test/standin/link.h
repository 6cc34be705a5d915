// Stand-in for a network link: forwards TCP connections with delay and jitter. Faults can be set
// while it runs: the link can be cut or frozen, its connections reset or silenced, and its bytes
// corrupted. A link is used only on the thread of its event loop.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "base/random.h"
#include "io/event_loop.h"
#include "io/http_listener.h"

namespace standin {

struct LinkParameters {
    std::string name;
    /// Address that clients connect to.
    std::string listen;
    /// Address of the server.
    std::string forward;
    /// One-way delay, and the maximum of the random delay that is added to it.
    double delay_ms = 4.0;
    double jitter_ms = 0.5;
};

/// Directions of a link, named after the side that receives the bytes.
enum class LinkDirection : std::uint8_t { to_server, to_client, both };

class Link : public ebonymount::SocketOwner, public std::enable_shared_from_this<Link> {
public:
    /// Listens and forwards until the loop stops; throws Poco::Exception if the address is taken.
    static std::shared_ptr<Link> open(ebonymount::EventLoop& loop,
                                      const LinkParameters& parameters);

    /// Applies to bytes that arrive from now on.
    void set_delay(double delay_ms, double jitter_ms);
    /// A cut link resets its connections, and each new one when it is accepted.
    void set_cut(bool cut);
    /// A frozen direction keeps its bytes back, as a network partition does, and sends them once it
    /// is no longer frozen.
    void set_frozen(bool frozen, LinkDirection direction = LinkDirection::both);
    /// Resets each open connection with the probability `share`.
    void reset_connections(double share);
    /// Silences each open connection with the probability `share`: it stays open, but all bytes
    /// that arrive from now on are lost. New connections work.
    void silence_connections(double share);
    /// Corrupts each read from the server with the probability `share`: half of the corrupted reads
    /// are forwarded twice; of the others, half the bytes are forwarded and the connection is
    /// reset.
    void set_corrupted_share(double share);

    const std::string& name() const;

    /// Number of open connections.
    std::size_t connections() const;

    void on_ready(int modes) override;

private:
    struct Connection;
    class SocketHandler;

    Link(ebonymount::EventLoop& loop, const LinkParameters& parameters);
    bool is_frozen(LinkDirection direction) const;
    void pump_all();

    ebonymount::EventLoop& m_loop;
    LinkParameters m_parameters;
    Poco::Net::ServerSocket m_listener;
    ebonymount::Random m_random;
    bool m_cut = false;
    bool m_frozen_to_server = false;
    bool m_frozen_to_client = false;
    double m_corrupted_share = 0.0;
    std::list<std::weak_ptr<Connection>> m_connections;
};

}  // namespace standin
