#include "node/target_worker.h"

#include <algorithm>

#include "base/check.h"
#include "io/exception_guard.h"
#include "io/http_status.h"

namespace ebonymount {
namespace {

/// Time after the deadline for which a response is still awaited, so that the slot does not count
/// as free while the target is still working.
constexpr Duration RESPONSE_GRACE = from_ms(250);

constexpr Duration CONNECT_TIMEOUT = from_ms(500);
constexpr Duration CANCEL_TIMEOUT = from_ms(200);
constexpr Duration PROBE_INTERVAL = from_ms(100);
constexpr Duration IDLE_WAIT = from_ms(1000);

/// Wait of the oldest job, in mean service times, after which the newest job is started first.
constexpr int BACKLOG_SERVICE_TIMES = 4;

WireOutcome make_outcome(const RelayJob& job, AttemptStatus status, Verdict verdict) {
    WireOutcome outcome;
    outcome.attempt = job.item.attempt;
    outcome.status = static_cast<std::uint8_t>(status);
    outcome.verdict = static_cast<std::uint8_t>(verdict);
    return outcome;
}

void report_not_run(const RelayJob& job, AttemptStatus status) {
    job.sink(make_outcome(job, status, Verdict::not_run));
}

void report_lost(const RelayJob& job) {
    job.sink(make_outcome(job, AttemptStatus::target_lost, Verdict::may_have_run));
}

std::string header_of(const HttpResponse& response, const std::string& name) {
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? "" : found->second;
}

std::string attempt_name(const RelayJob& job) {
    return job.query->query_id + "." + std::to_string(job.item.attempt);
}

HttpRequest make_request(const RelayJob& job, const std::string& service, Time now) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/run/" + service;
    request.headers = {{"X-Attempt", attempt_name(job)},
                       {"X-Shard", job.item.shard},
                       {"X-Snapshot", job.query->snapshot},
                       {"X-Deadline-Us", std::to_string((job.deadline - now).count())}};
    if (!job.query->key.empty()) {
        request.headers["Idempotency-Key"] = job.query->key;
    }
    request.body = job.query->body;
    return request;
}

void set_status(WireOutcome& outcome, AttemptStatus status, Verdict verdict) {
    outcome.status = static_cast<std::uint8_t>(status);
    outcome.verdict = static_cast<std::uint8_t>(verdict);
}

}  // namespace

TargetWorker::TargetWorker(NodeState& state, std::string service, Target target, std::string group,
                           AdmissionState admission)
    : m_state(state),
      m_service(std::move(service)),
      m_target(std::move(target)),
      m_group(std::move(group)),
      m_sent(state.metrics().counter("ebonymount_relay_sent_total")),
      m_refused(state.metrics().counter("ebonymount_relay_refused_total")),
      m_admission(std::move(admission)) {
    m_admission.running = 0;
    add_slot_threads();
}

TargetWorker::~TargetWorker() {
    close_queue();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void TargetWorker::submit(const std::shared_ptr<RelayJob>& job) {
    const Time now = monotonic_now();
    const ServiceRow service_row = row();
    std::optional<AttemptStatus> refused = refusal(*job, now);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::int64_t current_share = share(now);
        const std::int64_t queued = static_cast<std::int64_t>(m_queue.size());
        if (m_closed) {
            refused = AttemptStatus::not_owner;
        } else if (!refused.has_value()) {
            const Duration wait =
                expected_wait(m_admission, service_row, current_share, queued, now);
            if (m_admission.broken) {
                refused = AttemptStatus::unreachable;
            } else if (now < m_admission.draining_until) {
                refused = AttemptStatus::out_of_service;
            } else if (wait >= job->deadline - now) {
                refused = AttemptStatus::overloaded;
            }
        }
        if (!refused.has_value()) {
            m_queue.push_back(job);
        }
    }
    if (refused.has_value()) {
        ++m_refused;
        report_not_run(*job, *refused);
        return;
    }
    m_wake.notify_one();
}

std::shared_ptr<RelayJob> TargetWorker::cancel(const std::string& query_id, std::uint64_t attempt) {
    const auto is_same_attempt = [&query_id, attempt](const std::shared_ptr<RelayJob>& job) {
        return job->query->query_id == query_id && job->item.attempt == attempt;
    };
    std::shared_ptr<RelayJob> waiting;
    std::shared_ptr<RelayJob> running;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto queued = std::find_if(m_queue.begin(), m_queue.end(), is_same_attempt);
        if (queued != m_queue.end()) {
            waiting = *queued;
            m_queue.erase(queued);
        }
        const auto started = std::find_if(m_running.begin(), m_running.end(), is_same_attempt);
        if (started != m_running.end()) {
            running = *started;
            running->cancelled = true;
        }
    }
    if (waiting != nullptr) {
        report_not_run(*waiting, AttemptStatus::cancelled);
    }
    return running;
}

void TargetWorker::close_queue() {
    std::deque<std::shared_ptr<RelayJob>> waiting;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closed = true;
        waiting.swap(m_queue);
    }
    for (const std::shared_ptr<RelayJob>& job : waiting) {
        report_not_run(*job, AttemptStatus::not_owner);
    }
}

bool TargetWorker::wait_idle(Duration timeout) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_idle.wait_for(lock, timeout, [this] { return m_running.empty(); });
}

AdmissionState TargetWorker::admission() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_admission;
}

TargetStatus TargetWorker::status() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_target.id, m_group, m_admission, m_queue.size(), m_connections_opened};
}

void TargetWorker::add_slot_threads() {
    const std::size_t slots = static_cast<std::size_t>(row().slots);
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (m_threads.size() < slots) {
        m_threads.emplace_back([this] { run_thread("relay", [this] { run_slot(); }); });
    }
}

void TargetWorker::run_slot() {
    HttpConnection connection(m_target.address, CONNECT_TIMEOUT);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (m_admission.broken && !m_probing) {
            probe(lock);
            continue;
        }
        const std::shared_ptr<RelayJob> job = next_job(lock);
        if (job == nullptr) {
            continue;
        }
        lock.unlock();
        bool has_outcome = true;
        const auto run = [&] {
            has_outcome = run_job(job, connection);
        };
        if (!run_guarded("relay", run)) {
            connection.close();
            run_guarded("relay", [&job] { report_lost(*job); });
        }
        lock.lock();
        std::erase(m_running, job);
        if (!has_outcome && !m_closed) {
            m_queue.push_front(job);
        } else if (!has_outcome) {
            lock.unlock();
            report_not_run(*job, AttemptStatus::not_owner);
            lock.lock();
        }
        if (m_running.empty()) {
            m_idle.notify_all();
        }
        m_wake.notify_one();
    }
}

/// Returns a job that may start now, or null after a wait or a refusal. Called with the lock held.
std::shared_ptr<RelayJob> TargetWorker::next_job(std::unique_lock<std::mutex>& lock) {
    std::shared_ptr<RelayJob> job;
    if (m_queue.empty()) {
        m_wake.wait_for(lock, IDLE_WAIT);
        return nullptr;
    }
    dequeue_startable_job(lock, job);
    return job;
}

/// The job to start next: the oldest, or the newest while the oldest has waited too long. With such
/// a backlog the oldest job's caller would give up before the job ends, and a cold target would
/// never reach the successes that it needs to warm up.
std::deque<std::shared_ptr<RelayJob>>::iterator TargetWorker::choose_job(Time now) {
    const Duration waited = now - m_queue.front()->received;
    const bool has_backlog = waited > m_admission.mean_service_time * BACKLOG_SERVICE_TIMES;
    return has_backlog ? std::prev(m_queue.end()) : m_queue.begin();
}

/// Moves a job from the queue to `job` and returns true if one may start now. Otherwise refuses a
/// job that cannot start in time, or waits until admission may allow a start. Called with the lock
/// held.
bool TargetWorker::dequeue_startable_job(std::unique_lock<std::mutex>& lock,
                                         std::shared_ptr<RelayJob>& job) {
    const Time now = monotonic_now();
    const std::deque<std::shared_ptr<RelayJob>>::iterator position = choose_job(now);
    const std::shared_ptr<RelayJob> chosen = *position;
    std::optional<AttemptStatus> refused = refusal(*chosen, now);
    const ServiceRow service_row = row();
    const Admission decision = admit(m_admission, service_row, share(now), now);
    if (!refused.has_value() && now + m_admission.mean_service_time > chosen->deadline) {
        refused = AttemptStatus::overloaded;
    }
    if (!refused.has_value() && decision == Admission::closed) {
        refused = AttemptStatus::unreachable;
    }
    if (refused.has_value()) {
        m_queue.erase(position);
        lock.unlock();
        ++m_refused;
        report_not_run(*chosen, *refused);
        lock.lock();
        return false;
    }
    if (decision == Admission::wait) {
        const Time until = std::max(m_admission.next_start, now + from_ms(1));
        m_wake.wait_until(lock, std::min(until, chosen->deadline));
        return false;
    }
    m_queue.erase(position);
    on_start(m_admission, service_row, now);
    m_running.push_back(chosen);
    job = chosen;
    return true;
}

std::optional<AttemptStatus> TargetWorker::refusal(const RelayJob& job, Time now) const {
    if (job.cancelled) {
        return AttemptStatus::cancelled;
    }
    if (now >= job.deadline) {
        return AttemptStatus::overloaded;
    }
    if (share(now) == 0) {
        return AttemptStatus::not_owner;
    }
    const std::shared_ptr<const RoutingView> view = m_state.view();
    const auto placement = view->placements.find(m_service);
    const Target* target =
        placement == view->placements.end() ? nullptr : find_target(placement->second, m_target.id);
    if (target == nullptr || !accepts_new_work(*view, *target) || m_state.is_isolated(now)) {
        return AttemptStatus::out_of_service;
    }
    return std::nullopt;
}

/// Sends the job and reports its outcome. False when there is none and the job has to be admitted
/// again.
bool TargetWorker::run_job(const std::shared_ptr<RelayJob>& job, HttpConnection& connection) {
    const Time started = monotonic_now();
    std::optional<WireOutcome> outcome = exchange(*job, connection);
    if (!outcome.has_value()) {
        return false;
    }
    outcome->queue_us = (started - job->received).count();
    outcome->target_us = (monotonic_now() - started).count();
    job->sink(std::move(*outcome));
    return true;
}

ConnectResult TargetWorker::connect(HttpConnection& connection) {
    const int opened_before = connection.opened();
    const ConnectResult connected = connection.ensure_connected();
    m_connections_opened += connection.opened() - opened_before;
    return connected;
}

/// Sends the job and waits for the response. Returns nothing when the target has closed the idle
/// connection: it may have restarted and be cold, so the job has to be admitted again.
std::optional<WireOutcome> TargetWorker::exchange(RelayJob& job, HttpConnection& connection) {
    const ConnectResult connected = connect(connection);
    if (connected == ConnectResult::replaced) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        on_connection_replaced(m_admission, monotonic_now());
        return std::nullopt;
    }
    if (connected == ConnectResult::failed) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        on_connect_failed(m_admission);
        return make_outcome(job, AttemptStatus::unreachable, Verdict::not_run);
    }
    const Time sent = monotonic_now();
    // Opening the connection may have taken long, or this process may have been paused.
    if (const std::optional<AttemptStatus> refused = refusal(job, sent)) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        on_end_without_evidence(m_admission);
        return make_outcome(job, *refused, Verdict::not_run);
    }
    ++m_sent;
    const HttpResponse response = connection.exchange(make_request(job, m_service, sent),
                                                      job.deadline - sent + RESPONSE_GRACE);
    WireOutcome outcome = make_outcome(job, AttemptStatus::target_lost, Verdict::may_have_run);
    apply_response(response, monotonic_now() - sent, outcome);
    return outcome;
}

void TargetWorker::apply_response(const HttpResponse& response, Duration service_time,
                                  WireOutcome& outcome) {
    const Time now = monotonic_now();
    const ServiceRow service_row = row();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (response.stage != ExchangeStage::answered) {
        on_connection_broken(m_admission, now);
        set_status(outcome,
                   response.timed_out ? AttemptStatus::timed_out : AttemptStatus::target_lost,
                   Verdict::may_have_run);
        return;
    }
    switch (response.status) {
        case http::OK:
            on_success(m_admission, service_row, header_of(response, "X-Incarnation"), service_time,
                       now);
            set_status(outcome, AttemptStatus::answered, Verdict::ran);
            outcome.snapshot = header_of(response, "X-Snapshot");
            outcome.digest = header_of(response, "X-Digest");
            outcome.result = response.body;
            return;
        case http::TOO_MANY_REQUESTS:
            on_shed(m_admission, now);
            set_status(outcome, AttemptStatus::shed, Verdict::not_run);
            return;
        case http::UNAVAILABLE:
            on_draining(m_admission, now);
            set_status(outcome, AttemptStatus::shed, Verdict::not_run);
            return;
        case http::CONFLICT:
            on_end_without_evidence(m_admission);
            set_status(outcome, AttemptStatus::snapshot_missing, Verdict::not_run);
            return;
        case http::BAD_REQUEST:
            on_end_without_evidence(m_admission);
            set_status(outcome, AttemptStatus::rejected, Verdict::not_run);
            outcome.result = response.body;
            return;
        case http::CANCELLED:
            on_end_without_evidence(m_admission);
            set_status(outcome, AttemptStatus::cancelled, Verdict::may_have_run);
            return;
        default:
            on_end_without_evidence(m_admission);
            set_status(outcome, AttemptStatus::timed_out, Verdict::may_have_run);
    }
}

/// Tries to open a connection to a target that refuses connections. Sends no request.
void TargetWorker::probe(std::unique_lock<std::mutex>& lock) {
    m_probing = true;
    m_wake.wait_for(lock, PROBE_INTERVAL);
    lock.unlock();
    bool reachable = false;
    if (share(monotonic_now()) > 0) {
        HttpConnection connection(m_target.address, CONNECT_TIMEOUT);
        reachable = connection.ensure_connected() != ConnectResult::failed;
    }
    lock.lock();
    if (reachable) {
        on_reachable_again(m_admission, monotonic_now());
    }
    m_probing = false;
}

void TargetWorker::cancel_at_target(const RelayJob& job) const {
    HttpRequest request;
    request.method = "POST";
    request.path = "/cancel";
    request.headers = {{"X-Attempt", attempt_name(job)}};
    exchange_once(m_target.address, request, CANCEL_TIMEOUT);
}

ServiceRow TargetWorker::row() const {
    const std::shared_ptr<const RoutingView> view = m_state.view();
    const ServiceRow* found = find_row(view->configuration, m_service);
    return found == nullptr ? ServiceRow{} : *found;
}

std::int64_t TargetWorker::share(Time now) const {
    return m_state.leases().usable_share(m_group, now);
}

}  // namespace ebonymount
