// Votes among the nodes on trials of quarantined requests, while the platform's store is
// unavailable.
//
// Asks the voters of a request one after the other for the trial, and gives this node's votes. The
// decisions are in `policy/trial_vote.h`. A node that may not try the request learns from the
// voters that a target has answered it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "front/front_state.h"
#include "io/peer_sessions.h"
#include "policy/store_readers.h"
#include "policy/trial_vote.h"

namespace ebonymount {

class TrialVoting {
public:
    /// `started_at_ms` tells this start of the node from others.
    TrialVoting(FrontState& state, const Member& self, std::int64_t started_at_ms);

    /// The nodes that can be asked, this one among them.
    void set_members(const std::vector<Member>& members);

    /// Asks for the trial of a quarantined request. `on_end` is called once, with whether this node
    /// may make it; not if the object is gone. If a target has answered the request since its last
    /// crash, its crashes no longer count at this node.
    void ask(std::uint64_t request, std::function<void(bool is_won)> on_end);

    /// Tells the voters that a target of the service has answered the request.
    void announce(const AnsweredRequest& answered);

    /// The response to another node's call; empty if the call is none of these.
    std::optional<std::string> serve(const std::string& path, const std::string& body);

    /// Forgets old votes and closes sessions that are no longer used; to be called several times a
    /// second.
    void sweep(Time now);

private:
    /// One ballot of this node.
    struct Run;

    void ask_next(const std::shared_ptr<Run>& run);
    void call_voter(const std::shared_ptr<Run>& run, const std::string& address);
    void take_reply(const std::shared_ptr<Run>& run, const VoteReply& reply);
    void end(const std::shared_ptr<Run>& run);
    VoteReply vote(const VoteRequest& request);
    void tell(const std::string& address, const std::string& body, int attempts);
    /// Another node has told of an answer.
    void refute(const AnsweredRequest& answered);

    FrontState& m_state;
    std::string m_node;
    std::string m_candidate;
    Counter& m_won;
    Counter& m_lost;
    Counter& m_answered;
    /// Calls may end after the object is gone; their handlers check here whether it still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TrafficCounters m_traffic;
    /// Not shared with the feed of store updates: a session that hangs is closed.
    PeerPool m_peers;
    Time m_last_call{};
    bool m_has_sessions = false;
    std::vector<std::string> m_nodes;
    std::map<std::string, std::string> m_addresses;
    TrialVotes m_votes;
};

}  // namespace ebonymount
