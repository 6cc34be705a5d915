#include "front/store_feed.h"

#include <algorithm>

#include "io/log_event.h"

namespace ebonymount {
namespace {

/// Path of the call that starts to follow a reader; the number is the version of the messages.
constexpr const char* FEED_PATH = "/store-news/1";

/// How often the list of nodes is read; it only changes when nodes are added.
constexpr Duration NODE_LIST_INTERVAL = from_ms(10000);

/// How long a node waits for a reader's first recent updates. The reader may have started at the
/// same moment and needs about 50 ms to read its own lists.
constexpr Duration READER_WAIT = from_ms(500);

/// How long a node waits for the list of nodes before it reads the whole store itself, and how long
/// it delays that list on the first start of the deployment: nodes register within 0.3 s of each
/// other.
constexpr Duration NODE_LIST_WAIT = from_ms(700);
constexpr Duration FIRST_START_PAUSE = from_ms(900);

/// How long a reader that failed is not followed: a process that ended is restarted within a second
/// or two.
constexpr Duration AVOID_TIME = from_ms(3000);

/// Pause between attempts to follow a reader, for a node that reads the store itself.
constexpr Duration CANDIDATE_PAUSE = from_ms(1000);

/// Pause between calls to an unavailable store, and the longer pause of a node that can follow
/// readers, whose updates show when the store is available again.
constexpr Duration PROBE_PAUSE = from_ms(200);
constexpr Duration FOLLOWER_PROBE_PAUSE = from_ms(1000);

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
      m_traffic{metrics.counter("ebonymount_peer_bytes_in_total"),
                metrics.counter("ebonymount_peer_bytes_out_total")},
      m_peers(loop, m_traffic) {
    const Time now = monotonic_now();
    m_start_watching_at = now + NODE_LIST_WAIT;
    if (!m_options.self.address.empty()) {
        const std::weak_ptr<bool> alive = m_alive;
        const StreamHandler handler = [this, alive](const std::shared_ptr<ServerStream>& stream,
                                                    const std::string& path, const std::string&) {
            if (path == FEED_PATH && !alive.expired()) {
                add_follower(stream);
            } else {
                stream->finish();
            }
        };
        Result<std::shared_ptr<PeerServer>> server =
            PeerServer::listen(loop, m_options.self.address, handler, m_traffic);
        if (has_value(server)) {
            m_server = value_of(server);
        } else {
            // Other nodes follow another reader; this node works without the server.
            log_warning("store", describe(error_of(server)));
        }
    }
    create_watchers();
    const std::shared_ptr<KindWatcher>& nodes = m_watchers.back();
    if (m_options.first_start) {
        m_start_watching_at += FIRST_START_PAUSE;
        const std::weak_ptr<KindWatcher> weak = nodes;
        loop.run_at(now + FIRST_START_PAUSE, [weak] {
            const std::shared_ptr<KindWatcher> watcher = weak.lock();
            if (watcher != nullptr) {
                watcher->resume(0, false);
            }
        });
    } else {
        nodes->resume(0, false);
    }
}

StoreFeed::~StoreFeed() {
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->stop();
    }
    for (const std::shared_ptr<ServerStream>& follower : m_followers) {
        follower->finish();
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
        options.is_paused = true;
        KindWatcherHandlers handlers;
        handlers.on_update = [this](KindUpdate update) {
            apply_update(std::move(update));
        };
        if (is_probe) {
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
    const bool is_reader = has_followers(m_options.self, m_members);
    const bool can_follow = !readers_for(m_options.self, m_members, {}, monotonic_now()).empty();
    WatcherTiming timing;
    timing.watch_wait = m_timing.watch_wait;
    timing.pause_after_changes = is_reader ? m_timing.reader_pause : m_timing.change_pause;
    timing.probe_pause = can_follow ? FOLLOWER_PROBE_PAUSE : PROBE_PAUSE;
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->set_timing(timing);
    }
    if (is_reader) {
        timing.watch_wait = m_timing.probe_wait;
        m_watchers.front()->set_timing(timing);
    }
}

void StoreFeed::start_watching(Time now) {
    m_watching = true;
    m_may_follow_at = now + m_timing.min_reading_time;
    const bool store_failed_recently = has_recent_store_failure();
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->resume(revision_of(m_mirror, watcher->kind()), store_failed_recently);
    }
}

void StoreFeed::apply_update(KindUpdate update) {
    const Time now = monotonic_now();
    const std::optional<KindUpdate> fresh = merge_update(m_mirror, std::move(update), now);
    if (!fresh.has_value()) {
        return;
    }
    if (fresh->kind == platform::Kind::nodes) {
        apply_members(*fresh);
    }
    send_to_followers({fresh, now - last_store_contact(), has_recent_store_failure()});
    m_on_update(*fresh);
}

void StoreFeed::apply_members(const KindUpdate& update) {
    m_members.clear();
    for (const platform::StoredObject& object : update.objects) {
        m_members.push_back(platform::decode_registration(object));
    }
    update_watcher_timing();
    if (!m_watching && m_upstream == nullptr) {
        // With the list of nodes known, the node starts to watch the store now, or after
        // `READER_WAIT` if there is a reader that it may follow instead.
        const Time now = monotonic_now();
        const bool has_reader = !readers_for(m_options.self, m_members, m_avoided, now).empty();
        m_start_watching_at = has_reader ? now + READER_WAIT : now;
        sweep(now);
    }
}

Time StoreFeed::last_store_contact() const {
    Time latest{};
    if (m_watching) {
        for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
            latest = std::max(latest, watcher->last_contact());
        }
    }
    if (m_upstream != nullptr) {
        latest = std::max(latest, m_upstream->as_of.value_or(Time{}));
    }
    return latest;
}

bool StoreFeed::has_recent_store_failure() const {
    const auto store_failed_recently = [](const std::shared_ptr<KindWatcher>& watcher) {
        return watcher->has_recent_store_failure();
    };
    return std::any_of(m_watchers.begin(), m_watchers.end(), store_failed_recently) ||
           (m_upstream != nullptr && m_upstream->store_failed_recently);
}

void StoreFeed::sweep(Time now) {
    if (m_upstream == nullptr || m_upstream->ended ||
        now - last_store_contact() > m_timing.stale_age) {
        check_candidate(now);
    }
    if (m_upstream != nullptr && now - last_store_contact() > m_timing.max_age) {
        stop_following(now);
    }
    if (m_upstream == nullptr && !m_watching && now >= m_start_watching_at) {
        start_watching(now);
    }
    if (now >= m_next_heartbeat) {
        m_next_heartbeat = now + m_timing.heartbeat;
        send_to_followers({std::nullopt, now - last_store_contact(), has_recent_store_failure()});
    }
}

bool StoreFeed::is_following() const {
    return m_upstream != nullptr;
}

void StoreFeed::check_candidate(Time now) {
    if (m_candidate == nullptr) {
        // A node that reads the store itself needs a reader less urgently.
        if (!m_watching || now >= m_next_candidate_at) {
            m_next_candidate_at = now + CANDIDATE_PAUSE;
            open_candidate(now);
        }
        return;
    }
    const bool is_fresh =
        m_candidate->as_of.has_value() && now - *m_candidate->as_of < m_timing.stale_age;
    if (is_fresh && !m_candidate->ended && is_complete(m_mirror)) {
        if (now >= m_may_follow_at) {
            follow_candidate(now);
        }
    } else if (m_candidate->ended || now > m_candidate->opened + READER_WAIT) {
        close_and_avoid(m_candidate, "no recent updates", now);
    }
}

std::vector<Member> StoreFeed::candidates(Time now) const {
    AvoidedReaders avoided = m_avoided;
    if (m_upstream != nullptr) {
        avoided[m_upstream->reader.node] = Time::max();
    }
    if (!m_members.empty()) {
        return readers_for(m_options.self, m_members, avoided, now);
    }
    // The store has not responded yet. State that another node read earlier is better than none.
    // Only the peers' addresses are known, so an address also serves as the node's name.
    std::vector<Member> peers;
    for (const std::string& address : m_options.initial_peers) {
        const auto found = avoided.find(address);
        const bool is_avoided = found != avoided.end() && now < found->second;
        if (m_watching && !is_avoided && address != m_options.self.address) {
            peers.push_back({address, m_options.self.data_centre, address});
        }
    }
    return peers;
}

void StoreFeed::open_candidate(Time now) {
    const std::vector<Member> readers = candidates(now);
    if (readers.empty()) {
        return;
    }
    const std::shared_ptr<Upstream> upstream = std::make_shared<Upstream>();
    upstream->reader = readers.front();
    upstream->opened = now;
    m_candidate = upstream;
    StreamCallbacks events;
    events.on_data = [this, upstream,
                      alive = std::weak_ptr<bool>(m_alive)](std::string_view bytes) {
        if (!alive.expired()) {
            on_upstream_data(upstream, bytes);
        }
    };
    events.on_end = [upstream](StreamStatus /*status*/) {
        upstream->ended = true;
    };
    upstream->call = m_peers.call(upstream->reader.address, FEED_PATH, "", std::move(events));
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
            upstream->ended = true;
            return;
        }
        const Time as_of = monotonic_now() - value_of(update).age;
        upstream->as_of = std::max(upstream->as_of.value_or(as_of), as_of);
        upstream->store_failed_recently = value_of(update).store_failed_recently;
        if (value_of(update).change.has_value()) {
            ++m_updates_received;
            apply_update(*value_of(update).change);
        }
    }
    upstream->input.erase(0, begin);
}

void StoreFeed::close_and_avoid(std::shared_ptr<Upstream>& upstream, const char* reason, Time now) {
    m_avoided[upstream->reader.node] = now + AVOID_TIME;
    LogEvent(LogLevel::info, "store", "reader_avoided")
        .add("reader", upstream->reader.node)
        .add("reason", upstream->ended ? "the stream ended" : reason)
        .write();
    // A session that hangs would also block the next call to the same reader.
    m_peers.close(upstream->reader.address);
    upstream.reset();
}

void StoreFeed::follow_candidate(Time now) {
    if (m_upstream != nullptr) {
        close_and_avoid(m_upstream, "a reader with newer updates was found", now);
    }
    m_upstream = std::move(m_candidate);
    m_candidate.reset();
    m_watching = false;
    for (const std::shared_ptr<KindWatcher>& watcher : m_watchers) {
        watcher->pause();
    }
    LogEvent(LogLevel::info, "store", "follows")
        .add("reader", m_upstream->reader.node)
        .add_ms("age_ms", now - *m_upstream->as_of)
        .write();
}

void StoreFeed::stop_following(Time now) {
    LogEvent(LogLevel::info, "store", "reads_itself")
        .add("reader", m_upstream->reader.node)
        .add_ms("age_ms", now - *m_upstream->as_of)
        .write();
    start_watching(now);
    close_and_avoid(m_upstream, "its updates are too old", now);
}

void StoreFeed::add_follower(const std::shared_ptr<ServerStream>& stream) {
    const Time now = monotonic_now();
    for (KindUpdate& list : lists_of(m_mirror, now)) {
        stream->write(
            encode({std::move(list), now - last_store_contact(), has_recent_store_failure()}));
    }
    m_followers.push_back(stream);
}

void StoreFeed::send_to_followers(const StoreUpdate& update) {
    std::erase_if(m_followers, [](const std::shared_ptr<ServerStream>& follower) {
        return follower->is_cancelled();
    });
    if (m_followers.empty()) {
        return;
    }
    const std::string line = encode(update);
    for (const std::shared_ptr<ServerStream>& follower : m_followers) {
        ++m_updates_relayed;
        follower->write(line);
    }
}

}  // namespace ebonymount
