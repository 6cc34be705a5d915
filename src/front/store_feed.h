// Updates of the platform's store, from the store itself or from another node that reads it.
//
// A node chosen as a reader watches the store and relays its updates. Any other node follows a
// reader of its data centre over one stream, which carries changes at once and, in between,
// heartbeats with the age of the reader's data. A follower whose data becomes too old reads the
// store itself, continuing from the revision that it has reached, until it can follow again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "front/kind_watcher.h"
#include "front/store_mirror.h"
#include "io/peer_sessions.h"
#include "policy/store_readers.h"

namespace ebonymount {

/// Options of a `StoreFeed`.
struct StoreFeedOptions {
    Member self;
    std::string store_address;
    /// Peer addresses of nodes to follow while the list of nodes is not known because the store is
    /// unavailable.
    std::vector<std::string> initial_peers;
    Duration config_apply{};
    Duration stable_window{};
    /// True on the first start of the whole deployment, when the list of nodes is still incomplete.
    bool first_start = false;
};

/// Source of store updates for one node: the store itself, or a reader that the node follows.
class StoreFeed {
public:
    /// Starts to read. `on_update` is called once for each list and change, in the order of
    /// revisions.
    StoreFeed(EventLoop& loop, Metrics& metrics, StoreFeedOptions options,
              std::function<void(const KindUpdate&)> on_update);
    ~StoreFeed();
    StoreFeed(const StoreFeed&) = delete;
    StoreFeed& operator=(const StoreFeed&) = delete;
    StoreFeed(StoreFeed&&) = delete;
    StoreFeed& operator=(StoreFeed&&) = delete;

    /// Sends heartbeats and switches the source when its data is too old; to be called several
    /// times a second.
    void sweep(Time now);

    /// True while the node follows another one.
    bool is_following() const;

private:
    /// A stream of updates from a reader that this node follows or may follow next.
    struct Upstream {
        Member reader;
        std::shared_ptr<PeerCall> call;
        /// Received bytes that do not form a whole line yet.
        std::string input;
        Time opened{};
        /// When the reader last received a response from the store, by this node's clock; empty
        /// until its first message.
        std::optional<Time> as_of;
        bool store_failed_recently = false;
        bool ended = false;
    };

    void create_watchers();
    void start_watching(Time now);
    void apply_update(KindUpdate update);
    void apply_members(const KindUpdate& update);
    void update_watcher_timing();
    Time last_store_contact() const;

    void check_candidate(Time now);
    std::vector<Member> candidates(Time now) const;
    void open_candidate(Time now);
    void on_upstream_data(const std::shared_ptr<Upstream>& upstream, std::string_view bytes);
    void close_and_avoid(std::shared_ptr<Upstream>& upstream, const char* reason, Time now);
    void follow_candidate(Time now);
    void stop_following(Time now);
    bool has_recent_store_failure() const;

    void add_follower(const std::shared_ptr<ServerStream>& stream);
    void send_to_followers(const StoreUpdate& update);

    EventLoop& m_loop;
    Metrics& m_metrics;
    /// Streams on the event loop may outlive the feed; their handlers check here whether it still
    /// exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    StoreFeedOptions m_options;
    StoreReadTiming m_timing;
    std::function<void(const KindUpdate&)> m_on_update;
    Counter& m_updates_relayed;
    Counter& m_updates_received;
    TrafficCounters m_traffic;
    PeerPool m_peers;
    std::shared_ptr<PeerServer> m_server;
    std::vector<std::shared_ptr<ServerStream>> m_followers;
    StoreMirror m_mirror;
    std::vector<Member> m_members;
    AvoidedReaders m_avoided;
    /// One watcher for each kind: the first probes an unavailable store, the last reads the list of
    /// nodes.
    std::vector<std::shared_ptr<KindWatcher>> m_watchers;
    /// The node that is followed, and a candidate to be followed next.
    std::shared_ptr<Upstream> m_upstream;
    std::shared_ptr<Upstream> m_candidate;
    bool m_watching = false;
    /// When the node starts to read the store itself, unless it follows a reader by then.
    Time m_start_watching_at{};
    /// A node that reads the store itself does not follow a reader before this time.
    Time m_may_follow_at{};
    Time m_next_candidate_at{};
    Time m_next_heartbeat{};
};

}  // namespace ebonymount
