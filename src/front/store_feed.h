// Updates of the platform's store, from the store itself or from another node that reads it.
//
// A node chosen as a reader watches the store and relays its updates. Any other node follows a
// reader of its data centre over one stream, which carries changes at once and, in between,
// heartbeats with the age of the reader's data. `policy/store_source` decides whom a node follows
// and when it goes to the store itself; it then continues from the revision that it has reached.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "front/kind_watcher.h"
#include "front/store_mirror.h"
#include "io/peer_sessions.h"
#include "policy/kind_contact.h"
#include "policy/known_nodes.h"
#include "policy/store_progress.h"
#include "policy/store_source.h"

namespace ebonymount {

/// Options of a `StoreFeed`.
struct StoreFeedOptions {
    Member self;
    std::string store_address;
    /// Peer addresses of nodes to follow while the list of nodes is not known because the store is
    /// unavailable.
    std::vector<std::string> initial_peers;
    Duration config_apply{};
    /// Times in which leaving targets and data centres out of service must be in force.
    Duration drain = from_ms(3000);
    Duration evacuate = from_ms(5000);
    Duration stable_window{};
    /// True on the first start of the whole deployment, when the list of nodes is still incomplete.
    bool first_start = false;
    /// Answers calls of other nodes that are not about the store's updates; empty for a call that
    /// is not known.
    std::function<std::optional<std::string>(const std::string& path, const std::string& body)>
        on_peer_call{};
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

    SourceReport report(Time now) const;

private:
    /// A stream of updates from a reader that this node follows or may follow next.
    struct Upstream {
        ReaderLink link;
        std::shared_ptr<PeerCall> call;
        /// Received bytes that do not form a whole line yet.
        std::string input;
        bool store_failed_recently = false;
        /// It was logged that the reader states no era.
        bool lacks_era = false;
    };
    /// A stream to a node that follows this one.
    struct Follower {
        std::shared_ptr<ServerStream> stream;
        FollowRequest request;
        /// Lists are sent once this node's own data is recent; before that, changes are not.
        bool has_lists = false;
    };
    /// A list of one kind, encoded once for all followers that need it; empty lines are not encoded
    /// yet.
    struct EncodedList {
        StorePosition position;
        bool after_outage = false;
        std::string line;
        std::string compressed_line;
    };

    void listen_for_followers(Time now);
    void create_watchers();
    void start_watching();
    void stop_watching();
    void apply_update(KindUpdate update);
    void apply_members(const KindUpdate& update);
    void update_watcher_timing();
    /// As of when the data that this node reads itself is complete; `Time{}` if it reads none.
    Time own_contact() const;
    /// A kind that must be complete for the node's data to count as such.
    KindContact contact_of(const KindWatcher& watcher) const;
    bool own_reads_fail() const;
    void on_store_position(platform::Kind kind, const StorePosition& position, bool is_current);
    KindWatcher& watcher_of(platform::Kind kind) const;
    /// The kind's data may lack a change that must be in force soon, so it is read again, if need
    /// be with a current read.
    bool must_be_proven(platform::Kind kind, Time now) const;
    void prove_overdue_data(Time now);
    /// The store's era is known, or another one than before: all kinds are read again then.
    void on_era_change();
    /// Counts and logs a list that the mirror does not take as it is older than `known`.
    void report_older_list(const KindUpdate& update, const StorePosition& known);
    /// Other nodes rely on what this node reads.
    bool reads_for_others() const;
    Duration age(Time now) const;
    /// A message to followers.
    StoreUpdate message(std::optional<KindUpdate> change, Time now) const;

    SourceInputs source_inputs(Time now) const;
    /// Sets the gauges, and logs when the state becomes old or recent again.
    void report_source(Time now);
    /// Sets the gauge of each kind that this node reads, and logs when one of them falls behind
    /// while the node's data as a whole counts as recent.
    void report_kinds(Time now);
    void execute(const SourceAction& action, Time now);
    void open_candidate(const Member& reader, Time now);
    void on_upstream_data(const std::shared_ptr<Upstream>& upstream, std::string_view bytes);
    /// False if this node cannot rely on the updates of a reader, whose stream is to be ended then:
    /// its changes do not continue this node's copy, or it states no era, as an earlier version of
    /// this program does, and the store has returned from an older copy, which that reader does not
    /// notice. A reader without eras is logged once a stream.
    bool may_apply(Upstream& upstream, const KindUpdate& update);
    void close_upstream(std::shared_ptr<Upstream>& upstream, const char* reason);
    void follow_candidate(Time now);
    void probe_store();
    void offer_data(const Member& reader);
    void take_offer(const std::string& text);
    bool has_recent_store_failure() const;

    void add_follower(const std::shared_ptr<ServerStream>& stream, const std::string& request);
    void send_lists(Follower& follower, Time now);
    void send_due_lists(Time now);
    const std::string& encoded_list(const KindUpdate& list, bool compressed);
    void send_to_followers(const StoreUpdate& update);

    EventLoop& m_loop;
    Metrics& m_metrics;
    /// Streams on the event loop may outlive the feed; their handlers check here whether it still
    /// exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    StoreFeedOptions m_options;
    StoreReadTiming m_timing;
    ProofTiming m_proof_timing;
    std::function<void(const KindUpdate&)> m_on_update;
    Counter& m_updates_relayed;
    Counter& m_updates_received;
    Counter& m_probes;
    /// Offers of nodes that read the store, received while this one could not.
    Counter& m_offers;
    /// Gauges: the age of this node's state, and whether it reads the store or follows a reader.
    Counter& m_state_age_ms;
    Counter& m_source_own;
    Counter& m_source_reader;
    /// Gauge: the store's era.
    Counter& m_store_era;
    /// Lists that were not applied because they are older than this node's data.
    Counter& m_older_lists;
    TrafficCounters m_traffic;
    PeerPool m_peers;
    std::shared_ptr<PeerServer> m_server;
    Time m_next_listen{};
    std::vector<Follower> m_followers;
    StoreMirror m_mirror;
    StoreProgress m_progress;
    /// The store's era, as this node's own calls and lists of other nodes show it.
    std::shared_ptr<StoreEra> m_era = std::make_shared<StoreEra>();
    /// The era before the latest change of it.
    std::int64_t m_era_before = UNKNOWN_ERA;
    /// The era has changed since it became known to this process.
    bool m_has_seen_return = false;
    KnownNodes m_known_nodes;
    std::vector<Member> m_members;
    StoreSource m_source;
    Random m_random{process_seed()};
    /// One watcher for each kind: the first probes an unavailable store, the last reads the list of
    /// nodes.
    std::vector<std::shared_ptr<KindWatcher>> m_watchers;
    /// The node that is followed, and a candidate to be followed next.
    std::shared_ptr<Upstream> m_upstream;
    std::shared_ptr<Upstream> m_candidate;
    std::map<platform::Kind, EncodedList> m_encoded_lists;
    Time m_next_heartbeat{};
    /// When a reader last said that the store had failed a short time ago.
    std::optional<Time> m_store_failure_heard_at;
    bool m_reads_for_others = false;
    /// The state is recent, from whatever source.
    bool m_has_source = false;
    /// Kinds that this node reads and that have fallen behind.
    std::set<platform::Kind> m_kinds_behind;
};

}  // namespace ebonymount
