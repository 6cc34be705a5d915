// Votes on the trial of a quarantined request while the store is unavailable: one node wins at
// most, also if nodes have different lists of nodes, and an answer reaches the nodes that ask.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/trial_vote.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);
constexpr std::uint64_t REQUEST = 77;
constexpr Duration CRASH_AGE = from_ms(6000);

std::vector<std::string> nodes(std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back("node-" + std::to_string(i));
    }
    return names;
}

std::size_t common_voters(const Voters& left, const Voters& right) {
    return static_cast<std::size_t>(
        std::count_if(left.names.begin(), left.names.end(), [&right](const std::string& name) {
            return std::find(right.names.begin(), right.names.end(), name) != right.names.end();
        }));
}

/// A node that asks for the trial with its own list of nodes.
struct Candidate {
    std::string name;
    Ballot ballot;
};

/// Asks the candidates' voters, in an order that `random` chooses, and returns how many win.
std::size_t winners(std::vector<Candidate> candidates, std::uint64_t request,
                    const std::vector<std::string>& lost_voters, std::mt19937& random) {
    std::map<std::string, TrialVotes> votes;
    const auto is_open = [](const Candidate& candidate) {
        return state_of(candidate.ballot) == BallotState::open;
    };
    while (std::any_of(candidates.begin(), candidates.end(), is_open)) {
        Candidate& candidate = candidates[random() % candidates.size()];
        if (!is_open(candidate)) {
            continue;
        }
        const std::string voter = candidate.ballot.voters.names[candidate.ballot.asked];
        // Some calls fail although the voter is there.
        const bool is_lost =
            random() % 10 == 0 || std::count(lost_voters.begin(), lost_voters.end(), voter) > 0;
        const VoteReply reply =
            is_lost ? VoteReply{Vote::unavailable}
                    : vote_on(votes[voter], {}, {request, CRASH_AGE, candidate.name}, START);
        count_vote(candidate.ballot, reply.vote);
    }
    return static_cast<std::size_t>(std::count_if(
        candidates.begin(), candidates.end(),
        [](const Candidate& candidate) { return state_of(candidate.ballot) == BallotState::won; }));
}

}  // namespace

TEST_CASE("all nodes with the same list name the same voters") {
    std::vector<std::string> list = nodes(300);
    const Voters voters = voters_for(REQUEST, list);
    CHECK(voters.names.size() == MAX_VOTERS);
    std::reverse(list.begin(), list.end());
    CHECK(voters_for(REQUEST, list) == voters);
    CHECK_FALSE(voters_for(REQUEST + 1, list) == voters);
    CHECK(state_of(Ballot{voters_for(REQUEST, {})}) == BallotState::lost);
}

// Guards against two trials without the store: the voters of two nodes that win have one in common.
TEST_CASE("two nodes whose lists differ by the newest nodes cannot both get their votes") {
    for (std::size_t count = 1; count <= 40; ++count) {
        const std::size_t lag = count == 1 ? 1 : MAX_LIST_LAG;
        for (std::uint64_t request = 0; request < 200; ++request) {
            const Voters older = voters_for(request, nodes(count));
            for (std::size_t newer_count = count; newer_count <= count + lag; ++newer_count) {
                const Voters newer = voters_for(request, nodes(newer_count));
                const std::size_t different =
                    older.names.size() + newer.names.size() - common_voters(older, newer);
                REQUIRE(older.needed + newer.needed > different);
            }
        }
    }
}

// Guards against two trials without the store, however the calls of the nodes that ask interleave.
TEST_CASE("at most one of several nodes that ask at the same time wins the votes") {
    std::mt19937 random(5);
    std::size_t won = 0;
    for (std::uint64_t request = 0; request < 3000; ++request) {
        const std::size_t count = 1 + random() % 12;
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < 5; ++i) {
            const std::size_t lag = count == 1 ? random() % 2 : random() % (MAX_LIST_LAG + 1);
            candidates.push_back(
                {"candidate-" + std::to_string(i), {voters_for(request, nodes(count + lag))}});
        }
        const std::size_t result = winners(candidates, request, {}, random);
        REQUIRE(result <= 1);
        won += result;
    }
    CHECK(won > 0);
}

TEST_CASE("votes are won without some of the voters, and not without most of them") {
    for (const std::size_t count : {3U, 5U, 7U, 300U}) {
        const Voters voters = voters_for(REQUEST, nodes(count));
        Ballot ballot{voters};
        for (std::size_t i = voters.needed; i < voters.names.size(); ++i) {
            count_vote(ballot, Vote::unavailable);
        }
        while (state_of(ballot) == BallotState::open) {
            count_vote(ballot, Vote::granted);
        }
        CHECK(state_of(ballot) == BallotState::won);
        Ballot lost{voters};
        for (std::size_t i = voters.needed; i <= voters.names.size(); ++i) {
            count_vote(lost, Vote::unavailable);
        }
        CHECK(state_of(lost) == BallotState::lost);
    }
}

TEST_CASE("a ballot ends with the first vote that another node has") {
    Ballot ballot{voters_for(REQUEST, nodes(7))};
    count_vote(ballot, Vote::granted);
    count_vote(ballot, Vote::taken);
    CHECK(state_of(ballot) == BallotState::lost);
}

TEST_CASE("a vote is given to one node, and to no other until an answer or the end of suspicion") {
    TrialVotes votes;
    const VoteRequest first{REQUEST, CRASH_AGE, "a/1"};
    const VoteRequest second{REQUEST, CRASH_AGE, "b/1"};
    CHECK(vote_on(votes, {}, first, START) == VoteReply{Vote::granted});
    CHECK(vote_on(votes, {}, first, START) == VoteReply{Vote::granted});
    CHECK(vote_on(votes, {}, second, START) == VoteReply{Vote::taken});
    CHECK(vote_on(votes, {}, {REQUEST, CRASH_AGE, "a/2"}, START) == VoteReply{Vote::taken});
    drop_expired_votes(votes, START + SUSPECT_TTL);
    CHECK(vote_on(votes, {}, second, START) == VoteReply{Vote::taken});
    drop_expired_votes(votes, START + SUSPECT_TTL + from_ms(1));
    CHECK(vote_on(votes, {}, second, START) == VoteReply{Vote::granted});
}

TEST_CASE("an answer is told to the nodes whose last crash was before it") {
    TrialVotes votes;
    CHECK(vote_on(votes, {}, {REQUEST, CRASH_AGE, "a/1"}, START) == VoteReply{Vote::granted});
    record_answer(votes, {REQUEST, "shop"}, START);
    const Time later = START + from_ms(1000);
    CHECK(vote_on(votes, {}, {REQUEST, from_ms(1001), "b/1"}, later) ==
          VoteReply{Vote::answered, "shop"});
    CHECK(vote_on(votes, {}, {REQUEST, from_ms(1000), "c/1"}, later) == VoteReply{Vote::granted});
}

TEST_CASE("no vote is given once all trials of the store are made, or for too many requests") {
    QuarantineTrials trials;
    TrialVotes votes;
    for (std::int64_t number = 1; number <= MAX_TRIALS; ++number) {
        CHECK(vote_on(votes, trials, {REQUEST, CRASH_AGE, "a/1"}, START).vote == Vote::granted);
        add_claim(trials, {REQUEST, number}, START);
    }
    CHECK(vote_on(votes, trials, {REQUEST, CRASH_AGE, "a/1"}, START).vote == Vote::taken);
    for (std::uint64_t request = 1000; votes.given.size() < MAX_VOTED_REQUESTS; ++request) {
        vote_on(votes, {}, {request, CRASH_AGE, "a/1"}, START);
    }
    CHECK(vote_on(votes, {}, {1, CRASH_AGE, "a/1"}, START).vote == Vote::unavailable);
    CHECK(vote_on(votes, {}, {1000, CRASH_AGE, "a/1"}, START).vote == Vote::granted);
}

TEST_CASE("messages on votes are read as they were written, and nothing else is read") {
    const VoteRequest request{18446744073709551615U, from_ms(5000), "node 1/1700000000000"};
    CHECK(decode_vote_request(encode(request)) == request);
    const AnsweredRequest answered{18446744073709551615U, "shop  two"};
    CHECK(decode_answered_request(encode(answered)) == answered);
    for (const VoteReply& reply :
         {VoteReply{Vote::granted}, VoteReply{Vote::taken}, VoteReply{Vote::answered, "shop"}}) {
        CHECK(decode_vote_reply(encode(reply)) == reply);
    }
    for (const char* text : {"", "5", "5 6", "5 6 ", "-5 6 a", "5 -6 a", "5 x a", " 5 6 a",
                             "5 9223372036854775807 a", "05 6 a"}) {
        CHECK_FALSE(decode_vote_request(text).has_value());
    }
    for (const char* text : {"", "grant", "granted x", "granted ", "answered", "answered ", "x"}) {
        CHECK_FALSE(decode_vote_reply(text).has_value());
    }
    for (const char* text : {"", "5", "5 ", "x a", "-5 a", " 5 a"}) {
        CHECK_FALSE(decode_answered_request(text).has_value());
    }
}

}  // namespace ebonymount
