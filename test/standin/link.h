// Stand-in for a network link: forwards TCP connections with delay and jitter. Faults can be set
// while it runs: the link can be cut or frozen, its connections reset or silenced, and its bytes
// spoiled. A link is used only on the thread of its event loop.
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
    std::string listen;
    std::string forward;
    double delay_ms = 4.0;
    double jitter_ms = 0.5;
};

/// Directions of a link: from client to server (there), from server to client (back), or both.
enum class LinkDirection : std::uint8_t { to_server, to_client, both };

class Link : public ebonymount::SocketOwner, public std::enable_shared_from_this<Link> {
public:
    /// Listens and forwards until the loop stops; throws Poco::Exception if the address is taken.
    static std::shared_ptr<Link> open(ebonymount::EventLoop& loop,
                                      const LinkParameters& parameters);

    void set_delay(double delay_ms, double jitter_ms);
    /// A cut link resets open connections and new ones.
    void set_cut(bool cut);
    /// A frozen direction holds its bytes, as a network partition does, and sends them once it is
    /// no longer frozen.
    void set_frozen(bool frozen, LinkDirection direction = LinkDirection::both);
    /// Resets each open connection with the probability `share`.
    void reset_connections(double share);
    /// Silences each open connection with the probability `share`: it stays open, but all bytes
    /// that arrive from now on are lost. New connections work.
    void silence_connections(double share);
    /// Spoils reads from the server with the probability `share`: half of them are forwarded
    /// twice, the others are cut short and the connection is reset.
    void set_corrupted_share(double share);

    const std::string& name() const;

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
