// Asks other nodes, once at the start of this one, for state that the platform's store has lost.
//
// Several nodes are asked at the same time, and the first complete answer counts. If none comes
// within `INQUIRY_TIME`, the node starts with what the store has.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "front/unconfirmed_state.h"
#include "io/event_loop.h"
#include "io/metrics.h"
#include "io/peer_sessions.h"

namespace ebonymount {

/// Path of the call; the number is the version of the messages.
constexpr const char* STATE_INQUIRY_PATH = "/unconfirmed-state/1";

/// Maximum time by which the inquiry delays a start.
constexpr Duration INQUIRY_TIME = from_ms(500);

/// Number of nodes that are asked.
constexpr std::size_t INQUIRED_NODES = 3;

class StateInquiry {
public:
    using EndHandler = std::function<void(const std::optional<UnconfirmedState>&)>;

    StateInquiry(EventLoop& loop, Metrics& metrics);

    /// Asks the nodes at these addresses what the store lacks, as of its era `era`. `on_end` is
    /// called once, without a value if no node knows; not if the object is gone.
    void begin(const std::vector<std::string>& addresses, std::int64_t era, EndHandler on_end);

private:
    void ask(const std::string& address);
    void take_answer(const std::string& address, const StateAnswer& answer);
    void end(const std::optional<UnconfirmedState>& state);

    EventLoop& m_loop;
    /// Calls may end after the object is gone; their handlers check here whether it still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TrafficCounters m_traffic;
    PeerPool m_peers;
    std::string m_request;
    std::size_t m_open_calls = 0;
    /// Empty once the inquiry has ended.
    EndHandler m_on_end;
};

}  // namespace ebonymount
