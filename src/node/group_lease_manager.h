// Runs the lease state machines of the target groups in this node's data centre and performs their
// actions.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "cluster/group_lease_machine.h"
#include "io/peer_sessions.h"
#include "io/platform_client.h"
#include "node/node_state.h"
#include "node/relay.h"

namespace ebonymount {

class GroupLeaseManager {
public:
    GroupLeaseManager(NodeState& state, PlatformClient& platform, Relay& relay, PeerPool& peers);
    ~GroupLeaseManager();
    GroupLeaseManager(const GroupLeaseManager&) = delete;
    GroupLeaseManager& operator=(const GroupLeaseManager&) = delete;
    GroupLeaseManager(GroupLeaseManager&&) = delete;
    GroupLeaseManager& operator=(GroupLeaseManager&&) = delete;

    void start();

    /// Accepts a predecessor's handover, as encoded by `encode_handover`. It is applied at the next
    /// tick.
    Result<Done> receive_handover(const std::string& bytes);

    /// Hands over every lease and ends the thread. Blocks until the thread has ended.
    void stop_gracefully();

    /// Encodes a handover as MessagePack.
    static std::string encode_handover(const std::string& group, std::int64_t epoch,
                                       const AdmissionStates& admissions);

private:
    struct Handover {
        std::int64_t epoch = 0;
        AdmissionStates admissions;
    };

    void run();
    void tick(bool stopping);
    void advance(const std::string& group, GroupLeaseMachine& machine, const LeaseEvent& event);
    std::optional<LeaseEvent> perform(const std::string& group, const LeaseAction& action);
    LeaseEvent read_lease(const std::string& group);
    LeaseEvent write_lease(const std::string& group, const WriteLease& write);
    void open_group(const std::string& group, const OpenGroup& open);
    void notify_successor(const std::string& group, std::int64_t epoch);
    void publish(const std::string& group, const GroupLeaseRecord& record);
    void apply_handovers();
    LeaseContext lease_context(const std::string& group, const GroupLeaseMachine& machine);
    bool holds_any() const;
    std::string assigned_holder_of(const std::string& group) const;
    std::vector<std::string> candidates(bool stopping) const;

    NodeState& m_state;
    PlatformClient& m_platform;
    Relay& m_relay;
    PeerPool& m_peers;
    // The members from here to `m_mutex` are accessed by `m_thread` only.
    std::map<std::string, GroupLeaseMachine> m_machines;
    std::map<std::string, std::string> m_assigned_holders;
    std::map<std::string, AdmissionStates> m_drained_admissions;
    /// True while the current tick is part of a graceful stop.
    bool m_is_stopping_tick = false;
    /// True when leases may move to other nodes: the platform is reachable and a node can hold
    /// them.
    bool m_may_rebalance = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Handover> m_handovers;
    bool m_handover_arrived = false;
    bool m_stopping = false;
    std::thread m_thread;
};

}  // namespace ebonymount
