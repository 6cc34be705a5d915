#include "front/crash_reporter.h"

#include <algorithm>

#include "front/store_call.h"
#include "io/http_status.h"
#include "io/log_event.h"
#include "platform/store_calls.h"

namespace ebonymount {
namespace {

/// Maximum number of calls that wait for the store. A node that sees more crashes in one outage
/// has refused the requests that caused them.
constexpr std::size_t MAX_QUEUED = 500;

/// The store responds within milliseconds; a call that takes longer than this has hit an outage.
constexpr Duration CALL_TIMEOUT = from_ms(600);

/// How long a report waits for another target's answer, which would refute it: about the time that
/// a retry or hedge takes.
constexpr Duration ANSWER_WAIT = from_ms(150);

/// Maximum pause after a failed call: the first, doubled with each further failure. The last is
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

void CrashReporter::add(const std::string& name, const Crash& crash) {
    push({name, platform::crash_report_body(name, crash), monotonic_now() + ANSWER_WAIT});
}

void CrashReporter::add_claim(const TrialClaim& claim, const std::string& node) {
    push({trial_claim_name(claim), platform::trial_claim_body(claim, node), monotonic_now()});
}

void CrashReporter::withdraw(const std::string& name) {
    const auto first_unsent = m_queue.begin() + (m_in_flight ? 1 : 0);
    const auto found = std::find_if(first_unsent, m_queue.end(),
                                    [&name](const Write& write) { return write.name == name; });
    if (found != m_queue.end()) {
        m_queue.erase(found);
        return;
    }
    push({name, "", monotonic_now()});
}

bool CrashReporter::is_queued(const std::string& name) const {
    return std::any_of(m_queue.begin(), m_queue.end(),
                       [&name](const Write& write) { return write.name == name; });
}

void CrashReporter::push(Write write) {
    m_queue.push_back(std::move(write));
    if (m_queue.size() > MAX_QUEUED) {
        const auto oldest_unsent = m_queue.begin() + (m_in_flight ? 1 : 0);
        ++m_state.counters.crash_reports_dropped;
        LogEvent(LogLevel::warning, "quarantine", "report_dropped")
            .add("report", oldest_unsent->name)
            .write();
        m_queue.erase(oldest_unsent);
    }
}

void CrashReporter::sweep(Time now) {
    if (!m_queue.empty() && !m_in_flight && now >= std::max(m_next_call, m_queue.front().due)) {
        make_call();
    }
}

void CrashReporter::make_call() {
    const Write& write = m_queue.front();
    const bool creates = !write.body.empty();
    const std::string path = creates
                                 ? platform::create_path(platform::Kind::quarantine)
                                 : platform::object_path(platform::Kind::quarantine, write.name);
    m_in_flight = true;
    call_store(m_state.event_loop,
               {m_store_address, creates ? "POST" : "DELETE", path, write.body, CALL_TIMEOUT},
               [this, alive = std::weak_ptr<bool>(m_alive)](CallStatus status,
                                                            const HttpResponseMessage& response) {
                   if (!alive.expired()) {
                       on_end(status, response.status);
                   }
               });
}

void CrashReporter::on_end(CallStatus status, int http_status) {
    m_in_flight = false;
    const bool is_done = is_final(status, http_status);
    const Write& write = m_queue.front();
    ++(is_done ? m_state.counters.crash_reports_stored : m_state.counters.crash_reports_failed);
    LogEvent(is_done ? LogLevel::info : LogLevel::warning, "quarantine",
             write.body.empty() ? "report_withdrawn" : "report")
        .add("report", write.name)
        .add("done", is_done ? "yes" : "no")
        .add("outcome", name_of(status))
        .add("status", http_status)
        .add("queued", static_cast<std::int64_t>(m_queue.size()))
        .write();
    const Time now = monotonic_now();
    if (is_done) {
        m_queue.pop_front();
        m_failures = 0;
        sweep(now);
        return;
    }
    const Duration maximum = FIRST_PAUSE * (1 << std::min(m_failures, MAX_PAUSE_DOUBLINGS));
    m_next_call = now + scaled(maximum, uniform(m_random));
    ++m_failures;
}

}  // namespace ebonymount
