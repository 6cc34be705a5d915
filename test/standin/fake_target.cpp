#include "fake_target.h"

#include <chrono>

#include "base/check.h"
#include "base/hash.h"
#include "io/http_status.h"

namespace standin {

using ebonymount::HandlerRequest;
using ebonymount::HandlerResponse;
using ebonymount::make_response;
using Clock = std::chrono::steady_clock;

namespace {

/// Threads in addition to the slots, for requests that are shed and for cancellations.
constexpr int SPARE_THREADS = 12;

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A result that makes the server close the connection without a response.
HandlerResponse dropped() {
    HandlerResponse response;
    response.drop = true;
    return response;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

std::string digest_of(const std::string& snapshot, const std::string& shard) {
    return std::to_string(ebonymount::stable_hash(snapshot + "/" + shard) % 1000000);
}

FakeTarget::FakeTarget(FakeTargetParameters parameters, bool is_cold, std::uint64_t seed)
    : m_parameters(std::move(parameters)),
      m_random(seed),
      m_cold(is_cold),
      m_bound_address(m_parameters.address) {
    start();
    m_restarter = std::thread([this] { restart_loop(); });
}

FakeTarget::~FakeTarget() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_restarter.join();
    m_server.reset();
}

void FakeTarget::make_cold(bool restart) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cold = true;
    m_cold_detectable = restart;
    m_served_since_cold = 0;
    m_cold_overload_count = 0;
    if (restart) {
        ++m_incarnation;
        m_down = true;
        m_restart_due = true;
        m_wake.notify_all();
    }
}

void FakeTarget::stop() {
    std::unique_ptr<ebonymount::HttpServer> server;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_down = true;
        server = std::move(m_server);
    }
    m_wake.notify_all();
    server.reset();
}

void FakeTarget::start() {
    ebonymount::Result<std::unique_ptr<ebonymount::HttpServer>> server =
        ebonymount::HttpServer::start({m_bound_address, m_parameters.slots + SPARE_THREADS},
                                      [this](const HandlerRequest& call) { return handle(call); });
    internal_check(ebonymount::has_value(server))
        << ebonymount::describe(ebonymount::error_of(server));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_server = std::move(std::get<std::unique_ptr<ebonymount::HttpServer>>(server));
    m_bound_address = m_server->address();
    m_down = false;
    m_clients.clear();
}

void FakeTarget::set_draining(bool draining) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_draining = draining;
}

void FakeTarget::set_snapshots(const std::set<std::string>& snapshots) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_parameters.snapshots = snapshots;
}

void FakeTarget::set_stragglers(double share, double factor) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_parameters.straggler_share = share;
    m_parameters.straggler_factor = factor;
}

void FakeTarget::set_service_ms(double service_ms) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_parameters.service_ms = service_ms;
}

void FakeTarget::set_serving_missing_snapshots(bool serving) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_serves_missing_snapshots = serving;
}

TargetReport FakeTarget::report() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_report;
}

std::map<std::string, int> FakeTarget::runs_by_key() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::string FakeTarget::address() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_bound_address;
}

HandlerResponse FakeTarget::handle(const HandlerRequest& call) {
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_down) {
            return dropped();
        }
        if (m_clients.insert(call.client).second) {
            ++m_report.connections;
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(m_parameters.open_ms));
        }
    }
    return call.path == "/cancel" ? cancel(call) : run(call);
}

HandlerResponse FakeTarget::run(const HandlerRequest& call) {
    const std::string attempt = call.header("X-Attempt");
    const std::string shard = call.header("X-Shard");
    const std::string snapshot = call.header("X-Snapshot");
    const std::string key = call.header("Idempotency-Key");
    const std::chrono::microseconds allowed(std::stoll(call.header("X-Deadline-Us")));
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_draining) {
        return make_response(ebonymount::http::UNAVAILABLE, "{}");
    }
    if (contains(call.body, "\"reject\"")) {
        return make_response(ebonymount::http::BAD_REQUEST, "{\"message\":\"rejected\"}");
    }
    const bool has_snapshot =
        m_parameters.snapshots.empty() || m_parameters.snapshots.count(snapshot) > 0;
    if (!has_snapshot && !m_serves_missing_snapshots) {
        return make_response(ebonymount::http::CONFLICT, "{}");
    }
    if (!admit_locked()) {
        ++m_report.shed;
        return make_response(ebonymount::http::TOO_MANY_REQUESTS, "{}");
    }
    ++m_running;
    ++m_report.started;
    m_report.max_running = std::max<std::int64_t>(m_report.max_running, m_running);
    m_report.last_start_ms = wall_clock_ms();
    if (!key.empty() && ++m_runs[key] > 1) {
        ++m_report.duplicate_runs;
    }
    if (contains(call.body, "\"crash\"")) {
        crash_locked();
    }
    const std::int64_t incarnation = m_incarnation;
    const std::chrono::microseconds service_time(
        static_cast<std::int64_t>(service_time_locked() * 1000.0));
    const Clock::time_point finish_at = Clock::now() + std::min(service_time, allowed);
    m_wake.wait_until(lock, finish_at, [this, &attempt, incarnation] {
        return m_down || m_stopping || m_incarnation != incarnation ||
               m_cancelled.count(attempt) > 0;
    });
    --m_running;
    if (m_down || m_stopping || m_incarnation != incarnation) {
        return dropped();
    }
    if (m_cancelled.erase(attempt) > 0 || service_time > allowed) {
        ++m_report.cancelled;
        return make_response(ebonymount::http::CANCELLED, "{}");
    }
    ++m_report.answered;
    m_cold_detectable = true;
    if (m_cold && ++m_served_since_cold >= m_parameters.warm_after) {
        m_cold = false;
    }
    HandlerResponse response = make_response(
        ebonymount::http::OK, "{\"target\":\"" + m_parameters.id + "\",\"echo\":" +
                                  (call.body.empty() ? std::string("null") : call.body) + "}");
    response.headers = {{"X-Snapshot", snapshot},
                        {"X-Digest", has_snapshot ? digest_of(snapshot, shard) : "none"},
                        {"X-Incarnation", std::to_string(m_incarnation)}};
    return response;
}

HandlerResponse FakeTarget::cancel(const HandlerRequest& call) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cancelled.insert(call.header("X-Attempt"));
    m_wake.notify_all();
    return make_response(ebonymount::http::OK, "{}");
}

/// Returns false for a request beyond the limits, and counts it as an overload. Requests that are
/// refused also count towards the rate.
bool FakeTarget::admit_locked() {
    const Clock::time_point now = Clock::now();
    m_recent_arrivals.push_back(now);
    while (now - m_recent_arrivals.front() > std::chrono::seconds(1)) {
        m_recent_arrivals.pop_front();
    }
    const int limit = m_cold ? m_parameters.cold_slots : m_parameters.slots;
    const double cold_rate_limit = m_parameters.cold_rate_per_s * (1 + m_served_since_cold);
    const bool rate_exceeded =
        m_cold && static_cast<double>(m_recent_arrivals.size()) > cold_rate_limit;
    if (m_running < limit && !rate_exceeded) {
        return true;
    }
    count_overload_locked();
    return false;
}

void FakeTarget::count_overload_locked() {
    ++m_report.overloads;
    if (!m_cold) {
        return;
    }
    if (m_cold_detectable) {
        ++m_report.cold_overloads;
    } else {
        ++m_report.blind_overloads;
    }
    m_cold_detectable = true;
    if (++m_cold_overload_count >= m_parameters.crash_after_overloads) {
        crash_locked();
    }
}

double FakeTarget::service_time_locked() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    std::gamma_distribution<double> spread(8.0, 1.0 / 8.0);
    const double factor =
        share(m_random) < m_parameters.straggler_share ? m_parameters.straggler_factor : 1;
    return m_parameters.service_ms * spread(m_random) * factor;
}

void FakeTarget::crash_locked() {
    ++m_report.crashes;
    ++m_incarnation;
    m_cold = true;
    m_cold_detectable = true;
    m_served_since_cold = 0;
    m_cold_overload_count = 0;
    m_down = true;
    m_restart_due = true;
    m_wake.notify_all();
}

/// Closes the port of a crashed target and opens it again after its restart time.
void FakeTarget::restart_loop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait(lock, [this] { return m_stopping || m_restart_due; });
        if (m_stopping) {
            return;
        }
        m_restart_due = false;
        lock.unlock();
        stop();
        lock.lock();
        m_wake.wait_for(lock, std::chrono::milliseconds(m_parameters.restart_ms),
                        [this] { return m_stopping; });
        if (m_stopping) {
            return;
        }
        lock.unlock();
        start();
        lock.lock();
    }
}

}  // namespace standin
