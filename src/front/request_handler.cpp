#include "front/request_handler.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "front/crash_detector.h"
#include "front/request_log.h"
#include "front/target_reports.h"
#include "front/trial_claims.h"
#include "io/exception_guard.h"
#include "io/http_status.h"
#include "io/log_event.h"
#include "policy/record_merge.h"

namespace ebonymount {
namespace {

/// Part of the caller's deadline reserved for the network latency of the response.
constexpr Duration RESPONSE_MARGIN = from_ms(15);

/// Part of the latency objective reserved for the network between caller and node and for sending
/// the response, in addition to the time to process parts. Callers are up to 3 ms away one way,
/// which counts twice for a request on a kept connection, and twice more for a connect.
constexpr Duration OBJECTIVE_MARGIN = from_ms(12);
constexpr Duration CONNECT_MARGIN = from_ms(6);

/// Part of the CPU time of a part that is spent when all are merged.
constexpr double MERGE_SHARE = 0.1;

/// A call is aborted this long after the deadline that was sent to its target.
constexpr Duration CALL_SLACK = from_ms(100);

/// Retry-After of a request that arrives before the node has its configuration.
constexpr Duration NOT_READY_RETRY = from_ms(300);

/// A connection that has been idle for longer may have been closed without notice, so requests that
/// must not be sent twice do not use it.
constexpr Duration MAX_IDLE_NON_IDEMPOTENT = from_ms(1000);
constexpr Duration MAX_IDLE_IDEMPOTENT = from_ms(3600000);

Counter& counter_for(FrontMetrics& counters, FanOutStatus status) {
    switch (status) {
        case FanOutStatus::complete:
            return counters.complete;
        case FanOutStatus::partial:
            return counters.partial;
        case FanOutStatus::target_error:
            return counters.target_errors;
        case FanOutStatus::not_run:
            return counters.not_run;
        case FanOutStatus::failed:
            return counters.failed;
        case FanOutStatus::out_of_time:
            return counters.out_of_time;
    }
    return counters.failed;
}

/// Names the incarnation of a target in crash reports.
std::string incarnation_name(const TargetEntry& entry) {
    return entry.id + "/" + std::to_string(entry.started_at_ms);
}

bool is_success(int status) {
    return status >= http::OK && status < http::MULTIPLE_CHOICES;
}

}  // namespace

RequestHandler::RequestHandler(FrontState& front, std::shared_ptr<HttpServerConnection> connection,
                               HttpRequestMessage request)
    : m_front(front),
      m_connection(std::move(connection)),
      m_request(std::move(request)),
      m_is_head(m_request.method == "HEAD"),
      m_caller_headers(platform::decode_caller_headers(m_request.headers)),
      m_view(front.view) {}

void RequestHandler::serve(FrontState& front,
                           const std::shared_ptr<HttpServerConnection>& connection,
                           HttpRequestMessage request) {
    const std::shared_ptr<RequestHandler> self(
        new RequestHandler(front, connection, std::move(request)));
    ++front.counters.requests;
    self->run([&self] {
        if (self->route_or_refuse()) {
            self->begin();
        }
    });
}

template <typename Work>
void RequestHandler::run(const Work& work) {
    if (!run_guarded("request", work)) {
        end_after_exception();
    }
}

void RequestHandler::end_after_exception() {
    // The work may have been interrupted anywhere.
    m_ended_by_exception = true;
    m_advancing = false;
    m_events.clear();
    m_state.finished = true;
    m_front.open_requests.erase(this);
    ++m_front.counters.internal_errors;
    const std::shared_ptr<HttpServerConnection> connection = std::exchange(m_connection, nullptr);
    run_guarded("request", [this, &connection] {
        const int status = m_has_sent ? http::BAD_GATEWAY : http::UNAVAILABLE;
        LogEvent(LogLevel::error, "request", "internal_error")
            .add("request", m_caller_headers.request_id)
            .add("status", status)
            .write();
        if (connection != nullptr && !m_caller_gone) {
            connection->respond(failure_response(
                status, "internal error",
                m_has_sent ? "; the request may have run" : "; the request was not run",
                Duration::zero()));
        }
    });
    run_guarded("request", [this] { release_parts(); });
    run_guarded("request", [this] { cancel_attempts(); });
    schedule_tick();
}

void RequestHandler::end_all_by(FrontState& front, Time time) {
    front.answers_by = time;
    for (RequestHandler* request : front.open_requests) {
        Time& deadline = request->m_state.parameters.final_deadline;
        deadline = request->last_possible_response(deadline);
        request->schedule_tick();
    }
}

Time RequestHandler::last_possible_response(Time deadline) const {
    return std::min(deadline, m_front.answers_by.value_or(deadline));
}

bool RequestHandler::route_or_refuse() {
    if (m_view == nullptr) {
        ++m_front.counters.not_ready;
        respond_at_once(http::UNAVAILABLE, "the node has no configuration yet", NOT_READY_RETRY);
        return false;
    }
    const std::string_view host = find_header(m_request.headers, "Host");
    const std::int64_t route = match_route(m_view->table, host, m_request.target);
    if (route < 0) {
        ++m_front.counters.unknown_route;
        respond_at_once(http::NOT_FOUND, "no route matches host and path", Duration::zero());
        return false;
    }
    m_route = static_cast<std::size_t>(route);
    m_fingerprint = fingerprint(m_request.method, host, m_request.target, m_request.body);
    return true;
}

RequestLogContext RequestHandler::log_context() const {
    return {m_front, *m_view, m_view->table.routes[m_route], m_state, m_caller_headers.request_id};
}

FanOutParameters RequestHandler::fan_out_parameters(const Route& route) const {
    FanOutParameters parameters;
    parameters.fan_out = is_fan_out(route);
    parameters.idempotent = route.idempotent;
    parameters.max_attempts = route.max_attempts;
    parameters.min_coverage = route.min_coverage;
    parameters.started = m_connection->request_started_at();
    parameters.objective_deadline = parameters.started + route.latency_objective;
    const Duration time_limit =
        std::min(route.timeout, m_caller_headers.deadline.value_or(route.timeout));
    parameters.final_deadline = last_possible_response(
        parameters.started + std::max(time_limit - RESPONSE_MARGIN, Duration::zero()));
    const std::int64_t parts = static_cast<std::int64_t>(route.shards.size());
    const Duration connect = m_connection->is_first_request() ? CONNECT_MARGIN : Duration::zero();
    parameters.response_margin =
        OBJECTIVE_MARGIN + connect + scaled(m_front.part_cpu_time, MERGE_SHARE) * parts;
    parameters.part_time = m_front.part_cpu_time;
    parameters.allowed_regions = route.allowed_regions;
    parameters.fingerprint = m_fingerprint;
    return parameters;
}

void RequestHandler::begin() {
    const Route& route = m_view->table.routes[m_route];
    std::vector<ServiceIndex> services = m_view->routes[m_route].services;
    if (!is_fan_out(route)) {
        services = {services[choose_service(route, uniform(m_front.random))]};
    }
    const bool has_trial = take_trial_if_quarantined(services);
    if (!has_trial && is_quarantined(services)) {
        ++m_front.counters.quarantined;
        respond_at_once(http::UNAVAILABLE, "the request is quarantined: it crashed several targets",
                        quarantine_retry_after(m_front, m_fingerprint));
        return;
    }
    m_parts.resize(services.size());
    m_prepared = platform::prepare_for_targets(std::exchange(m_request, HttpRequestMessage{}));
    FanOutParameters parameters = fan_out_parameters(route);
    parameters.is_trial = has_trial;
    m_state = begin_request(parameters, services);
    const std::shared_ptr<RequestHandler> self = shared_from_this();
    // The connection holds a reference to the request while the caller waits.
    m_connection->on_caller_gone([self] { self->run([&self] { self->on_caller_gone(); }); });
    m_front.open_requests.insert(this);
    open_memory_account();
    advance(BeginRequest{});
    if (has_trial && !m_trial_started) {
        report_trial_end(m_front, m_fingerprint, TrialEnd::not_sent);
    }
    if (m_state.failed > 0) {
        log_shards_without_target(log_context());
    }
}

void RequestHandler::advance(const FanOutEvent& event) {
    m_events.push_back(event);
    if (m_advancing) {
        return;
    }
    m_advancing = true;
    while (!m_events.empty()) {
        const FanOutEvent next = m_events.front();
        m_events.pop_front();
        const std::vector<FanOutAction> actions = step(m_state, next, fan_out_context());
        for (const FanOutAction& action : actions) {
            execute(action);
        }
    }
    m_advancing = false;
    schedule_tick();
}

FanOutContext RequestHandler::fan_out_context() const {
    return {
        *m_view,         m_front.targets, m_front.budgets, m_front.retry_budget, m_front.quarantine,
        monotonic_now(), m_front.random};
}

void RequestHandler::schedule_tick() {
    const Time next = m_state.finished ? Time::max() : next_tick(m_state);
    // A timer that fires early costs one tick; rescheduling it on every event costs more.
    if (m_timer.has_value() && !m_state.finished && m_timer_due <= next) {
        return;
    }
    if (m_timer.has_value()) {
        m_front.event_loop.cancel(*m_timer);
        m_timer.reset();
    }
    if (m_state.finished) {
        return;
    }
    m_timer_due = next;
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_timer = m_front.event_loop.run_at(next, [weak] {
        const std::shared_ptr<RequestHandler> self = weak.lock();
        if (self != nullptr) {
            self->m_timer.reset();
            self->run([&self] { self->advance(ClockTick{}); });
        }
    });
}

void RequestHandler::execute(const FanOutAction& action) {
    if (const StartAttempt* start = std::get_if<StartAttempt>(&action)) {
        start_attempt(*start);
    } else if (const WithdrawAttempt* withdraw = std::get_if<WithdrawAttempt>(&action)) {
        withdraw_attempt(*withdraw);
    } else {
        finish(std::get<EndRequest>(action));
    }
}

void RequestHandler::start_attempt(const StartAttempt& action) {
    ++m_front.counters.attempts;
    OpenAttempt attempt;
    attempt.id = action.id;
    attempt.shard = action.shard;
    attempt.target = action.target;
    attempt.sent_at = monotonic_now();
    attempt.is_hedge = action.hedge;
    attempt.is_trial = action.is_trial;
    if (action.is_trial) {
        m_trial_started = true;
        ++m_front.counters.quarantine_trials;
        log_attempt(log_context(), {"trial", "", attempt.id, attempt.shard, attempt.target});
    }
    if (action.hedge) {
        ++m_front.counters.hedges;
        log_attempt(log_context(), {"hedge", "", attempt.id, attempt.shard, attempt.target});
    }
    TargetState& target = m_front.targets.states[action.target];
    attempt.ahead = requests_ahead(target, attempt.sent_at);
    on_sent(target, attempt.sent_at);
    m_open_attempts.push_back(attempt);
    const std::shared_ptr<RequestHandler> self = shared_from_this();
    const std::uint32_t id = action.id;
    PoolCall call;
    call.target = action.target;
    call.deadline = action.deadline + CALL_SLACK;
    call.max_idle = m_state.parameters.idempotent ? MAX_IDLE_IDEMPOTENT : MAX_IDLE_NON_IDEMPOTENT;
    call.call.is_head = m_is_head;
    call.call.limits.max_body_bytes /= m_state.shards.size();
    // Targets repeat the id in their responses.
    call.call.limits.max_header_bytes += m_caller_headers.request_id.size();
    call.call.memory = m_account;
    call.call.may_send = [self, index = action.target,
                          service = m_state.shards[action.shard].service,
                          is_trial = action.is_trial] {
        return !self->m_ended_by_exception && self->may_still_send(index, service, is_trial);
    };
    call.call.make_request = [self, target_id = target.entry.id, deadline = action.deadline] {
        self->m_has_sent = true;
        return platform::encode_for_target(self->m_prepared, deadline - monotonic_now(), target_id);
    };
    call.excluded = used_connections_to(action.target);
    call.call.owner_of = [self](const HttpResponseMessage& response) {
        return self->owner_of(response);
    };
    call.call.on_sent = [self, id] {
        self->run([&self, id] { self->on_attempt_sent(id); });
    };
    call.call.on_end = [self, id](CallStatus call_status, HttpResponseMessage response) {
        self->run([&] { self->on_attempt_end(id, call_status, std::move(response)); });
    };
    const PoolCallId pool_call = m_front.pool.start(std::move(call));
    for (OpenAttempt& open : m_open_attempts) {
        if (open.id == id) {
            open.call = pool_call;
            open.connection = m_front.pool.connection_of(pool_call);
        }
    }
}

ResponseOwner RequestHandler::owner_of(const HttpResponseMessage& response) const {
    const std::string_view request_id = platform::request_id_of(response);
    if (request_id.empty()) {
        ++m_front.counters.responses_without_id;
        return ResponseOwner::unknown;
    }
    return request_id == m_caller_headers.request_id ? ResponseOwner::this_call
                                                     : ResponseOwner::other_call;
}

bool RequestHandler::may_still_send(TargetIndex target, ServiceIndex service, bool is_trial) const {
    const TargetState& state = m_front.targets.states[target];
    const Time now = monotonic_now();
    const bool is_turned_away =
        state.turned_away_until.has_value() && now < *state.turned_away_until;
    return now < m_state.parameters.final_deadline && state.accepts_work && !state.leaving &&
           !is_turned_away &&
           (is_trial || suspicion_of(m_front.quarantine, m_fingerprint, service_name(service),
                                     now) == Suspicion::none);
}

const std::string& RequestHandler::service_name(ServiceIndex service) const {
    return m_view->services[service].limits.name;
}

bool RequestHandler::is_quarantined(const std::vector<ServiceIndex>& services) const {
    if (!is_suspected(m_front.quarantine, m_fingerprint)) {
        return false;
    }
    const Time now = monotonic_now();
    const std::int64_t usable =
        std::count_if(services.begin(), services.end(), [this, now](ServiceIndex service) {
            return suspicion_of(m_front.quarantine, m_fingerprint, service_name(service), now) !=
                   Suspicion::quarantined;
        });
    const Route& route = m_view->table.routes[m_route];
    const double needed = is_fan_out(route) ? route.min_coverage : 1.0;
    return static_cast<double>(usable) < needed * static_cast<double>(services.size());
}

bool RequestHandler::take_trial_if_quarantined(const std::vector<ServiceIndex>& services) {
    if (!is_suspected(m_front.quarantine, m_fingerprint)) {
        return false;
    }
    const Time now = monotonic_now();
    return std::any_of(services.begin(), services.end(),
                       [this, now](ServiceIndex service) {
                           return suspicion_of(m_front.quarantine, m_fingerprint,
                                               service_name(service),
                                               now) == Suspicion::quarantined;
                       }) &&
           take_or_claim_trial(m_front, m_fingerprint);
}

bool RequestHandler::has_open_trial() const {
    return std::any_of(m_open_attempts.begin(), m_open_attempts.end(),
                       [](const OpenAttempt& attempt) { return attempt.is_trial; });
}

std::vector<PoolConnection> RequestHandler::used_connections_to(TargetIndex target) const {
    std::vector<PoolConnection> connections;
    for (const UsedConnection& used : m_used_connections) {
        if (used.target == target) {
            connections.push_back(used.connection);
        }
    }
    return connections;
}

void RequestHandler::withdraw_attempt(const WithdrawAttempt& action) {
    for (std::size_t i = 0; i < m_open_attempts.size(); ++i) {
        if (m_open_attempts[i].id == action.id && m_front.pool.withdraw(m_open_attempts[i].call)) {
            on_not_sent(m_open_attempts[i].target);
            report_if_trial(m_open_attempts[i], TrialEnd::not_sent);
            m_open_attempts.erase(m_open_attempts.begin() + static_cast<std::ptrdiff_t>(i));
            return;
        }
    }
}

void RequestHandler::on_attempt_sent(std::uint32_t id) {
    for (OpenAttempt& attempt : m_open_attempts) {
        if (attempt.id == id) {
            attempt.was_sent = true;
            attempt.sent_at = monotonic_now();
        }
    }
    step(m_state, AttemptSent{id}, fan_out_context());
}

void RequestHandler::on_attempt_end(std::uint32_t id, CallStatus call_status,
                                    HttpResponseMessage response) {
    const auto has_id = [id](const OpenAttempt& attempt) {
        return attempt.id == id;
    };
    const auto found = std::find_if(m_open_attempts.begin(), m_open_attempts.end(), has_id);
    if (found == m_open_attempts.end()) {
        return;
    }
    const OpenAttempt attempt = *found;
    m_open_attempts.erase(found);
    FanOutAttemptStatus outcome = FanOutAttemptStatus::broken;
    run_guarded("request", [&] { outcome = classify_outcome(attempt, call_status, response); });
    record_outcome(attempt, outcome, call_status);
    if (outcome != FanOutAttemptStatus::answered) {
        if (call_status == CallStatus::answered) {
            m_used_connections.push_back({attempt.target, attempt.connection});
        }
        log_attempt(log_context(),
                    {"try_failed", name_of(outcome), attempt.id, attempt.shard, attempt.target});
    }
    keep_part(attempt, outcome, std::move(response));
    report_if_trial(attempt, outcome == FanOutAttemptStatus::not_connected ? TrialEnd::not_sent
                             : is_not_run(outcome)                         ? TrialEnd::refused
                                                                           : TrialEnd::done);
    advance(AttemptEnded{id, outcome});
}

void RequestHandler::report_if_trial(const OpenAttempt& attempt, TrialEnd end) {
    if (attempt.is_trial) {
        report_trial_end(m_front, m_fingerprint, end);
    }
}

FanOutAttemptStatus RequestHandler::classify_outcome(const OpenAttempt& attempt,
                                                     CallStatus call_status,
                                                     HttpResponseMessage& response) {
    if (call_status == CallStatus::not_sent) {
        return attempt.was_sent ? FanOutAttemptStatus::broken : FanOutAttemptStatus::not_connected;
    }
    if (call_status != CallStatus::answered) {
        return call_status == CallStatus::aborted ? FanOutAttemptStatus::timed_out
                                                  : FanOutAttemptStatus::broken;
    }
    const platform::TargetResponseHeaders headers =
        platform::decode_target_headers(response, m_front.max_signature_bytes);
    if (headers.malformed_signature_bytes > 0) {
        report_malformed_signature(attempt, headers.malformed_signature_bytes);
        return FanOutAttemptStatus::broken;
    }
    if (!headers.misdirected) {
        const bool is_answer =
            is_success(response.status) && !headers.not_run && !headers.signature.empty();
        apply_target_reports(m_front, headers, {attempt.target, attempt.sent_at, is_answer});
    }
    if (headers.misdirected) {
        m_front.targets.states[attempt.target].replaced = true;
        on_crash_evidence(m_front, attempt.target, "replaced");
        return FanOutAttemptStatus::misdirected;
    }
    if (headers.not_run) {
        return FanOutAttemptStatus::refused;
    }
    if (headers.signature.empty()) {
        return FanOutAttemptStatus::broken;
    }
    return is_success(response.status) ? FanOutAttemptStatus::answered
                                       : FanOutAttemptStatus::target_error;
}

void RequestHandler::report_malformed_signature(const OpenAttempt& attempt, std::size_t bytes) {
    ++m_front.counters.malformed_signatures;
    LogEvent(LogLevel::warning, "targets", "malformed_signature")
        .add("target", m_front.targets.states[attempt.target].entry.id)
        .add("request", m_caller_headers.request_id)
        .add("bytes", static_cast<std::int64_t>(bytes))
        .write();
}

void RequestHandler::record_outcome(const OpenAttempt& attempt, FanOutAttemptStatus outcome,
                                    CallStatus call_status) {
    const Time now = monotonic_now();
    TargetState& target = m_front.targets.states[attempt.target];
    const ServiceIndex service = m_state.shards[attempt.shard].service;
    const Duration cold_start = m_view->services[service].limits.cold_start;
    switch (outcome) {
        case FanOutAttemptStatus::answered:
            on_response(target, now - attempt.sent_at, attempt.ahead, now);
            on_request_answered(m_front, m_fingerprint, service_name(service));
            m_front.counters.attempt_time.add(now - attempt.sent_at);
            return;
        case FanOutAttemptStatus::target_error:
            on_target_error(target, now - attempt.sent_at, attempt.ahead, now);
            on_request_answered(m_front, m_fingerprint, service_name(service));
            m_front.counters.attempt_time.add(now - attempt.sent_at);
            return;
        case FanOutAttemptStatus::refused:
        case FanOutAttemptStatus::misdirected:
            on_refusal(target, now);
            return;
        case FanOutAttemptStatus::not_connected:
            if (!may_still_send(attempt.target, service, attempt.is_trial) ||
                m_front.pool.is_full(attempt.target)) {
                // Not sent for another reason than the connection.
                on_not_sent(attempt.target);
                return;
            }
            uncount_request(target);
            on_failure(target, false, cold_start, now);
            check_target(m_front, attempt.target);
            return;
        case FanOutAttemptStatus::broken:
            on_failure(target, true, cold_start, now);
            if (call_status == CallStatus::rejected) {
                on_connection_rejected(target, now);
            }
            if (call_status == CallStatus::broken || call_status == CallStatus::rejected) {
                const Crash crash{m_fingerprint, service_name(service), m_state.answered > 0,
                                  incarnation_name(target.entry)};
                detect_crash(m_front, {attempt.target, crash, now}, m_caller_headers.request_id,
                             call_status);
            }
            return;
        case FanOutAttemptStatus::timed_out:
            on_abandoned(target, now - attempt.sent_at, attempt.ahead, now);
            return;
    }
}

void RequestHandler::keep_part(const OpenAttempt& attempt, FanOutAttemptStatus outcome,
                               HttpResponseMessage response) {
    if (m_state.finished) {
        return;
    }
    std::optional<Part>& part = m_parts[attempt.shard];
    const bool keeps_failure =
        outcome == FanOutAttemptStatus::target_error && !m_state.parameters.fan_out;
    if (outcome == FanOutAttemptStatus::answered ? !m_state.shards[attempt.shard].answered
                                                 : keeps_failure) {
        std::string signature =
            platform::decode_target_headers(response, m_front.max_signature_bytes).signature;
        if (m_state.parameters.fan_out) {
            keep_merged_records_only(response);
        }
        part = Part{std::move(signature), std::move(response)};
        m_parts_memory += part->signature.capacity() + memory_of(part->response);
        charge_memory();
    }
}

void RequestHandler::keep_merged_records_only(HttpResponseMessage& response) const {
    response.headers = HttpHeaders{};
    const std::size_t max_records = m_view->table.routes[m_route].top_k;
    if (response.body.size() / RECORD_BYTES > max_records) {
        response.body = merge_records({response.body}, max_records);
    }
}

void RequestHandler::open_memory_account() {
    const std::weak_ptr<RequestHandler> weak = weak_from_this();
    m_account = m_front.memory->open_account([weak] {
        const std::shared_ptr<RequestHandler> self = weak.lock();
        if (self != nullptr) {
            self->run([&self] { self->release_memory(); });
        }
    });
    m_memory = MemoryCharge(m_account);
    charge_memory();
}

void RequestHandler::release_memory() {
    if (!m_state.finished) {
        m_short_of_memory = true;
        ++m_front.counters.short_of_memory;
        advance(ResourcesExhausted{});
    }
    cancel_attempts();
}

void RequestHandler::release_parts() {
    m_parts.assign(m_parts.size(), std::nullopt);
    m_parts_memory = 0;
    charge_memory();
}

void RequestHandler::charge_memory() {
    m_memory.set(m_prepared.head.capacity() + m_prepared.body.capacity() + m_parts_memory);
}

void RequestHandler::merge_parts(HttpResponseMessage& response) {
    std::vector<std::string> signatures;
    std::vector<std::string_view> bodies;
    std::int64_t missing = 0;
    for (std::size_t shard = 0; shard < m_parts.size(); ++shard) {
        if (m_state.shards[shard].answered && m_parts[shard].has_value()) {
            signatures.push_back(m_parts[shard]->signature);
            bodies.push_back(m_parts[shard]->response.body);
        } else {
            ++missing;
        }
    }
    m_front.counters.parts_missing += missing;
    const std::size_t max_records = m_view->table.routes[m_route].top_k;
    response = platform::merged_response(signatures, missing, merge_records(bodies, max_records));
}

HttpResponseMessage RequestHandler::response_for(const EndRequest& action) {
    HttpResponseMessage response;
    switch (action.status) {
        case FanOutStatus::complete:
        case FanOutStatus::partial:
            if (m_state.parameters.fan_out) {
                merge_parts(response);
                return response;
            }
            return platform::response_for_caller(std::move(m_parts.front()->response));
        case FanOutStatus::target_error:
            return platform::response_for_caller(std::move(m_parts.front()->response));
        case FanOutStatus::not_run:
            return failure_response(
                http::UNAVAILABLE,
                m_short_of_memory ? "the node is short of memory" : "no target is available",
                "; the request was not run", action.retry_after);
        case FanOutStatus::failed:
            return failure_response(
                http::BAD_GATEWAY,
                m_short_of_memory ? "the node is short of memory" : "too many targets failed",
                "; the request may have run", Duration::zero());
        case FanOutStatus::out_of_time:
            return failure_response(http::TIMEOUT, "no response in time",
                                    "; the request may have run", Duration::zero());
    }
    return response;
}

HttpResponseMessage RequestHandler::failure_response(int status, const std::string& cause,
                                                     const std::string& verdict,
                                                     Duration retry_after) const {
    return platform::local_response(status, m_caller_headers.request_id, cause + verdict,
                                    retry_after);
}

void RequestHandler::finish(const EndRequest& action) {
    m_front.open_requests.erase(this);
    ++counter_for(m_front.counters, action.status);
    m_front.counters.retries += m_state.retries;
    m_front.counters.attempts_without_token += m_state.attempts_without_token;
    m_front.counters.request_time.add(monotonic_now() - m_state.parameters.started);
    HttpResponseMessage response = response_for(action);
    release_parts();
    log_request_end(log_context(), m_short_of_memory ? "short_of_memory" : name_of(action.status),
                    response.status);
    if (!m_caller_gone) {
        m_connection->respond(std::move(response));
    }
    m_connection.reset();
    if (!m_open_attempts.empty() && !has_open_trial() &&
        is_suspected(m_front.quarantine, m_fingerprint)) {
        cancel_attempts_if_quarantined();
    }
}

void RequestHandler::cancel_attempts_if_quarantined() {
    std::vector<ServiceIndex> services;
    for (const ShardState& shard : m_state.shards) {
        services.push_back(shard.service);
    }
    if (is_quarantined(services)) {
        // Parts that are still queued would crash their targets.
        cancel_attempts();
    }
}

void RequestHandler::respond_at_once(int status, const char* reason, Duration retry_after) {
    LogEvent(LogLevel::info, "request", "answered_at_once")
        .add("request", m_caller_headers.request_id)
        .add("status", status)
        .add("reason", reason)
        .add("config_version", m_view == nullptr ? -1 : m_view->table.version)
        .write();
    m_connection->respond(
        platform::local_response(status, m_caller_headers.request_id, reason, retry_after));
}

void RequestHandler::on_caller_gone() {
    if (m_state.finished) {
        return;
    }
    m_caller_gone = true;
    m_state.finished = true;
    m_front.open_requests.erase(this);
    ++m_front.counters.caller_gone;
    log_request_end(log_context(), "caller_gone", 0);
    release_parts();
    cancel_attempts();
    m_connection.reset();
    schedule_tick();
}

void RequestHandler::on_not_sent(TargetIndex target) {
    TargetState& state = m_front.targets.states[target];
    on_abandoned(state, Duration::zero(), 0, monotonic_now());
    uncount_request(state);
}

void RequestHandler::cancel_attempts() {
    // Only a closed connection tells a target to stop.
    const std::vector<OpenAttempt> open = m_open_attempts;
    for (const OpenAttempt& attempt : open) {
        if (!m_front.pool.withdraw(attempt.call)) {
            m_front.pool.abort(attempt.call);
        } else {
            on_not_sent(attempt.target);
            report_if_trial(attempt, TrialEnd::not_sent);
        }
    }
}

}  // namespace ebonymount
