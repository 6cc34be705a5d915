// Votes on a trial of a quarantined request while the platform's store is unavailable.
//
// Without the store no node can claim a numbered trial. One further trial exists for this case, and
// a node makes it once enough of the request's voters have given it their vote: a few nodes, the
// same for all nodes with the same list, in the order in which all nodes ask them. A voter gives
// its vote to one node, so two nodes cannot both win: their voters have at least one in common,
// also if one of the lists lacks the newest `MAX_LIST_LAG` nodes. The voters also learn of an
// answer to the request, which shows the nodes that ask them that it is innocent.
//
// What is not covered: votes are forgotten when a voter restarts, and lists may differ by more
// nodes. Then a second such trial is possible.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/quarantine_trial.h"

namespace ebonymount {

/// Voters of a request, if there are that many nodes.
constexpr std::size_t MAX_VOTERS = 7;

/// Nodes that one of two lists may lack while their voters still have one in common. One for a list
/// of a single node.
constexpr std::size_t MAX_LIST_LAG = 2;

/// Requests for which a voter remembers its vote or an answer. It votes on no others.
constexpr std::size_t MAX_VOTED_REQUESTS = 500;

/// Nodes that vote on a request, in the order in which they are asked, and the votes that it needs.
struct Voters {
    std::vector<std::string> names;
    std::size_t needed = 0;

    friend bool operator==(const Voters&, const Voters&) = default;
};
/// No voters if there are no nodes, so that nothing can be won.
Voters voters_for(std::uint64_t request, const std::vector<std::string>& nodes);

/// A node asks for a vote.
struct VoteRequest {
    std::uint64_t request = 0;
    /// Time since the last crash that the node knows of.
    Duration crash_age{};
    /// The node, and its start: after a restart it may not use the vote again.
    std::string candidate;

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

enum class Vote : std::uint8_t {
    granted,
    taken,        ///< Another node has the vote, or all trials are made.
    answered,     ///< A target has answered the request since the last crash.
    unavailable,  ///< The voter did not say.
};

/// What a voter says.
struct VoteReply {
    Vote vote = Vote::unavailable;
    /// The service whose target has answered; empty for other votes.
    std::string service{};

    friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

/// A request that a target of the service has answered.
struct AnsweredRequest {
    std::uint64_t request = 0;
    std::string service;

    friend bool operator==(const AnsweredRequest&, const AnsweredRequest&) = default;
};

/// Messages between nodes, as text. The decoders are empty for any other text.
std::string encode(const VoteRequest& request);
std::string encode(const VoteReply& reply);
std::string encode(const AnsweredRequest& answered);
std::optional<VoteRequest> decode_vote_request(const std::string& text);
std::optional<VoteReply> decode_vote_reply(const std::string& text);
std::optional<AnsweredRequest> decode_answered_request(const std::string& text);

/// What a node remembers, by fingerprint of the request; `SUSPECT_TTL` long.
struct TrialVotes {
    struct Given {
        std::string candidate;
        Time at{};
    };
    struct Answered {
        std::string service;
        Time at{};
    };
    /// Votes of this node.
    std::map<std::uint64_t, Given> given;
    /// The last answer to a request that was quarantined.
    std::map<std::uint64_t, Answered> answered;
    /// Trials that this node has won.
    std::map<std::uint64_t, Time> won;
};

/// This node's vote.
VoteReply vote_on(TrialVotes& votes, const QuarantineTrials& trials, const VoteRequest& request,
                  Time now);

/// A target has answered the request: if it is quarantined again, it may be tried again.
void record_answer(TrialVotes& votes, const AnsweredRequest& answered, Time now);

void drop_expired_votes(TrialVotes& votes, Time now);

/// The votes for one node.
struct Ballot {
    Voters voters;
    std::size_t asked = 0;
    std::size_t granted = 0;
    bool is_over = false;

    friend bool operator==(const Ballot&, const Ballot&) = default;
};

enum class BallotState : std::uint8_t {
    open,  ///< The voter with index `asked` is the next.
    won,
    lost,
};
BallotState state_of(const Ballot& ballot);

/// The voter with index `asked` has voted. A vote that is taken, or an answer, ends the ballot: the
/// node that has the vote is asking the others.
void count_vote(Ballot& ballot, Vote vote);

}  // namespace ebonymount
