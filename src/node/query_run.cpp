#include "node/query_run.h"

#include <set>

#include "node/gateway.h"
#include "node/gossiper.h"

namespace ebonymount {
namespace {

/// Minimum number of latency samples for a hedge delay from the measured quantile; with fewer, half
/// of the soft deadline is used.
constexpr std::uint32_t MIN_HEDGE_SAMPLES = 100;

/// Minimum delay before a hedge.
constexpr Duration MIN_HEDGE_DELAY = from_ms(1);

Duration hedge_delay(const LatencyHistogram& latencies, const ServiceRow& row) {
    if (latencies.total < MIN_HEDGE_SAMPLES) {
        return from_ms(row.soft_deadline_ms) / 2;
    }
    return std::max(MIN_HEDGE_DELAY, quantile(latencies, row.hedge_quantile_permille));
}

/// The attempts of one stream that have no outcome yet. Accessed by the event loop's thread only.
struct AttemptStream {
    OutcomeReader reader;
    std::set<std::uint64_t> pending_attempts;
    bool readable = true;
};

}  // namespace

QueryRun::QueryRun(QueryDependencies dependencies, std::string query_id, GatherRequest request,
                   std::string body, std::string key)
    : m_dependencies(dependencies),
      m_query_id(std::move(query_id)),
      m_body(std::move(body)),
      m_key(std::move(key)),
      m_view(dependencies.state.view()) {
    const ServiceRow* row = find_row(m_view->configuration, request.service);
    m_row = row == nullptr ? ServiceRow{} : *row;
    m_gather.request = std::move(request);
    m_trace.id = m_query_id;
    m_trace.service = m_gather.request.service;
}

GatherOutcome QueryRun::run(ServiceStatistics& statistics, bool wants_trace) {
    m_wants_trace = wants_trace;
    perform(advance(BeginEvent{}, statistics));
    while (!m_outcome.has_value()) {
        const Time until = [this, &statistics] {
            const std::lock_guard<std::mutex> lock(statistics.mutex);
            const GatherContext context{*m_view,
                                        m_row,
                                        m_dependencies.state.self().data_centre,
                                        hedge_delay(statistics.latencies, m_row),
                                        QuarantineState::clear,
                                        statistics.budget,
                                        statistics.latency_estimates,
                                        statistics.latencies};
            return next_tick(m_gather, context);
        }();
        WireOutcome wire;
        if (!wait_for_outcome(until, wire)) {
            perform(advance(TickEvent{}, statistics));
            continue;
        }
        add_span(wire);
        const Result<AttemptOutcome> outcome = to_attempt_outcome(wire);
        if (has_value(outcome)) {
            perform(advance(value_of(outcome), statistics));
        }
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closed = true;
        m_dependencies.state.metrics().counter("ebonymount_gateway_late_answers_total") +=
            static_cast<std::int64_t>(m_mailbox.size()) + m_gather.late_responses;
    }
    m_trace.end = name_of(m_outcome->status);
    m_trace.spans.insert(m_trace.spans.begin(),
                         {"gateway", "", 0, (monotonic_now() - m_gather.started).count(),
                          "snapshot " + m_outcome->snapshot});
    return std::move(*m_outcome);
}

std::vector<std::string> QueryRun::shards() const {
    std::vector<std::string> names;
    if (m_gather.pinned != nullptr) {
        for (const Shard& shard : m_gather.pinned->shards) {
            names.push_back(shard.id);
        }
    }
    return names;
}

Trace QueryRun::take_trace() {
    return std::move(m_trace);
}

std::vector<GatherAction> QueryRun::advance(const GatherEvent& event,
                                            ServiceStatistics& statistics) {
    const Time now = monotonic_now();
    const QuarantineState quarantine_state =
        m_dependencies.state.quarantine_state(m_gather.request.fingerprint, now);
    const std::lock_guard<std::mutex> lock(statistics.mutex);
    const GatherContext context{*m_view,
                                m_row,
                                m_dependencies.state.self().data_centre,
                                hedge_delay(statistics.latencies, m_row),
                                quarantine_state,
                                statistics.budget,
                                statistics.latency_estimates,
                                statistics.latencies};
    return step(m_gather, event, context, now, statistics.random);
}

void QueryRun::perform(const std::vector<GatherAction>& actions) {
    std::vector<SendAttempt> sends;
    std::vector<CancelAttempt> cancels;
    for (const GatherAction& action : actions) {
        if (const SendAttempt* send_attempt = std::get_if<SendAttempt>(&action)) {
            sends.push_back(*send_attempt);
        } else if (const CancelAttempt* cancel_attempt = std::get_if<CancelAttempt>(&action)) {
            cancels.push_back(*cancel_attempt);
        } else if (const ChangeQuarantineState* change =
                       std::get_if<ChangeQuarantineState>(&action)) {
            m_dependencies.state.set_quarantine_state(
                m_gather.request.fingerprint, change->quarantine_state,
                from_ms(m_row.suspect_ttl_s * 1000), monotonic_now());
        } else if (const Finish* finish = std::get_if<Finish>(&action)) {
            m_outcome = finish->outcome;
        }
    }
    cancel(cancels);
    send(sends);
}

void QueryRun::send(const std::vector<SendAttempt>& attempts) {
    struct HolderBatch {
        std::string address;
        std::vector<SendAttempt> attempts;
    };
    std::map<std::string, HolderBatch> by_holder;
    for (const SendAttempt& attempt : attempts) {
        const GroupLeaseRecord record = lease_record_of(attempt.target);
        m_sent[attempt.attempt] = {record.holder, record.address, attempt.target, monotonic_now(),
                                   attempt.extra};
        if (record.holder.empty() || record.released) {
            post_failure(attempt.attempt, AttemptStatus::not_owner, Verdict::not_run);
            continue;
        }
        HolderBatch& batch = by_holder[record.holder];
        batch.address = record.address;
        batch.attempts.push_back(attempt);
    }
    for (const auto& [holder, batch] : by_holder) {
        send_to(holder, batch.address, batch.attempts);
    }
}

void QueryRun::send_to(const std::string& holder, const std::string& address,
                       const std::vector<SendAttempt>& attempts) {
    WireQuery query;
    query.query_id = m_query_id;
    query.service = m_gather.request.service;
    query.snapshot = attempts.front().snapshot;
    query.key = m_key;
    query.body = m_body;
    query.idempotent = m_gather.request.idempotent;
    query.remaining_us = (attempts.front().deadline - monotonic_now()).count();
    const std::shared_ptr<AttemptStream> stream = std::make_shared<AttemptStream>();
    for (const SendAttempt& attempt : attempts) {
        query.items.push_back({attempt.attempt, attempt.shard, attempt.target});
        stream->pending_attempts.insert(attempt.attempt);
    }
    const std::shared_ptr<QueryRun> self = shared_from_this();
    if (holder == m_dependencies.state.self().node) {
        m_dependencies.relay.submit(query,
                                    [self](const WireOutcome& outcome) { self->post(outcome); });
        return;
    }
    StreamCallbacks events;
    events.on_data = [self, stream](std::string_view bytes) {
        const Result<Done> fed =
            stream->reader.feed(bytes, [&self, &stream](const WireOutcome& outcome) {
                stream->pending_attempts.erase(outcome.attempt);
                self->post(outcome);
            });
        stream->readable = stream->readable && has_value(fed);
    };
    events.on_end = [self, stream](StreamStatus status) {
        const bool never_sent = status == StreamStatus::never_sent;
        for (const std::uint64_t attempt : stream->pending_attempts) {
            self->post_failure(attempt,
                               never_sent ? AttemptStatus::unreachable : AttemptStatus::relay_lost,
                               never_sent ? Verdict::not_run : Verdict::may_have_run);
        }
    };
    m_dependencies.peers.call(route_to(m_dependencies.state.settings(), host_of(holder), address),
                              "/query", encode(query), std::move(events));
}

void QueryRun::cancel(const std::vector<CancelAttempt>& cancels) {
    std::map<std::string, WireCancel> by_holder;
    for (const CancelAttempt& cancel : cancels) {
        WireCancel& message = by_holder[m_sent[cancel.attempt].holder];
        message.query_id = m_query_id;
        message.attempts.push_back(cancel.attempt);
    }
    for (const auto& [holder, message] : by_holder) {
        if (holder == m_dependencies.state.self().node) {
            m_dependencies.relay.cancel(message);
            continue;
        }
        const SentAttempt& sent = m_sent[message.attempts.front()];
        const StreamCallbacks ignore = {[](std::string_view) {},
                                        [](StreamStatus) {
                                        }};
        if (!holder.empty()) {
            m_dependencies.peers.call(
                route_to(m_dependencies.state.settings(), host_of(holder), sent.address), "/cancel",
                encode(message), ignore);
        }
    }
}

void QueryRun::post(const WireOutcome& outcome) {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closed) {
            ++m_dependencies.state.metrics().counter("ebonymount_gateway_late_answers_total");
            return;
        }
        m_mailbox.push_back(outcome);
    }
    m_arrived.notify_one();
}

void QueryRun::post_failure(std::uint64_t attempt, AttemptStatus status, Verdict verdict) {
    WireOutcome outcome;
    outcome.attempt = attempt;
    outcome.status = static_cast<std::uint8_t>(status);
    outcome.verdict = static_cast<std::uint8_t>(verdict);
    post(outcome);
}

bool QueryRun::wait_for_outcome(Time until, WireOutcome& outcome) {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!m_arrived.wait_until(lock, until, [this] { return !m_mailbox.empty(); })) {
        return false;
    }
    outcome = std::move(m_mailbox.front());
    m_mailbox.pop_front();
    return true;
}

void QueryRun::add_span(const WireOutcome& outcome) {
    const auto found = m_sent.find(outcome.attempt);
    if (!m_wants_trace || found == m_sent.end()) {
        return;
    }
    const SentAttempt& sent = found->second;
    const std::string attempt = "attempt " + std::to_string(outcome.attempt);
    const std::int64_t start = (sent.sent_at - m_gather.started).count();
    const std::string status = name_of(static_cast<AttemptStatus>(outcome.status));
    m_trace.spans.push_back({attempt, "gateway", start, (monotonic_now() - sent.sent_at).count(),
                             std::string(sent.extra ? "extra, " : "") + status});
    m_trace.spans.push_back({"relay", attempt, start, outcome.queue_us, "queue at " + sent.holder});
    m_trace.spans.push_back(
        {"target", "relay", start + outcome.queue_us, outcome.target_us, sent.target});
}

GroupLeaseRecord QueryRun::lease_record_of(const std::string& target_id) const {
    // Leases can move while a request runs, so the lease record comes from the current view and not
    // from the view that the gather was planned with.
    const std::shared_ptr<const RoutingView> current_view = m_dependencies.state.view();
    const auto placement = m_view->placements.find(m_gather.request.service);
    const Target* target = find_target(placement->second, target_id);
    const auto found = current_view->groups.find(owning_group(*current_view, *target));
    return found == current_view->groups.end() ? GroupLeaseRecord{} : found->second;
}

}  // namespace ebonymount
