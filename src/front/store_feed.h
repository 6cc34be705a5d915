// News of the platform's store, from the store itself or from another node that reads it.
//
// A node chosen as a reader watches the store and passes on what it hears. Any other node follows a
// reader of its data centre over one stream, which carries changes at once and heartbeats with the
// age of the reader's news in between. A follower whose news grows too old reads the store itself,
// going on from the revision that it has reached, until it can follow again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "front/kind_watcher.h"
#include "front/store_mirror.h"
#include "io/peer_link.h"
#include "policy/store_readers.h"

namespace ebonymount {

/// Who reads, and what.
struct StoreFeedOptions {
    Member self;
    std::string store_address;
    /// Nodes to ask while the list of nodes is not known because the store is away.
    std::vector<std::string> first_peers;
    Duration config_apply{};
    Duration stable_window{};
    /// The whole system starts for the first time, so the list of nodes fills only now.
    bool first_start = false;
};

class StoreFeed {
public:
    /// Begins to read. `on_update` is told each list and change once, in the order of revisions.
    StoreFeed(EventLoop& loop, Metrics& metrics, StoreFeedOptions options,
              std::function<void(const KindUpdate&)> on_update);
    ~StoreFeed();
    StoreFeed(const StoreFeed&) = delete;
    StoreFeed& operator=(const StoreFeed&) = delete;
    StoreFeed(StoreFeed&&) = delete;
    StoreFeed& operator=(StoreFeed&&) = delete;

    /// Sends heartbeats and changes the source when its news is too old; called every fraction of
    /// a second.
    void sweep(Time now);

    /// True while the node hears from another one.
    bool is_following() const;

private:
    /// A stream of news from another node.
    struct Upstream {
        Member reader;
        std::shared_ptr<PeerCall> call;
        std::string input;
        Time opened{};
        /// When the store was last heard there, by this node's clock.
        std::optional<Time> as_of;
        bool in_trouble = false;
        bool ended = false;
    };

    void watch_store();
    void start_watching(Time now);
    void apply_update(KindUpdate update);
    void take_members(const KindUpdate& update);
    void set_pace();
    Time store_heard() const;

    void sweep_candidate(Time now);
    std::vector<Member> candidates(Time now) const;
    void open_candidate(Time now);
    void on_upstream_data(const std::shared_ptr<Upstream>& upstream, std::string_view bytes);
    void drop(std::shared_ptr<Upstream>& upstream, const char* reason, Time now);
    void follow_candidate(Time now);
    void stop_following(Time now);
    bool is_in_trouble() const;

    void serve(const std::shared_ptr<ServerStream>& stream);
    void send(const StoreUpdate& update);

    EventLoop& m_loop;
    Metrics& m_metrics;
    /// Streams outlive the feed on the loop; their handlers ask whether it is still there.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    StoreFeedOptions m_options;
    StoreReadTiming m_timing;
    std::function<void(const KindUpdate&)> m_on_update;
    Counter& m_relayed;
    Counter& m_followed;
    TrafficCounters m_traffic;
    PeerPool m_peers;
    std::shared_ptr<PeerServer> m_server;
    std::vector<std::shared_ptr<ServerStream>> m_followers;
    StoreMirror m_mirror;
    std::vector<Member> m_members;
    AvoidedReaders m_avoided;
    std::vector<std::shared_ptr<KindWatcher>> m_watchers;
    /// The node that is followed, and one that may be followed next.
    std::shared_ptr<Upstream> m_upstream;
    std::shared_ptr<Upstream> m_candidate;
    bool m_watching = false;
    /// Until then the node waits for a reader before it reads the store itself.
    Time m_watch_at{};
    /// Until then it goes on reading the store itself.
    Time m_hold_until{};
    Time m_next_candidate_at{};
    Time m_next_heartbeat{};
};

}  // namespace ebonymount
