#include "front/trial_voting.h"

#include "io/log_event.h"

namespace ebonymount {
namespace {

/// Paths of the calls between nodes; the number is the version of the messages.
constexpr const char* VOTE_PATH = "/trial-vote/1";
constexpr const char* ANSWERED_PATH = "/trial-answered/1";

/// Timeout of a call to another node.
constexpr Duration CALL_TIMEOUT = from_ms(600);

/// A node is told of an answer this often, as long as it does not take it, with this pause.
constexpr int MAX_TELLS = 5;
constexpr Duration TELL_PAUSE = from_ms(500);

/// Sessions to other nodes are closed after this time without calls.
constexpr Duration IDLE_TIME = from_ms(10000);

/// A longer reply is not one.
constexpr std::size_t MAX_REPLY_BYTES = 4096;

const char* name_of(Vote vote) {
    switch (vote) {
        case Vote::granted:
            return "granted";
        case Vote::taken:
            return "taken";
        case Vote::answered:
            return "answered";
        case Vote::unavailable:
            break;
    }
    return "unavailable";
}

Counter& vote_counter(Metrics& metrics, const char* result) {
    return metrics.counter(std::string("ebonymount_front_quarantine_votes_total{result=\"") +
                           result + "\"}");
}

}  // namespace

struct TrialVoting::Run {
    VoteRequest request;
    /// The last crash that this node knew of when it began to ask.
    Time last_crash{};
    Ballot ballot;
    std::function<void(bool)> on_end;
    /// The last vote.
    VoteReply reply;
    std::string input;
};

TrialVoting::TrialVoting(FrontState& state, const Member& self, std::int64_t started_at_ms)
    : m_state(state),
      m_node(self.node),
      m_candidate(self.node + "/" + std::to_string(started_at_ms)),
      m_won(vote_counter(state.metrics, "won")),
      m_lost(vote_counter(state.metrics, "lost")),
      m_answered(vote_counter(state.metrics, "answered")),
      m_traffic{state.metrics.counter("ebonymount_peer_bytes_in_total"),
                state.metrics.counter("ebonymount_peer_bytes_out_total")},
      m_peers(state.event_loop, m_traffic) {}

void TrialVoting::set_members(const std::vector<Member>& members) {
    m_nodes.clear();
    m_addresses.clear();
    for (const Member& member : members) {
        if (!member.address.empty() && m_addresses.emplace(member.node, member.address).second) {
            m_nodes.push_back(member.node);
        }
    }
}

void TrialVoting::ask(std::uint64_t request, std::function<void(bool is_won)> on_end) {
    const auto suspect = m_state.quarantine.suspects.find(request);
    if (suspect == m_state.quarantine.suspects.end() || m_votes.won.count(request) > 0) {
        on_end(false);
        return;
    }
    const std::shared_ptr<Run> run = std::make_shared<Run>();
    run->last_crash = suspect->second.last_report_at;
    run->request = {request, monotonic_now() - run->last_crash, m_candidate};
    run->ballot.voters = voters_for(request, m_nodes);
    run->on_end = std::move(on_end);
    ask_next(run);
}

void TrialVoting::ask_next(const std::shared_ptr<Run>& run) {
    if (state_of(run->ballot) != BallotState::open) {
        end(run);
        return;
    }
    const std::string& voter = run->ballot.voters.names[run->ballot.asked];
    if (voter == m_node) {
        take_reply(run, vote(run->request));
        return;
    }
    const auto address = m_addresses.find(voter);
    if (address == m_addresses.end()) {
        take_reply(run, {Vote::unavailable});
        return;
    }
    call_voter(run, address->second);
}

void TrialVoting::call_voter(const std::shared_ptr<Run>& run, const std::string& address) {
    m_last_call = monotonic_now();
    m_has_sessions = true;
    run->input.clear();
    // A call that has timed out may still end; the next voter is asked by then.
    const std::size_t asked = run->ballot.asked;
    const std::weak_ptr<bool> alive = m_alive;
    StreamCallbacks events;
    events.on_data = [run, asked](std::string_view bytes) {
        if (run->ballot.asked == asked && run->input.size() < MAX_REPLY_BYTES) {
            run->input.append(bytes);
        }
    };
    events.on_end = [this, run, asked, alive](StreamStatus status) {
        if (alive.expired() || run->ballot.asked != asked) {
            return;
        }
        const std::optional<VoteReply> reply =
            status == StreamStatus::complete ? decode_vote_reply(run->input) : std::nullopt;
        take_reply(run, reply.value_or(VoteReply{Vote::unavailable}));
    };
    m_peers.call(address, VOTE_PATH, encode(run->request), std::move(events));
    m_state.event_loop.run_at(m_last_call + CALL_TIMEOUT, [this, run, asked, address, alive] {
        if (alive.expired() || run->ballot.asked != asked) {
            return;
        }
        take_reply(run, {Vote::unavailable});
        m_peers.close(address);
    });
}

void TrialVoting::take_reply(const std::shared_ptr<Run>& run, const VoteReply& reply) {
    run->reply = reply;
    count_vote(run->ballot, reply.vote);
    ask_next(run);
}

void TrialVoting::end(const std::shared_ptr<Run>& run) {
    const std::uint64_t request = run->request.request;
    const auto suspect = m_state.quarantine.suspects.find(request);
    const bool is_suspected = suspect != m_state.quarantine.suspects.end();
    const bool is_won = is_suspected && state_of(run->ballot) == BallotState::won;
    const bool is_answered = run->reply.vote == Vote::answered;
    LogEvent(LogLevel::info, "quarantine", "trial_ballot")
        .add("fingerprint", std::to_string(request))
        .add("result", is_won        ? "won"
                       : is_answered ? "answered"
                                     : "lost")
        .add("last_vote", name_of(run->reply.vote))
        .add("voters", static_cast<std::int64_t>(run->ballot.voters.names.size()))
        .add("asked", static_cast<std::int64_t>(run->ballot.asked))
        .add("granted", static_cast<std::int64_t>(run->ballot.granted))
        .add("needed", static_cast<std::int64_t>(run->ballot.voters.needed))
        .write();
    ++(is_won ? m_won : is_answered ? m_answered : m_lost);
    if (is_won) {
        m_votes.won[request] = monotonic_now();
    }
    if (is_answered && is_suspected && suspect->second.last_report_at == run->last_crash) {
        refute({request, run->reply.service});
    }
    run->on_end(is_won);
}

VoteReply TrialVoting::vote(const VoteRequest& request) {
    const VoteReply reply = vote_on(m_votes, m_state.trials, request, monotonic_now());
    LogEvent(LogLevel::info, "quarantine", "trial_vote")
        .add("fingerprint", std::to_string(request.request))
        .add("candidate", request.candidate)
        .add("vote", name_of(reply.vote))
        .write();
    return reply;
}

void TrialVoting::announce(const AnsweredRequest& answered) {
    record_answer(m_votes, answered, monotonic_now());
    for (const std::string& voter : voters_for(answered.request, m_nodes).names) {
        if (voter != m_node) {
            tell(m_addresses.at(voter), encode(answered), MAX_TELLS);
        }
    }
}

void TrialVoting::tell(const std::string& address, const std::string& body, int attempts) {
    const Time now = monotonic_now();
    m_last_call = now;
    m_has_sessions = true;
    const std::weak_ptr<bool> alive = m_alive;
    const std::shared_ptr<bool> has_ended = std::make_shared<bool>(false);
    StreamCallbacks events;
    events.on_data = [](std::string_view /*bytes*/) {
    };
    events.on_end = [this, alive, has_ended, address, body, attempts](StreamStatus status) {
        *has_ended = true;
        if (alive.expired() || status == StreamStatus::complete || attempts <= 1) {
            return;
        }
        m_state.event_loop.run_at(monotonic_now() + TELL_PAUSE,
                                  [this, alive, address, body, attempts] {
                                      if (!alive.expired()) {
                                          tell(address, body, attempts - 1);
                                      }
                                  });
    };
    m_peers.call(address, ANSWERED_PATH, body, std::move(events));
    m_state.event_loop.run_at(now + CALL_TIMEOUT, [this, alive, has_ended, address] {
        if (!alive.expired() && !*has_ended) {
            m_peers.close(address);
        }
    });
}

std::optional<std::string> TrialVoting::serve(const std::string& path, const std::string& body) {
    if (path == VOTE_PATH) {
        const std::optional<VoteRequest> request = decode_vote_request(body);
        return request.has_value() ? std::optional(encode(vote(*request))) : std::nullopt;
    }
    const std::optional<AnsweredRequest> answered =
        path == ANSWERED_PATH ? decode_answered_request(body) : std::nullopt;
    if (!answered.has_value()) {
        return std::nullopt;
    }
    const Time now = monotonic_now();
    record_answer(m_votes, *answered, now);
    const auto suspect = m_state.quarantine.suspects.find(answered->request);
    // A crash that this node has seen meanwhile may be newer than the answer.
    if (suspect != m_state.quarantine.suspects.end() &&
        now - suspect->second.last_report_at > CALL_TIMEOUT) {
        refute(*answered);
    }
    return "";
}

void TrialVoting::refute(const AnsweredRequest& answered) {
    const std::vector<std::string> refuted =
        refute_request(m_state.quarantine, answered.request, answered.service);
    for (const std::string& name : refuted) {
        // The node that got the answer removes the reports that it knows from the store.
        const std::optional<CrashReport> report = parse_crash_report(name);
        if (report.has_value() && report->node == m_node) {
            m_state.on_crash_refuted(name);
        }
    }
    m_votes.won.erase(answered.request);
    const auto own = m_state.trials.own.find(answered.request);
    if (own != m_state.trials.own.end() && own->second.number == VOTED_TRIAL &&
        own->second.phase == TrialPhase::granted) {
        // Its votes hold no longer.
        const TrialClaim claim{answered.request, VOTED_TRIAL};
        remove_claim(m_state.trials, claim);
        m_state.on_crash_refuted(trial_claim_name(claim));
    }
    if (!refuted.empty()) {
        LogEvent(LogLevel::info, "quarantine", "answered_elsewhere")
            .add("fingerprint", std::to_string(answered.request))
            .add("service", answered.service)
            .add("reports", static_cast<std::int64_t>(refuted.size()))
            .write();
    }
}

void TrialVoting::sweep(Time now) {
    drop_expired_votes(m_votes, now);
    if (m_has_sessions && now - m_last_call > IDLE_TIME) {
        m_has_sessions = false;
        m_peers.close_all();
    }
}

}  // namespace ebonymount
