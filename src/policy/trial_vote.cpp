#include "policy/trial_vote.h"

#include <algorithm>
#include <sstream>

#include "base/hash.h"

namespace ebonymount {
namespace {

constexpr const char* GRANTED = "granted";
constexpr const char* TAKEN = "taken";
constexpr const char* ANSWERED = "answered";

/// A longer time is no time since a crash that is still remembered.
constexpr Duration MAX_CRASH_AGE = 2 * SUSPECT_TTL;

/// Voters that may be lost. Two nodes with `n` and at most `MAX_LIST_LAG` more nodes need more
/// votes together than there are different voters.
std::size_t dispensable(std::size_t voters) {
    if (voters >= MAX_VOTERS) {
        return 2;
    }
    return voters >= 3 ? 1 : 0;
}

/// The last field of a message, which may contain spaces.
std::string rest_of(std::istringstream& text) {
    std::string rest;
    std::getline(text >> std::ws, rest, '\0');
    return rest;
}

template <typename Record>
bool has_room(const std::map<std::uint64_t, Record>& records, std::uint64_t request) {
    return records.size() < MAX_VOTED_REQUESTS || records.count(request) > 0;
}

}  // namespace

Voters voters_for(std::uint64_t request, const std::vector<std::string>& nodes) {
    Voters voters;
    voters.names = rendezvous_order(std::to_string(request), nodes);
    voters.names.resize(std::min(voters.names.size(), MAX_VOTERS));
    voters.needed = voters.names.size() - dispensable(voters.names.size());
    return voters;
}

std::string encode(const VoteRequest& request) {
    return std::to_string(request.request) + " " + std::to_string(request.crash_age.count()) + " " +
           request.candidate;
}

std::string encode(const VoteReply& reply) {
    switch (reply.vote) {
        case Vote::granted:
            return GRANTED;
        case Vote::taken:
            return TAKEN;
        case Vote::answered:
            return std::string(ANSWERED) + " " + reply.service;
        case Vote::unavailable:
            break;
    }
    return "";
}

std::string encode(const AnsweredRequest& answered) {
    return std::to_string(answered.request) + " " + answered.service;
}

std::optional<VoteRequest> decode_vote_request(const std::string& text) {
    std::istringstream stream(text);
    VoteRequest request;
    std::int64_t crash_age = 0;
    stream >> request.request >> crash_age;
    request.candidate = rest_of(stream);
    request.crash_age = Duration(crash_age);
    const bool is_valid = !request.candidate.empty() && crash_age >= 0 &&
                          request.crash_age <= MAX_CRASH_AGE && encode(request) == text;
    return is_valid ? std::optional(request) : std::nullopt;
}

std::optional<VoteReply> decode_vote_reply(const std::string& text) {
    for (const Vote vote : {Vote::granted, Vote::taken}) {
        if (encode(VoteReply{vote}) == text) {
            return VoteReply{vote};
        }
    }
    std::istringstream stream(text);
    std::string vote;
    stream >> vote;
    const VoteReply answered{Vote::answered, rest_of(stream)};
    const bool is_valid = !answered.service.empty() && encode(answered) == text;
    return is_valid ? std::optional(answered) : std::nullopt;
}

std::optional<AnsweredRequest> decode_answered_request(const std::string& text) {
    std::istringstream stream(text);
    AnsweredRequest answered;
    stream >> answered.request;
    answered.service = rest_of(stream);
    const bool is_valid = !answered.service.empty() && encode(answered) == text;
    return is_valid ? std::optional(answered) : std::nullopt;
}

VoteReply vote_on(TrialVotes& votes, const QuarantineTrials& trials, const VoteRequest& request,
                  Time now) {
    const auto answered = votes.answered.find(request.request);
    if (answered != votes.answered.end() && answered->second.at > now - request.crash_age) {
        return {Vote::answered, answered->second.service};
    }
    const auto claims = trials.claims.find(request.request);
    if (claims != trials.claims.end() && claims->second.size() >= MAX_TRIALS) {
        return {Vote::taken};
    }
    if (!has_room(votes.given, request.request)) {
        return {Vote::unavailable};
    }
    const auto [given, is_new] =
        votes.given.emplace(request.request, TrialVotes::Given{request.candidate, now});
    return {is_new || given->second.candidate == request.candidate ? Vote::granted : Vote::taken};
}

void record_answer(TrialVotes& votes, const AnsweredRequest& answered, Time now) {
    votes.given.erase(answered.request);
    votes.won.erase(answered.request);
    if (has_room(votes.answered, answered.request)) {
        votes.answered[answered.request] = {answered.service, now};
    }
}

void drop_expired_votes(TrialVotes& votes, Time now) {
    const auto is_expired = [now](Time at) {
        return now - at > SUSPECT_TTL;
    };
    std::erase_if(votes.given, [&](const auto& entry) { return is_expired(entry.second.at); });
    std::erase_if(votes.answered, [&](const auto& entry) { return is_expired(entry.second.at); });
    std::erase_if(votes.won, [&](const auto& entry) { return is_expired(entry.second); });
}

BallotState state_of(const Ballot& ballot) {
    if (ballot.voters.needed > 0 && ballot.granted >= ballot.voters.needed) {
        return BallotState::won;
    }
    const std::size_t left = ballot.voters.names.size() - ballot.asked;
    const bool can_be_won = !ballot.is_over && ballot.granted + left >= ballot.voters.needed;
    return can_be_won && left > 0 ? BallotState::open : BallotState::lost;
}

void count_vote(Ballot& ballot, Vote vote) {
    ++ballot.asked;
    ballot.granted += vote == Vote::granted ? 1 : 0;
    ballot.is_over = vote == Vote::taken || vote == Vote::answered;
}

}  // namespace ebonymount
