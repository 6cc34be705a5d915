// Runs the lease state machines of the target groups in this node's data centre and performs their
// actions.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "cluster/seat_machine.h"
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

    /// Accepts a predecessor's handover, as encoded by `encode_handover`.
    Result<Done> receive_handover(const std::string& bytes);

    /// Hands over every lease and ends the thread. Blocks until that is done.
    void stop_gracefully();

    static std::string encode_handover(const std::string& seat, std::int64_t epoch,
                                       const WarmLedgers& ledgers);

private:
    struct Handover {
        std::int64_t epoch = 0;
        WarmLedgers ledgers;
    };

    void run();
    void tick(bool stopping);
    void advance(const std::string& seat, SeatMachine& machine, const SeatEvent& event);
    std::optional<SeatEvent> perform(const std::string& seat, const SeatAction& action);
    SeatEvent read_seat(const std::string& seat);
    SeatEvent write_seat(const std::string& seat, const WriteSeat& write);
    void open_seat(const std::string& seat, const OpenSeat& open);
    void tell_successor(const std::string& seat, std::int64_t epoch);
    void publish(const std::string& seat, const SeatRecord& record);
    void apply_handovers();
    SeatSurroundings surroundings(const std::string& seat, const SeatMachine& machine);
    bool holds_any() const;
    std::string assigned_holder_of(const std::string& seat) const;
    std::vector<std::string> candidates(bool stopping) const;

    NodeState& m_state;
    PlatformClient& m_platform;
    Relay& m_relay;
    PeerPool& m_peers;
    /// Accessed by `m_thread` only, like the members up to `m_mutex`.
    std::map<std::string, SeatMachine> m_machines;
    std::map<std::string, std::string> m_assigned_holders;
    std::map<std::string, WarmLedgers> m_drained_ledgers;
    bool m_is_stopping_now = false;
    bool m_may_rebalance = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Handover> m_handovers;
    bool m_handover_arrived = false;
    bool m_stopping = false;
    std::thread m_thread;
};

}  // namespace ebonymount
