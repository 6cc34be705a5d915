// Takes, renews, hands over and leaves the seats of this node's data centre.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "io/peer_link.h"
#include "io/platform_client.h"
#include "node/node_state.h"
#include "node/relay.h"

namespace ebonymount {

class SeatKeeper {
public:
    SeatKeeper(NodeState& state, PlatformClient& platform, Relay& relay, PeerPool& peers);
    ~SeatKeeper();
    SeatKeeper(const SeatKeeper&) = delete;
    SeatKeeper& operator=(const SeatKeeper&) = delete;
    SeatKeeper(SeatKeeper&&) = delete;
    SeatKeeper& operator=(SeatKeeper&&) = delete;

    void start();

    /// A predecessor has released the seat to this node; `epoch` is the released one.
    void on_handover(const std::string& seat, std::int64_t epoch, const WarmLedgers& ledgers);

    /// Hands every seat over and ends the thread. Blocks until that is done.
    void stop_gracefully();

    /// Encodes a hand-over for a peer, and back.
    static std::string encode_handover(const std::string& seat, std::int64_t epoch,
                                       const WarmLedgers& ledgers);
    Result<Done> receive_handover(const std::string& bytes);

private:
    struct HeldSeat {
        SeatRecord record;
        std::int64_t version = 0;
        Time next_renewal{};
        std::optional<Time> unwanted_since;
    };
    struct WatchedSeat {
        SeatWatch watch;
        std::int64_t version = 0;
        Time next_poll{};
    };
    struct Handover {
        std::int64_t epoch = 0;
        WarmLedgers ledgers;
    };

    void run();
    void tick();
    void tend_held(const std::string& seat, const std::string& wanted_holder, Time now);
    void tend_other(const std::string& seat, bool is_wanted, Time now);
    void renew(const std::string& seat, HeldSeat& held);
    void confirm_renewal(const std::string& seat, HeldSeat& held, Time sent);
    void take(const std::string& seat, WatchedSeat& watched);
    void hold(const std::string& seat, const SeatRecord& record, std::int64_t version, Time sent,
              const WarmLedgers& ledgers);
    void hand_over(const std::string& seat, const std::string& successor);
    void lose(const std::string& seat);
    bool is_unused_own(const std::string& seat, const SeatRecord& record) const;
    void publish(const std::string& seat, const SeatRecord& record);
    WarmLedgers warm_ledgers(const std::string& seat, const SeatRecord& last);
    std::vector<SeatUse> gone_uses(const std::string& seat, const SeatRecord& record);

    NodeState& m_state;
    PlatformClient& m_platform;
    Relay& m_relay;
    PeerPool& m_peers;
    std::map<std::string, HeldSeat> m_held;
    std::map<std::string, WatchedSeat> m_watched;
    /// Epochs that were left to lapse because a request still ran, by seat.
    std::map<std::string, std::int64_t> m_still_running;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Handover> m_handovers;
    bool m_stopping = false;
    std::thread m_thread;
};

}  // namespace ebonymount
