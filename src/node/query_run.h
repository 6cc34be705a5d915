// One gather in progress: performs the actions of its state machine and feeds outcomes back to it.
//
// The gather's state belongs to the calling thread, which waits in `run`. This node's relay and the
// streams from other nodes post outcomes to a mailbox from other threads. Outcomes that arrive
// after the gather has ended are dropped and counted.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "io/peer_sessions.h"
#include "io/trace.h"
#include "io/wire.h"
#include "node/node_state.h"
#include "node/relay.h"
#include "policy/gather.h"

namespace ebonymount {

struct ServiceStatistics;

/// The parts of the node that a run uses.
struct QueryDependencies {
    NodeState& state;
    Relay& relay;
    PeerPool& peers;
};

class QueryRun : public std::enable_shared_from_this<QueryRun> {
public:
    QueryRun(QueryDependencies dependencies, std::string query_id, GatherRequest request,
             std::string body, std::string key);

    /// Runs the gather to its end; blocks the calling thread. With `wants_trace` a span is recorded
    /// for each hop.
    GatherOutcome run(ServiceStatistics& statistics, bool wants_trace);

    /// Names of the shards of the pinned snapshot.
    std::vector<std::string> shards() const;

    /// Moves the trace out; it is complete after `run`.
    Trace take_trace();

private:
    struct SentAttempt {
        std::string holder;
        std::string address;
        std::string target;
        Time sent_at{};
        /// True for a hedge or retry.
        bool extra = false;
    };

    std::vector<GatherAction> advance(const GatherEvent& event, ServiceStatistics& statistics);
    void perform(const std::vector<GatherAction>& actions);
    void send(const std::vector<SendAttempt>& attempts);
    void send_to(const std::string& holder, const std::string& address,
                 const std::vector<SendAttempt>& attempts);
    void cancel(const std::vector<CancelAttempt>& cancels);
    void post(const WireOutcome& outcome);
    void post_failure(std::uint64_t attempt, AttemptStatus status, Verdict verdict);
    bool wait_for_outcome(Time until, WireOutcome& outcome);
    void add_span(const WireOutcome& outcome);
    GroupLeaseRecord lease_record_of(const std::string& target_id) const;

    QueryDependencies m_dependencies;
    std::string m_query_id;
    std::string m_body;
    std::string m_key;
    std::shared_ptr<const RoutingView> m_view;
    ServiceRow m_row;
    GatherState m_gather;
    std::optional<GatherOutcome> m_outcome;
    std::map<std::uint64_t, SentAttempt> m_sent;
    bool m_wants_trace = false;
    Trace m_trace;
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<WireOutcome> m_mailbox;
    bool m_closed = false;
};

}  // namespace ebonymount
