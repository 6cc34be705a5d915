#include "front/kind_watcher.h"

#include <algorithm>
#include <utility>

#include "io/exception_guard.h"
#include "io/http_status.h"
#include "io/log_event.h"

namespace ebonymount {
namespace {

/// Pause after the first failed call; it doubles with each further failure, up to a maximum. The
/// watcher that probes an unavailable store has `WatcherTiming::probe_pause` as its maximum; the
/// others wait for longer, as they are woken when the probe succeeds. A list that is polled is what
/// a node waits for when it starts.
constexpr Duration FIRST_RETRY_PAUSE = from_ms(100);
constexpr Duration NON_PROBE_PAUSE = from_ms(3000);
constexpr Duration POLLED_LIST_PAUSE = from_ms(1000);
constexpr std::int64_t MAX_PAUSE_DOUBLINGS = 5;

/// The timeout of a list doubles each time that one has timed out. When all nodes start at once, a
/// store answers each of them late, and calls that are given up and made again keep it so.
constexpr std::int64_t MAX_TIMEOUT_DOUBLINGS = 2;

/// Pause before the second read of a polled list: when all nodes start at once, the first read
/// misses most of them.
constexpr Duration FIRST_POLL_INTERVAL = from_ms(2000);

/// Failures that last for longer than this count as an outage. The store removes entries after
/// three missed heartbeats of about a second each; during a shorter failure it removes none.
constexpr Duration OUTAGE_TIME = from_ms(1500);

/// Delay until the list is read again after the store has returned from an older copy, multiplied
/// by the watcher's jitter: all nodes learn of it together, and the store limits its reads a
/// second.
constexpr Duration RETURN_SPREAD = from_ms(400);

/// Pause after the given number of failures in a row, at least one.
Duration doubled_pause(std::int64_t failures, Duration maximum) {
    const std::int64_t doublings = std::min(failures - 1, MAX_PAUSE_DOUBLINGS);
    return std::min(maximum, FIRST_RETRY_PAUSE * (std::int64_t{1} << doublings));
}

}  // namespace

KindWatcher::KindWatcher(EventLoop& loop, const KindWatcherOptions& options,
                         KindWatcherHandlers handlers, Metrics& metrics)
    : m_loop(loop),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_calls(metrics.counter(std::string("ebonymount_store_calls_total{kind=\"") +
                              platform::name_of(options.kind) + "\"}")),
      m_failures(metrics.counter(std::string("ebonymount_store_failures_total{kind=\"") +
                                 platform::name_of(options.kind) + "\"}")),
      m_age_ms(metrics.counter(std::string("ebonymount_store_kind_age_ms{kind=\"") +
                               platform::name_of(options.kind) + "\"}")),
      m_proofs(metrics.counter(std::string("ebonymount_store_proofs_total{kind=\"") +
                               platform::name_of(options.kind) + "\"}")),
      m_current_proofs(
          metrics.counter(std::string("ebonymount_store_current_proofs_total{kind=\"") +
                          platform::name_of(options.kind) + "\"}")) {}

std::shared_ptr<KindWatcher> KindWatcher::start(EventLoop& loop, const KindWatcherOptions& options,
                                                KindWatcherHandlers handlers, Metrics& metrics) {
    const std::shared_ptr<KindWatcher> watcher(
        new KindWatcher(loop, options, std::move(handlers), metrics));
    watcher->m_paused = options.is_paused;
    if (!options.is_paused) {
        watcher->read_list();
    }
    return watcher;
}

void KindWatcher::pause() {
    if (m_paused) {
        return;
    }
    m_paused = true;
    end_call();
    m_listed_objects.clear();
}

void KindWatcher::end_call() {
    ++m_call_number;
    if (m_pause_timer.has_value()) {
        m_loop.cancel(*m_pause_timer);
        m_pause_timer.reset();
    }
    if (m_channel != nullptr) {
        m_channel->close();
        m_channel.reset();
    }
}

void KindWatcher::resume(const StorePosition& position, bool store_failed_recently) {
    if (!m_paused) {
        return;
    }
    m_paused = false;
    m_consecutive_failures = 0;
    if (store_failed_recently) {
        m_reads_current_until = monotonic_now() + CURRENT_READS_TIME;
    }
    m_position = position;
    if (position.revision == 0 || !is_of_known_era() ||
        m_options.poll_interval > Duration::zero()) {
        read_list();
        return;
    }
    m_next_watch_is_first = true;
    wait_for_changes();
}

platform::Kind KindWatcher::kind() const {
    return m_options.kind;
}

void KindWatcher::set_timing(const WatcherTiming& timing) {
    m_options.timing = timing;
    if (m_call_wait > timing.watch_wait) {
        restart_watch();
    }
}

Time KindWatcher::complete_at() const {
    return m_complete_at;
}

void KindWatcher::report_age(Duration age) {
    m_age_ms = age.count() / 1000;
}

void KindWatcher::stop() {
    m_stopped = true;
    if (m_channel != nullptr) {
        m_channel->close();
    }
}

void KindWatcher::call(const std::string& path, Duration timeout, const CallHandler& on_end) {
    if (m_stopped || m_paused) {
        return;
    }
    ++m_calls;
    const std::uint64_t number = ++m_call_number;
    const std::weak_ptr<KindWatcher> weak = weak_from_this();
    if (m_channel == nullptr || m_channel->is_closed()) {
        m_channel = HttpChannel::open(m_loop, m_options.store_address, [](HttpChannel&) {});
    }
    if (m_channel == nullptr) {
        m_loop.post([weak, number, on_end] {
            const std::shared_ptr<KindWatcher> self = weak.lock();
            if (self != nullptr && self->m_call_number == number) {
                on_end(CallStatus::not_sent, HttpResponseMessage{});
            }
        });
        return;
    }
    const TimerId timer = m_loop.run_at(monotonic_now() + timeout, [weak, number] {
        const std::shared_ptr<KindWatcher> self = weak.lock();
        if (self != nullptr && self->m_call_number == number && self->m_channel != nullptr) {
            self->m_timed_out = true;
            self->m_channel->close();
        }
    });
    ChannelCall request;
    request.make_request = [path, address = m_options.store_address] {
        return encode(HttpRequestMessage{"GET", path, {{"Host", address}}, "", true});
    };
    request.on_sent = [] {
    };
    request.on_end = [weak, timer, number, on_end](CallStatus status,
                                                   const HttpResponseMessage& response) {
        const std::shared_ptr<KindWatcher> self = weak.lock();
        if (self != nullptr) {
            self->m_loop.cancel(timer);
            const bool is_awaited = !self->m_stopped && self->m_call_number == number;
            const auto handle = [&] {
                if (!self->take_era(response)) {
                    self->m_listed_objects.clear();
                    self->on_failure("a response of an earlier era");
                    return;
                }
                on_end(status, response);
            };
            if (is_awaited && !run_guarded("store", handle)) {
                self->m_listed_objects.clear();
                self->on_failure("exception");
            }
        }
    };
    m_channel->start(std::move(request));
}

void KindWatcher::read_list() {
    const std::string after =
        m_listed_objects.empty() ? std::string() : m_listed_objects.back().name;
    const bool is_polled = m_options.poll_interval > Duration::zero();
    const platform::Freshness freshness = is_polled && monotonic_now() >= m_lists_current_until
                                              ? platform::Freshness::recent
                                              : platform::Freshness::current;
    m_is_watching = false;
    m_call_is_current = freshness == platform::Freshness::current;
    if (m_listed_objects.empty()) {
        m_called_at = monotonic_now();
    }
    call(platform::list_path(m_options.kind, after, freshness), list_timeout(),
         [this](CallStatus status, const HttpResponseMessage& response) {
             on_page(status, response);
         });
}

Duration KindWatcher::list_timeout() const {
    // No longer than a watch may take, so that a silent connection is noticed as soon.
    return std::min(STORE_CALL_TIMEOUT * (std::int64_t{1} << m_lists_timed_out),
                    m_options.timing.watch_wait + STORE_CALL_TIMEOUT);
}

void KindWatcher::on_page(CallStatus status, const HttpResponseMessage& response) {
    if (std::exchange(m_timed_out, false)) {
        m_lists_timed_out = std::min(m_lists_timed_out + 1, MAX_TIMEOUT_DOUBLINGS);
    }
    if (status != CallStatus::answered || response.status != http::OK) {
        m_listed_objects.clear();
        on_failure("list: " + std::string(name_of(status)) + " " + std::to_string(response.status));
        return;
    }
    Result<platform::ObjectPage> page = platform::decode_list(response.body);
    if (!has_value(page)) {
        m_listed_objects.clear();
        on_failure("list: " + describe(error_of(page)));
        return;
    }
    platform::ObjectPage& decoded = std::get<platform::ObjectPage>(page);
    log_objects_without_name(decoded);
    if (m_listed_objects.empty()) {
        m_list_made_after = complete_until();
        // The watch starts from the first page's revision, so changes made while further pages are
        // read are received again.
        m_position = {m_options.era->known, decoded.store_revision};
    } else if (!is_of_known_era()) {
        // Pages of two eras make no list.
        m_listed_objects.clear();
        read_list();
        return;
    }
    const bool has_more = decoded.has_more && !decoded.objects.empty();
    std::move(decoded.objects.begin(), decoded.objects.end(), std::back_inserter(m_listed_objects));
    if (has_more) {
        read_list();
        return;
    }
    const Time now = monotonic_now();
    m_lists_timed_out = 0;
    const bool after_outage = m_consecutive_failures > 0 && now - m_failing_since > OUTAGE_TIME;
    on_success(m_called_at);
    report_position();
    std::vector<platform::StoredObject> objects;
    objects.swap(m_listed_objects);
    KindUpdate update{m_options.kind, true, after_outage, m_position, std::move(objects)};
    update.made_after = m_list_made_after;
    m_handlers.on_update(std::move(update));
    if (m_options.poll_interval > Duration::zero()) {
        run_later(++m_polls == 1 ? FIRST_POLL_INTERVAL : m_options.poll_interval,
                  &KindWatcher::read_list);
    } else {
        wait_for_changes();
    }
}

void KindWatcher::wait_for_changes() {
    m_is_watching = true;
    m_called_at = monotonic_now();
    m_call_wait = next_watch_wait();
    const bool is_proof = std::exchange(m_next_watch_is_proof, false);
    const platform::Freshness freshness =
        is_proof && !reads_only_current() ? platform::Freshness::recent : watch_freshness();
    if (is_proof) {
        ++m_proofs;
    } else if (!reads_only_current() && must_be_proven()) {
        ++m_current_proofs;
        LogEvent(LogLevel::info, "store", "recent_data_unproven")
            .add("kind", platform::name_of(m_options.kind))
            .add("position", describe(m_position))
            .write();
    }
    m_call_is_current = freshness == platform::Freshness::current;
    call(platform::watch_path(m_options.kind, m_position.revision, m_call_wait, freshness),
         m_call_wait + STORE_CALL_TIMEOUT,
         [this](CallStatus status, const HttpResponseMessage& response) {
             on_watch_end(status, response);
         });
}

Duration KindWatcher::next_watch_wait() const {
    if (m_next_watch_is_first || m_next_watch_is_proof) {
        return Duration::zero();
    }
    const Duration wait = m_options.timing.watch_wait;
    if (!m_options.is_always_current || m_options.timing.proof_interval == Duration::zero()) {
        return wait;
    }
    const Duration left = m_complete_at + m_options.timing.proof_interval - monotonic_now();
    return std::clamp(left, Duration::zero(), wait);
}

std::optional<Time> KindWatcher::changes_made_after() const {
    // A current watch that has waited for longer than a call takes is answered at once.
    const Time now = monotonic_now();
    if (m_call_is_current && now > m_called_at + STORE_CALL_TIMEOUT) {
        return now - STORE_CALL_TIMEOUT;
    }
    return complete_until();
}

std::optional<Time> KindWatcher::complete_until() const {
    const Time proven = m_handlers.proven_until ? m_handlers.proven_until(m_position) : Time{};
    return proven == Time{} ? std::nullopt : std::optional<Time>(proven);
}

void KindWatcher::on_watch_end(CallStatus status, const HttpResponseMessage& response) {
    m_timed_out = false;
    if (!is_of_known_era()) {
        begin_era();
        return;
    }
    if (status == CallStatus::answered && response.status == http::GONE) {
        LogEvent(LogLevel::info, "store", "history_gone")
            .add("kind", platform::name_of(m_options.kind))
            .add("position", describe(m_position))
            .write();
        on_success(m_complete_at);
        m_reads_current_until = monotonic_now() + CURRENT_READS_TIME;
        if (m_histories_gone++ == 0) {
            read_list();
        } else {
            run_later(doubled_pause(m_histories_gone - 1, NON_PROBE_PAUSE),
                      &KindWatcher::read_list);
        }
        return;
    }
    if (status != CallStatus::answered || response.status != http::OK) {
        on_failure("watch: " + std::string(name_of(status)) + " " +
                   std::to_string(response.status));
        return;
    }
    Result<platform::ObjectPage> changes = platform::decode_changes(response.body);
    if (!has_value(changes)) {
        on_failure("watch: " + describe(error_of(changes)));
        return;
    }
    platform::ObjectPage& decoded = std::get<platform::ObjectPage>(changes);
    on_success(std::min(monotonic_now(), m_called_at + m_call_wait));
    m_histories_gone = 0;
    const std::optional<Time> made_after = changes_made_after();
    const std::int64_t known_revision = m_position.revision;
    m_position.revision = decoded.store_revision;
    report_position();
    m_position.revision = std::max(known_revision, decoded.store_revision);
    m_next_watch_is_first = false;
    log_objects_without_name(decoded);
    const bool has_changes = !decoded.objects.empty();
    if (has_changes) {
        KindUpdate update{m_options.kind, false, false, m_position, std::move(decoded.objects)};
        update.made_after = made_after;
        m_handlers.on_update(std::move(update));
    }
    if (!has_changes || must_be_proven()) {
        wait_for_changes();
        return;
    }
    const bool is_costly =
        watch_freshness() == platform::Freshness::current && !m_options.is_always_current;
    run_later(is_costly ? m_options.timing.pause_after_current_changes
                        : m_options.timing.pause_after_changes,
              &KindWatcher::wait_for_changes);
}

void KindWatcher::log_objects_without_name(const platform::ObjectPage& page) const {
    if (page.without_name > 0) {
        log_warning("store", std::string(platform::name_of(m_options.kind)) + ": left out " +
                                 std::to_string(page.without_name) +
                                 " objects whose names cannot be read");
    }
}

void KindWatcher::report_position() const {
    if (m_handlers.on_position) {
        m_handlers.on_position(m_position, m_call_is_current);
    }
}

bool KindWatcher::take_era(const HttpResponseMessage& response) {
    platform::StatedEra stated = platform::decode_era(response.headers);
    const EraChange change =
        on_stated_era(*m_options.era, stated.era, m_call_is_current, monotonic_now());
    if (change == EraChange::ignored) {
        stated.ignored = std::to_string(stated.era);
    }
    if (!stated.ignored.empty() && stated.ignored != m_ignored_era) {
        LogEvent(LogLevel::warning, "store", "ignored_era")
            .add("kind", platform::name_of(m_options.kind))
            .add("value", stated.ignored)
            .write();
    }
    m_ignored_era = stated.ignored;
    const bool has_changed = change == EraChange::returned || change == EraChange::corrected;
    if (has_changed || change == EraChange::earlier) {
        // Recent reads may be of the earlier era for a while.
        m_lists_current_until = monotonic_now() + CURRENT_READS_TIME;
    }
    if ((has_changed || change == EraChange::learned) && m_handlers.on_era_change) {
        m_handlers.on_era_change();
    }
    return change != EraChange::earlier;
}

bool KindWatcher::is_of_known_era() const {
    return m_position.era == m_options.era->known;
}

void KindWatcher::begin_era() {
    m_reads_current_until = monotonic_now() + CURRENT_READS_TIME;
    run_later(scaled(RETURN_SPREAD, m_options.pause_jitter), &KindWatcher::read_list);
}

void KindWatcher::enter_era() {
    m_lists_current_until = monotonic_now() + CURRENT_READS_TIME;
    m_reads_current_until = m_lists_current_until;
    m_polls = 0;
    // A list that is being read now is of the new era, or is refused for its era.
    const bool is_listing = !m_is_watching && !m_pause_timer.has_value();
    if (m_paused || m_stopped || is_listing || is_of_known_era()) {
        return;
    }
    end_call();
    begin_era();
}

void KindWatcher::on_success(Time complete_at) {
    m_complete_at = std::max(m_complete_at, complete_at);
    if (m_consecutive_failures > 0) {
        log_info("store", std::string(platform::name_of(m_options.kind)) +
                              ": answers again after " + std::to_string(m_consecutive_failures) +
                              " failures");
    }
    const bool recovered = m_consecutive_failures > 0;
    m_consecutive_failures = 0;
    if (recovered && m_handlers.on_recovered) {
        m_handlers.on_recovered();
    }
}

void KindWatcher::on_failure(const std::string& reason) {
    ++m_failures;
    m_reads_current_until = monotonic_now() + CURRENT_READS_TIME;
    if (m_consecutive_failures == 0) {
        m_failing_since = monotonic_now();
        log_warning("store", std::string(platform::name_of(m_options.kind)) + ": lost, " + reason);
    }
    ++m_consecutive_failures;
    run_later(pause_after_failure(), &KindWatcher::retry_list);
}

void KindWatcher::retry_list() {
    if (m_handlers.is_store_failing && m_handlers.is_store_failing()) {
        run_later(NON_PROBE_PAUSE, &KindWatcher::retry_list);
        return;
    }
    read_list();
}

Duration KindWatcher::pause_after_failure() const {
    const Duration maximum = m_options.is_probe ? m_options.timing.probe_pause
                             : m_options.poll_interval > Duration::zero() ? POLLED_LIST_PAUSE
                                                                          : NON_PROBE_PAUSE;
    return scaled(doubled_pause(m_consecutive_failures, maximum), 1.0 + m_options.pause_jitter);
}

bool KindWatcher::is_failing() const {
    return !m_paused && m_consecutive_failures > 0;
}

void KindWatcher::retry_now() {
    if (m_consecutive_failures > 0 && m_pause_timer.has_value()) {
        m_loop.cancel(*m_pause_timer);
        m_pause_timer.reset();
        read_list();
    }
}

bool KindWatcher::has_recent_store_failure() const {
    return monotonic_now() < m_reads_current_until;
}

void KindWatcher::require_current_data() {
    m_reads_current_until = monotonic_now() + CURRENT_READS_TIME;
    if (!m_call_is_current) {
        restart_watch();
    }
}

void KindWatcher::prove() {
    if (m_paused || m_stopped || !m_is_watching || m_consecutive_failures > 0 ||
        !is_of_known_era()) {
        return;
    }
    if (m_pause_timer.has_value()) {
        m_loop.cancel(*m_pause_timer);
        m_pause_timer.reset();
        m_next_watch_is_proof = true;
        wait_for_changes();
    } else if (!m_call_is_current && m_call_wait > Duration::zero()) {
        m_next_watch_is_proof = true;
        restart_watch();
    }
}

StorePosition KindWatcher::position() const {
    return m_position;
}

void KindWatcher::restart_watch() {
    const bool is_waiting = m_is_watching && !m_paused && !m_stopped &&
                            !m_pause_timer.has_value() && m_channel != nullptr;
    if (!is_waiting) {
        return;
    }
    end_call();
    wait_for_changes();
}

bool KindWatcher::reads_only_current() const {
    return m_options.is_always_current || m_next_watch_is_first || has_recent_store_failure() ||
           (m_handlers.must_read_current && m_handlers.must_read_current());
}

bool KindWatcher::must_be_proven() const {
    return m_handlers.must_be_proven && m_handlers.must_be_proven();
}

platform::Freshness KindWatcher::watch_freshness() const {
    return reads_only_current() || must_be_proven() ? platform::Freshness::current
                                                    : platform::Freshness::recent;
}

void KindWatcher::run_later(Duration delay, void (KindWatcher::*next)()) {
    const std::weak_ptr<KindWatcher> weak = weak_from_this();
    m_pause_timer = m_loop.run_at(monotonic_now() + delay, [weak, next] {
        const std::shared_ptr<KindWatcher> self = weak.lock();
        if (self != nullptr && !self->m_stopped) {
            self->m_pause_timer.reset();
            (self.get()->*next)();
        }
    });
}

}  // namespace ebonymount
