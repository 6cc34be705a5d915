#include "front/crash_reporter.h"

#include <algorithm>

#include "front/store_call.h"
#include "io/http_status.h"
#include "io/log_event.h"
#include "platform/store_calls.h"

namespace ebonymount {
namespace {

/// Maximum number of reports that wait for the store. A node that sees more crashes in one outage
/// has refused the requests that caused them.
constexpr std::size_t MAX_QUEUED = 500;

/// The store responds within milliseconds; a call that takes longer than this has hit an outage.
constexpr Duration WRITE_TIMEOUT = from_ms(600);

/// Maximum pause after a failed write: the first, doubled with each further failure. The last is
/// short against the stable window of 4 s, within which all nodes must know of the crash.
constexpr Duration FIRST_PAUSE = from_ms(200);
constexpr int MAX_PAUSE_DOUBLINGS = 2;

/// True if the store has the report, or has refused it for a reason that no repetition removes.
bool is_final(CallStatus status, int http_status) {
    return status == CallStatus::answered && http_status < http::INTERNAL_ERROR &&
           http_status != http::TOO_MANY_REQUESTS;
}

}  // namespace

CrashReporter::CrashReporter(FrontState& state, std::string store_address)
    : m_state(state), m_store_address(std::move(store_address)) {}

void CrashReporter::add(const std::string& name) {
    m_queue.push_back(name);
    if (m_queue.size() > MAX_QUEUED) {
        ++m_state.counters.crash_reports_dropped;
        LogEvent(LogLevel::warning, "quarantine", "report_dropped")
            .add("report", m_queue.front())
            .write();
        m_queue.pop_front();
    }
    sweep(monotonic_now());
}

void CrashReporter::sweep(Time now) {
    if (!m_queue.empty() && !m_in_flight && now >= m_next_write) {
        write_next();
    }
}

void CrashReporter::write_next() {
    const std::string name = m_queue.front();
    m_in_flight = true;
    const StoreCall call = {m_store_address, "POST",
                            platform::create_path(platform::Kind::quarantine),
                            platform::create_body(name, ""), WRITE_TIMEOUT};
    call_store(m_state.event_loop, call,
               [this, name, alive = std::weak_ptr<bool>(m_alive)](
                   CallStatus status, const HttpResponseMessage& response) {
                   if (!alive.expired()) {
                       on_end(name, status, response.status);
                   }
               });
}

void CrashReporter::on_end(const std::string& name, CallStatus status, int http_status) {
    m_in_flight = false;
    const bool is_done = is_final(status, http_status);
    ++(is_done ? m_state.counters.crash_reports_stored : m_state.counters.crash_reports_failed);
    LogEvent(is_done ? LogLevel::info : LogLevel::warning, "quarantine", "report")
        .add("report", name)
        .add("stored", is_done ? "yes" : "no")
        .add("outcome", name_of(status))
        .add("status", http_status)
        .add("queued", static_cast<std::int64_t>(m_queue.size()))
        .write();
    const Time now = monotonic_now();
    if (is_done) {
        // The report may have been dropped from a full queue meanwhile.
        std::erase(m_queue, name);
        m_failures = 0;
        sweep(now);
        return;
    }
    const Duration maximum = FIRST_PAUSE * (1 << std::min(m_failures, MAX_PAUSE_DOUBLINGS));
    m_next_write = now + scaled(maximum, uniform(m_random));
    ++m_failures;
}

}  // namespace ebonymount
