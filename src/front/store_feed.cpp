#include "front/store_feed.h"

#include <algorithm>

#include "front/store_call.h"
#include "io/http_status.h"
#include "io/log_event.h"

namespace ebonymount {
namespace {

/// Path of the call that starts to follow a reader; the number is the version of the messages.
constexpr const char* FEED_PATH = "/store-news/1";

/// Path of the call with which a node that reads the store offers its data.
constexpr const char* OFFER_PATH = "/store-offer/1";

/// How often a node that cannot listen for followers tries again: a process that ends may still
/// hold the address.
constexpr Duration LISTEN_RETRY = from_ms(500);

/// How often the list of nodes is read; it only changes when nodes are added.
constexpr Duration NODE_LIST_INTERVAL = from_ms(10000);

/// How long a node waits for the list of nodes before it reads the whole store itself, and how long
/// it delays that list on the first start of the deployment: nodes register within 0.3 s of each
/// other.
constexpr Duration NODE_LIST_WAIT = from_ms(700);
constexpr Duration FIRST_START_PAUSE = from_ms(900);

/// Maximum pause between a reader's calls to an unavailable store, as a fraction of the time within
/// which a change must be in force.
constexpr double PROBE_PAUSE_SHARE = 0.1;

/// Maximum jitter of the pauses after failed calls, as a fraction of them.
constexpr double MAX_PAUSE_JITTER = 0.5;

/// A message from another node that is longer has no end. The list of 4,200 targets takes about a
/// megabyte.
constexpr std::size_t MAX_LINE_BYTES = 16000000;

/// Age that lists are sent with. The heartbeat after them has the age of the sender's data, which
/// would be wrong in a list that is encoded once for several followers.
constexpr Duration LIST_AGE = from_ms(86400000);

/// True for a kind whose changes must be in force within a stated time.
bool is_time_bound(platform::Kind kind) {
    return kind == platform::Kind::config || kind == platform::Kind::targets ||
           kind == platform::Kind::evacuations;
}

}  // namespace

StoreFeed::StoreFeed(EventLoop& loop, Metrics& metrics, StoreFeedOptions options,
                     std::function<void(const KindUpdate&)> on_update)
    : m_loop(loop),
      m_metrics(metrics),
      m_options(std::move(options)),
      m_timing(store_read_timing(m_options.config_apply, m_options.stable_window)),
      m_on_update(std::move(on_update)),
      m_updates_relayed(metrics.counter("ebonymount_store_news_relayed_total")),
      m_updates_received(metrics.counter("ebonymount_store_news_followed_total")),
      m_probes(metrics.counter("ebonymount_store_probes_total")),
      m_offers(metrics.counter("ebonymount_store_offers_total")),
      m_state_age_ms(metrics.counter("ebonymount_store_state_age_ms")),
      m_source_own(metrics.counter("ebonymount_store_source{kind=\"own\"}")),
      m_source_reader(metrics.counter("ebonymount_store_source{kind=\"reader\"}")),
      m_store_era(metrics.counter("ebonymount_store_era")),
      m_older_lists(metrics.counter("ebonymount_store_older_lists_total")),
      m_traffic{metrics.counter("ebonymount_peer_bytes_in_total"),
                metrics.counter("ebonymount_peer_bytes_out_total")},
      m_peers(loop, m_traffic) {
    const Time now = monotonic_now();
    m_source.waits_until = now + NODE_LIST_WAIT;
    listen_for_followers(now);
    create_watchers();
    const std::shared_ptr<KindWatcher>& nodes = m_watchers.back();
    if (m_options.first_start) {
        m_source.waits_until += FIRST_START_PAUSE;
        const std::weak_ptr<KindWatcher> weak = nodes;
        loop.run_at(now + FIRST_START_PAUSE, [weak] {
            const std::shared_ptr<KindWatcher> watcher = weak.lock();
            if (watcher != nullptr) {
                watcher->resume(StorePosition{}, false);
            }
        });
    } else {
        nodes->resume(StorePosition{}, false);
    }
}

void StoreFeed::listen_for_followers(Time now) {
    if (m_options.self.address.empty() || m_server != nullptr || now < m_next_listen) {
        return;
    }
    const bool is_first_time = m_next_listen == Time{};
    m_next_listen = now + LISTEN_RETRY;
    const std::weak_ptr<bool> alive = m_alive;
    const StreamHandler handler = [this, alive](const std::shared_ptr<ServerStream>& stream,
                                                const std::string& path, const std::string& body) {
        if (path == FEED_PATH && !alive.expired()) {
            add_follower(stream, body);
            return;
        }
        if (path == OFFER_PATH && !alive.expired()) {
            take_offer(body);
        } else if (!alive.expired() && m_options.on_peer_call) {
            stream->write(m_options.on_peer_call(path, body).value_or(""));
        }
        stream->finish();
    };
    Result<std::shared_ptr<PeerServer>> server =
        PeerServer::listen(m_loop, m_options.self.address, handler, m_traffic);
    if (has_value(server)) {
        m_server = value_of(server);
    } else if (is_first_time) {
        // Other nodes follow another reader meanwhile.
        log_warning("store", describe(error_of(server)));
    }
}

StoreFeed::~StoreFeed() {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->stop();
    }
    for (const Follower& follower : m_followers) {
        follower.stream->finish();
    }
    if (m_server != nullptr) {
        m_server->close();
    }
    for (const std::shared_ptr<Upstream>& upstream : {m_upstream, m_candidate}) {
        if (upstream != nullptr) {
            PeerCall::cancel(upstream->call);
        }
    }
}

void StoreFeed::create_watchers() {
    for (const platform::Kind kind :
         {platform::Kind::config, platform::Kind::targets, platform::Kind::evacuations,
          platform::Kind::quarantine, platform::Kind::nodes}) {
        const bool is_probe = kind == platform::Kind::config;
        KindWatcherOptions options;
        options.kind = kind;
        options.store_address = m_options.store_address;
        options.poll_interval =
            kind == platform::Kind::nodes ? NODE_LIST_INTERVAL : Duration::zero();
        options.is_probe = is_probe;
        // Its changes are rare and must be in force everywhere in time.
        options.is_always_current = kind == platform::Kind::config;
        options.is_paused = true;
        options.era = m_era;
        options.pause_jitter = MAX_PAUSE_JITTER * uniform(m_random);
        KindWatcherHandlers handlers;
        handlers.on_update = [this](KindUpdate update) {
            apply_update(std::move(update));
        };
        handlers.on_position = [this, kind](const StorePosition& position, bool is_current) {
            on_store_position(kind, position, is_current);
        };
        handlers.must_read_current = [this] {
            return has_recent_store_failure();
        };
        handlers.must_be_proven = [this, kind] {
            return must_be_proven(kind, monotonic_now());
        };
        handlers.proven_until = [this](const StorePosition& position) {
            return proven_until(m_progress, position);
        };
        handlers.on_era_change = [this] {
            on_era_change();
        };
        if (!is_probe) {
            handlers.is_store_failing = [this] {
                return m_watchers.front()->is_failing();
            };
        } else {
            handlers.on_recovered = [this] {
                for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
                    watcher->retry_now();
                }
            };
        }
        m_watchers.push_back(KindWatcher::start(m_loop, options, handlers, m_metrics));
    }
    update_watcher_timing();
}

void StoreFeed::update_watcher_timing() {
    m_reads_for_others = reads_for_others();
    m_proof_timing = proof_timing(m_options.drain, m_options.evacuate, m_reads_for_others);
    WatcherTiming timing;
    timing.proof_interval = m_proof_timing.interval;
    timing.probe_pause = scaled(m_options.config_apply, PROBE_PAUSE_SHARE);
    timing.pause_after_changes = m_reads_for_others ? m_timing.reader_pause : m_timing.change_pause;
    // Current reads cost more, so the pause after them is longer; not where followers would take
    // the data for old.
    timing.pause_after_current_changes =
        m_reads_for_others ? m_timing.reader_pause : 2 * m_timing.change_pause;
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        const bool is_frequent = m_reads_for_others && is_time_bound(watcher->kind());
        timing.watch_wait = is_frequent ? m_timing.probe_wait : m_timing.watch_wait;
        watcher->set_timing(timing);
    }
}

bool StoreFeed::reads_for_others() const {
    return has_followers(m_options.self, m_members) || (m_source.reading && !m_followers.empty());
}

void StoreFeed::start_watching() {
    // The stream that said so may have ended meanwhile.
    const bool heard_of_failure = m_store_failure_heard_at.has_value() &&
                                  monotonic_now() - *m_store_failure_heard_at < CURRENT_READS_TIME;
    const bool store_failed_recently = heard_of_failure || has_recent_store_failure();
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->resume(position_of(m_mirror, watcher->kind()), store_failed_recently);
    }
}

void StoreFeed::stop_watching() {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->pause();
    }
}

void StoreFeed::apply_update(KindUpdate update) {
    const Time now = monotonic_now();
    const StorePosition known = position_of(m_mirror, update.kind);
    if (update.is_list && with_era_of(update.position, known) < known) {
        report_older_list(update, known);
    }
    const std::optional<KindUpdate> fresh = merge_update(m_mirror, std::move(update), now);
    if (!fresh.has_value()) {
        return;
    }
    if (fresh->kind == platform::Kind::nodes) {
        apply_members(*fresh);
    }
    send_to_followers(message(fresh, now));
    try {
        m_on_update(*fresh);
    } catch (...) {
        // The next list of this kind is delivered again, although the copy has it already.
        m_mirror[fresh->kind].position = StorePosition{};
        throw;
    }
}

void StoreFeed::apply_members(const KindUpdate& update) {
    std::vector<Member> listed;
    for (const platform::StoredObject& object : update.objects) {
        listed.push_back(platform::decode_registration(object));
    }
    replace_all(m_known_nodes, listed, update.after_return, monotonic_now());
    m_members.clear();
    for (const auto& [name, member] : m_known_nodes.members) {
        m_members.push_back(member);
    }
    update_watcher_timing();
    set_members(m_source, m_options.self, m_members, monotonic_now());
}

KindContact StoreFeed::contact_of(const KindWatcher& watcher) const {
    // What an earlier spell of reading has shown says nothing about the calls of this one.
    const bool is_answered = watcher.complete_at() >= m_source.reading_since;
    return {is_answered ? watcher.complete_at() : Time{}, watcher.is_failing()};
}

Time StoreFeed::own_contact() const {
    if (!m_source.reading) {
        return Time{};
    }
    std::vector<KindContact> others;
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        if (is_time_bound(watcher->kind())) {
            others.push_back(contact_of(*watcher));
        }
    }
    return complete_at(contact_of(*m_watchers.front()), others, m_reads_for_others);
}

bool StoreFeed::own_reads_fail() const {
    return m_source.reading && std::any_of(m_watchers.begin(), m_watchers.end(),
                                           [](const std::shared_ptr<KindWatcher>& watcher) {
                                               return is_time_bound(watcher->kind()) &&
                                                      watcher->is_failing();
                                           });
}

void StoreFeed::on_store_position(platform::Kind kind, const StorePosition& position,
                                  bool is_current) {
    const Time now = monotonic_now();
    if (is_current) {
        on_current_read(m_progress, position, watcher_of(kind).complete_at(), now);
        // The watcher that reports this is about to make its next call.
        m_loop.post([this, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired()) {
                prove_overdue_data(monotonic_now());
            }
        });
        return;
    }
    const Duration lag = lag_of(m_progress, position, now);
    if (!is_time_bound(kind) || lag <= m_timing.max_lag) {
        return;
    }
    LogEvent(LogLevel::warning, "store", "recent_data_behind")
        .add("kind", platform::name_of(kind))
        .add("position", describe(position))
        .add_ms("lag_ms", lag)
        .write();
    // The watcher that reports this is about to make its next call.
    m_loop.post([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
                watcher->require_current_data();
            }
        }
    });
}

KindWatcher& StoreFeed::watcher_of(platform::Kind kind) const {
    const auto found = std::find_if(
        m_watchers.begin(), m_watchers.end(),
        [kind](const std::shared_ptr<KindWatcher>& watcher) { return watcher->kind() == kind; });
    return **found;
}

bool StoreFeed::must_be_proven(platform::Kind kind, Time now) const {
    if (kind != platform::Kind::targets && kind != platform::Kind::evacuations) {
        return false;
    }
    const Duration max_unproven =
        kind == platform::Kind::targets ? m_proof_timing.targets : m_proof_timing.evacuations;
    return is_overdue(m_progress, watcher_of(kind).position(), max_unproven, now);
}

void StoreFeed::prove_overdue_data(Time now) {
    if (!m_source.reading) {
        return;
    }
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        if (must_be_proven(watcher->kind(), now)) {
            watcher->prove();
        }
    }
}

void StoreFeed::on_era_change() {
    const std::int64_t era = m_era->known;
    const bool is_first = m_era_before == UNKNOWN_ERA;
    m_has_seen_return = m_has_seen_return || !is_first;
    LogEvent(is_first ? LogLevel::info : LogLevel::warning, "store", "era")
        .add("era", era)
        .add("before", m_era_before)
        .add("config", describe(position_of(m_mirror, platform::Kind::config)))
        .add("reads", m_source.reading ? "yes" : "no")
        .write();
    if (era < m_era_before) {
        // What is known of the era that was wrong must not outlast it.
        withdraw_eras_after(m_mirror, era);
        m_progress = StoreProgress{};
    }
    m_era_before = era;
    m_store_era = era;
    if (is_first) {
        return;
    }
    // The watcher that reports this has not handled its response yet.
    m_loop.post([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
                watcher->enter_era();
            }
        }
    });
}

void StoreFeed::report_older_list(const KindUpdate& update, const StorePosition& known) {
    ++m_older_lists;
    LogEvent(LogLevel::warning, "store", "older_list")
        .add("kind", platform::name_of(update.kind))
        .add("position", describe(update.position))
        .add("known", describe(known))
        .add("objects", static_cast<std::int64_t>(update.objects.size()))
        .write();
}

Duration StoreFeed::age(Time now) const {
    return now - std::max(m_source.last_contact, own_contact());
}

StoreUpdate StoreFeed::message(std::optional<KindUpdate> change, Time now) const {
    return {std::move(change),
            {age(now), now.time_since_epoch()},
            has_recent_store_failure(),
            data_origin(m_source, source_inputs(now))};
}

bool StoreFeed::has_recent_store_failure() const {
    const auto store_failed_recently = [](const std::shared_ptr<KindWatcher>& watcher) {
        return watcher->has_recent_store_failure();
    };
    return std::any_of(m_watchers.begin(), m_watchers.end(), store_failed_recently) ||
           (m_upstream != nullptr && m_upstream->store_failed_recently);
}

SourceInputs StoreFeed::source_inputs(Time now) const {
    return {m_options.self,
            m_options.initial_peers,
            m_timing,
            m_upstream == nullptr ? nullptr : &m_upstream->link,
            m_candidate == nullptr ? nullptr : &m_candidate->link,
            own_contact(),
            own_reads_fail(),
            is_complete(m_mirror),
            now};
}

void StoreFeed::sweep(Time now) {
    listen_for_followers(now);
    const bool was_recent = age(now) <= m_timing.stale_age;
    for (const SourceAction& action : decide(m_source, source_inputs(now), m_random)) {
        execute(action, now);
    }
    if (reads_for_others() != m_reads_for_others) {
        update_watcher_timing();
    }
    prove_overdue_data(now);
    report_source(now);
    report_kinds(now);
    send_due_lists(now);
    // Followers learn at once that this node's data is recent again.
    const bool is_recent_again = !was_recent && age(now) <= m_timing.stale_age;
    if (now >= m_next_heartbeat || is_recent_again) {
        m_next_heartbeat = now + m_timing.heartbeat;
        send_to_followers(message(std::nullopt, now));
    }
}

void StoreFeed::report_source(Time now) {
    const bool follows = is_following();
    // A node without any state has the age of the clock.
    const Duration state_age = age(now);
    m_state_age_ms = state_age.count() / 1000;
    m_source_own = m_source.reading ? 1 : 0;
    m_source_reader = follows ? 1 : 0;
    // A node that reads for itself alone has watches that wait for longer.
    const bool waits_for_changes = m_source.reading && !m_reads_for_others && !own_reads_fail();
    const Duration limit = waits_for_changes
                               ? m_timing.watch_wait + m_timing.change_pause + STORE_CALL_TIMEOUT
                               : m_timing.max_age;
    const bool has_source = state_age <= limit;
    if (has_source == m_has_source) {
        return;
    }
    m_has_source = has_source;
    LogEvent(has_source ? LogLevel::info : LogLevel::warning, "store",
             has_source ? "source_again" : "no_source")
        .add("has_state", is_complete(m_mirror) ? "yes" : "no")
        .add("knows_nodes", m_source.members_known ? "yes" : "no")
        .add("reads", m_source.reading ? "yes" : "no")
        .add("reader", m_upstream == nullptr ? "" : m_upstream->link.reader.node)
        .add("failed_probes", static_cast<std::int64_t>(m_source.failed_probes))
        .add_ms("age_ms", state_age)
        .write();
}

void StoreFeed::report_kinds(Time now) {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        const Time contact = std::max(watcher->complete_at(), m_source.reading_since);
        const Duration kind_age = m_source.reading ? now - contact : Duration::zero();
        watcher->report_age(kind_age);
        const bool is_polled = watcher->kind() == platform::Kind::nodes;
        const bool is_behind = !is_polled && kind_age > m_timing.watch_wait + STORE_CALL_TIMEOUT +
                                                            m_timing.change_pause;
        if (is_behind == (m_kinds_behind.count(watcher->kind()) > 0)) {
            continue;
        }
        if (is_behind) {
            m_kinds_behind.insert(watcher->kind());
        } else {
            m_kinds_behind.erase(watcher->kind());
        }
        LogEvent(is_behind ? LogLevel::warning : LogLevel::info, "store",
                 is_behind ? "kind_behind" : "kind_again")
            .add("kind", platform::name_of(watcher->kind()))
            .add_ms("kind_age_ms", kind_age)
            .add_ms("age_ms", age(now))
            .add("followers", static_cast<std::int64_t>(m_followers.size()))
            .write();
    }
}

SourceReport StoreFeed::report(Time now) const {
    return {m_upstream == nullptr ? "" : m_upstream->link.reader.node, m_source.reading, age(now)};
}

bool StoreFeed::is_following() const {
    return ebonymount::is_following(m_source, source_inputs(monotonic_now()));
}

void StoreFeed::execute(const SourceAction& action, Time now) {
    if (const OpenCandidate* open = std::get_if<OpenCandidate>(&action)) {
        open_candidate(open->reader, now);
    } else if (const DropCandidate* drop = std::get_if<DropCandidate>(&action)) {
        close_upstream(m_candidate, drop->reason);
    } else if (const DropUpstream* drop_upstream = std::get_if<DropUpstream>(&action)) {
        close_upstream(m_upstream, drop_upstream->reason);
    } else if (std::holds_alternative<FollowCandidate>(action)) {
        follow_candidate(now);
    } else if (std::holds_alternative<ProbeStore>(action)) {
        probe_store();
    } else if (const OfferData* offer = std::get_if<OfferData>(&action)) {
        offer_data(offer->reader);
    } else if (std::holds_alternative<StartReading>(action)) {
        LogEvent(LogLevel::info, "store", "reads_itself")
            .add("reader", m_upstream == nullptr ? "" : m_upstream->link.reader.node)
            .add_ms("age_ms", age(now))
            .write();
        start_watching();
    } else if (std::holds_alternative<GiveUpReading>(action)) {
        LogEvent(LogLevel::warning, "store", "gives_up_reading").add_ms("age_ms", age(now)).write();
        stop_watching();
    } else {
        LogEvent(LogLevel::info, "store", "follows_again")
            .add("reader", m_upstream->link.reader.node)
            .write();
        stop_watching();
    }
}

void StoreFeed::open_candidate(const Member& reader, Time now) {
    const std::shared_ptr<Upstream> upstream = std::make_shared<Upstream>();
    upstream->link.reader = reader;
    upstream->link.opened = now;
    m_candidate = upstream;
    StreamCallbacks events;
    events.on_data = [this, upstream,
                      alive = std::weak_ptr<bool>(m_alive)](std::string_view bytes) {
        if (!alive.expired()) {
            on_upstream_data(upstream, bytes);
        }
    };
    events.on_end = [upstream](StreamStatus /*status*/) {
        upstream->link.ended = true;
    };
    upstream->call =
        m_peers.call(reader.address, FEED_PATH,
                     encode(FollowRequest{positions_of(m_mirror), true, true}), std::move(events));
}

void StoreFeed::on_upstream_data(const std::shared_ptr<Upstream>& upstream,
                                 std::string_view bytes) {
    if (upstream != m_upstream && upstream != m_candidate) {
        return;
    }
    upstream->input.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = upstream->input.find('\n', begin); end != std::string::npos;
         end = upstream->input.find('\n', begin)) {
        const Result<StoreUpdate> update =
            decode_store_update(std::string_view(upstream->input).substr(begin, end - begin));
        begin = end + 1;
        if (!has_value(update)) {
            log_warning("store", describe(error_of(update)));
            upstream->link.ended = true;
            return;
        }
        const Time now = monotonic_now();
        on_stated_age(upstream->link, value_of(update).stated, now);
        // Lists are encoded once for all followers and do not name it.
        if (!value_of(update).origin.empty()) {
            upstream->link.origin = value_of(update).origin;
        }
        upstream->store_failed_recently = value_of(update).store_failed_recently;
        if (upstream->store_failed_recently) {
            m_store_failure_heard_at = now;
        }
        if (value_of(update).change.has_value()) {
            ++m_updates_received;
            // Another reader, or the store itself, has what this one lacks.
            if (!may_apply(*upstream, *value_of(update).change)) {
                upstream->link.ended = true;
                return;
            }
            apply_update(*value_of(update).change);
        }
    }
    upstream->input.erase(0, begin);
    if (upstream->input.size() > MAX_LINE_BYTES) {
        log_warning("store", "a message from another node is too long");
        upstream->input.clear();
        upstream->link.ended = true;
    }
}

bool StoreFeed::may_apply(Upstream& upstream, const KindUpdate& update) {
    const std::int64_t era = update.position.era;
    const bool lacks_era = m_era->known != UNKNOWN_ERA && era == UNKNOWN_ERA;
    if (lacks_era && !upstream.lacks_era) {
        LogEvent(LogLevel::warning, "store", "reader_without_era")
            .add("reader", upstream.link.reader.node)
            .add("era", m_era->known)
            .add("used", m_has_seen_return ? "no" : "yes")
            .write();
    }
    upstream.lacks_era = lacks_era;
    if (era == UNKNOWN_ERA) {
        return !m_has_seen_return;
    }
    // Changes that do not continue this node's copy were preceded by a list that it has not got.
    if (!update.is_list) {
        return era <= position_of(m_mirror, update.kind).era && era >= m_era->known;
    }
    const EraChange change = on_stated_era(*m_era, era, false, monotonic_now());
    if (change == EraChange::learned || change == EraChange::returned) {
        on_era_change();
    }
    return change != EraChange::ignored;
}

void StoreFeed::close_upstream(std::shared_ptr<Upstream>& upstream, const char* reason) {
    LogEvent(LogLevel::info, "store", "reader_avoided")
        .add("reader", upstream->link.reader.node)
        .add("reason", reason)
        .write();
    // A session that hangs would also block the next call to the same reader.
    m_peers.close(upstream->link.reader.address);
    upstream.reset();
}

void StoreFeed::follow_candidate(Time now) {
    if (m_upstream != nullptr) {
        close_upstream(m_upstream, "a reader with newer updates was found");
    }
    m_upstream = std::move(m_candidate);
    m_candidate.reset();
    if (!m_source.reading) {
        stop_watching();
    }
    LogEvent(LogLevel::info, "store", "follows")
        .add("reader", m_upstream->link.reader.node)
        .add_ms("age_ms", now - *m_upstream->link.as_of)
        .write();
}

void StoreFeed::offer_data(const Member& reader) {
    LogEvent(LogLevel::info, "store", "offers_data").add("reader", reader.node).write();
    m_peers.call(reader.address, OFFER_PATH, encode(m_options.self),
                 {[](std::string_view /*bytes*/) {},
                  [](StreamStatus /*status*/) {
                  }});
}

void StoreFeed::take_offer(const std::string& text) {
    const std::optional<Member> node = decode_member(text);
    const bool is_valid = node.has_value() && node->data_centre == m_options.self.data_centre &&
                          node->node != m_options.self.node;
    LogEvent(is_valid ? LogLevel::info : LogLevel::warning, "store", "data_offered")
        .add("node", is_valid ? node->node : "")
        .write();
    if (is_valid) {
        ++m_offers;
        on_offer(m_source, *node);
    }
}

void StoreFeed::probe_store() {
    ++m_probes;
    // The call that this node would make next: a store may refuse current reads and answer others.
    const std::int64_t revision = position_of(m_mirror, platform::Kind::config).revision;
    const std::string path =
        revision > 0
            ? platform::watch_path(platform::Kind::config, revision, Duration::zero(),
                                   platform::Freshness::current)
            : platform::list_path(platform::Kind::evacuations, "", platform::Freshness::current);
    const StoreCall call = {m_options.store_address, "GET", path, "", STORE_CALL_TIMEOUT};
    call_store(m_loop, call,
               [this, alive = std::weak_ptr<bool>(m_alive)](CallStatus status,
                                                            const HttpResponseMessage& response) {
                   if (alive.expired()) {
                       return;
                   }
                   const bool answered =
                       status == CallStatus::answered &&
                       (response.status == http::OK || response.status == http::GONE);
                   LogEvent(LogLevel::info, "store", "probe")
                       .add("answered", answered ? "yes" : "no")
                       .add("outcome", name_of(status))
                       .add("status", response.status)
                       .write();
                   on_probe_result(m_source, answered, monotonic_now());
               });
}

void StoreFeed::add_follower(const std::shared_ptr<ServerStream>& stream,
                             const std::string& request) {
    const Time now = monotonic_now();
    m_followers.push_back({stream, decode_follow_request(request), false});
    Follower& follower = m_followers.back();
    // Old state is better than none.
    const bool lacks_state =
        follower.request.known.size() < static_cast<std::size_t>(platform::KIND_COUNT);
    if (lacks_state || age(now) <= m_timing.stale_age) {
        send_lists(follower, now);
    }
    stream->write(encode(message(std::nullopt, now)));
}

const std::string& StoreFeed::encoded_list(const KindUpdate& list, bool compressed) {
    EncodedList& cached = m_encoded_lists[list.kind];
    if (cached.position != list.position || cached.after_outage != list.after_outage) {
        cached = {list.position, list.after_outage, "", ""};
    }
    std::string& line = compressed ? cached.compressed_line : cached.line;
    if (line.empty()) {
        const StoreUpdate update = {list, {LIST_AGE, std::nullopt}, has_recent_store_failure()};
        line = compressed ? encode_compressed(update) : encode(update);
    }
    return line;
}

void StoreFeed::send_lists(Follower& follower, Time now) {
    for (const KindUpdate& list : lists_of(m_mirror, follower.request, now)) {
        follower.stream->write(encoded_list(list, follower.request.accepts_compressed));
    }
    follower.has_lists = true;
}

void StoreFeed::send_due_lists(Time now) {
    if (age(now) > m_timing.stale_age) {
        return;
    }
    for (Follower& follower : m_followers) {
        if (!follower.has_lists) {
            send_lists(follower, now);
        }
    }
}

void StoreFeed::send_to_followers(const StoreUpdate& update) {
    std::erase_if(m_followers,
                  [](const Follower& follower) { return follower.stream->is_cancelled(); });
    if (m_followers.empty()) {
        return;
    }
    const bool is_list = update.change.has_value() && update.change->is_list;
    const std::string line = is_list ? std::string() : encode(update);
    for (const Follower& follower : m_followers) {
        if (!follower.has_lists && update.change.has_value()) {
            continue;
        }
        ++m_updates_relayed;
        follower.stream->write(
            is_list ? encoded_list(*update.change, follower.request.accepts_compressed) : line);
    }
}

}  // namespace ebonymount
