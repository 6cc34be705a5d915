// Keeps one kind of the platform's objects up to date: reads a list, then waits for changes with
// watches.
//
// When the store does not respond, refuses a call or has lost its history, the watcher reads the
// list again. It reports whether the store was unreachable before that, because entries may have
// expired in the meantime. Lists ask for current data, except those that are polled. Watches allow
// recent data, which costs a tenth, unless the kind is always read current, and except for a while
// after a failure or after recent data was found to be far behind.
//
// A response of a later era of the store says that the store has returned from an older copy. A
// watch cannot tell what that has undone, so the list is read again, whatever its revision. A
// response of an earlier era is out of date and counts as a failure.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "front/store_mirror.h"
#include "io/event_loop.h"
#include "io/http_channel.h"
#include "io/metrics.h"
#include "platform/store_calls.h"
#include "policy/store_era.h"

namespace ebonymount {

/// How often a watcher calls the store; may change while it runs.
struct WatcherTiming {
    /// Maximum wait of one watch.
    Duration watch_wait{};
    /// Pause after a watch that returned changes. Changes come in bursts; all those of one pause
    /// are read with one call.
    Duration pause_after_changes{};
    /// The same if the watch asked for current data, which costs ten times as much and reports
    /// changes a second earlier.
    Duration pause_after_current_changes{};
    /// For a kind that is always read current: maximum time between two calls that show whether the
    /// store has moved on; a pause before a watch counts. Zero for none.
    Duration proof_interval{};
    /// Maximum pause between the probing watcher's calls to an unavailable store; the pauses grow
    /// up to it.
    Duration probe_pause = from_ms(200);

    friend bool operator==(const WatcherTiming&, const WatcherTiming&) = default;
};

/// How long only current data is read after a failure of the store: recent data may lag until the
/// store has recovered, which takes at most 13 s according to its documentation.
constexpr Duration CURRENT_READS_TIME = from_ms(20000);

/// Options of a `KindWatcher`.
struct KindWatcherOptions {
    platform::Kind kind = platform::Kind::config;
    std::string store_address;
    WatcherTiming timing;
    /// If above zero, the list is polled at this interval and no watch is used.
    Duration poll_interval{};
    /// True for the one watcher of a node that probes an unavailable store. The others wait until a
    /// probe succeeds, as calls to an unavailable store cost as much as any other call.
    bool is_probe = false;
    /// All watches ask for current data.
    bool is_always_current = false;
    /// Starts paused: makes no call before `resume`.
    bool is_paused = false;
    /// The store's era, shared by all watchers of a node.
    std::shared_ptr<StoreEra> era = std::make_shared<StoreEra>();
    /// Added to the pauses after failures, as a fraction of them, so that nodes that fail together
    /// do not call again together.
    double pause_jitter = 0.0;
};

/// Callbacks, called on the event loop's thread.
struct KindWatcherHandlers {
    /// Receives a complete list, or the changes since the previous call.
    std::function<void(KindUpdate)> on_update;
    /// Called when the store responds again after failures.
    std::function<void()> on_recovered;
    /// For a watcher that is not the probe: true while the probe fails, when this watcher makes no
    /// calls. May be empty.
    std::function<bool()> is_store_failing;
    /// Receives the position of the store that each list or watch reflects, and whether the call
    /// asked for current data. May be empty.
    std::function<void(const StorePosition& position, bool is_current)> on_position{};
    /// True while recent data may be too old, as another watcher has found. May be empty.
    std::function<bool()> must_read_current{};
    /// True if the data must be shown to be current now, which takes a current read if a recent one
    /// has not shown it. May be empty.
    std::function<bool()> must_be_proven{};
    /// As of when data of a position is known to have been complete. May be empty.
    std::function<Time(const StorePosition& position)> proven_until{};
    /// Called when a response shows that the store's era is another one than was known. May be
    /// empty.
    std::function<void()> on_era_change{};
};

class KindWatcher : public std::enable_shared_from_this<KindWatcher> {
public:
    static std::shared_ptr<KindWatcher> start(EventLoop& loop, const KindWatcherOptions& options,
                                              KindWatcherHandlers handlers, Metrics& metrics);

    /// Ends the calls; no handler is called afterwards.
    void stop();

    /// Reads the list now if the watcher is in a pause after a failure.
    void retry_now();

    /// Ends a call in progress and makes no other until `resume`.
    void pause();

    /// Continues with the changes after `position`, which another source supplied; begins with the
    /// list if that is of an earlier era, or has revision 0. `store_failed_recently` is true if the
    /// store failed for that source a short time ago.
    void resume(const StorePosition& position, bool store_failed_recently);

    platform::Kind kind() const;

    /// A watch that waits for longer begins again; otherwise the timing takes effect with the next
    /// call.
    void set_timing(const WatcherTiming& timing);

    /// As of when the data is complete, apart from the lag of recent data; `Time{}` if no call has
    /// been answered. A watch without changes says so as of the end of its wait, however late its
    /// response is read.
    Time complete_at() const;

    /// Sets the gauge of the kind's age.
    void report_age(Duration age);

    /// True if the watcher is not paused and its last call failed.
    bool is_failing() const;

    /// True for a while after a failure, when only current data is read.
    bool has_recent_store_failure() const;

    /// Makes one recent read at once, in place of a pause or of a watch that waits for recent data.
    /// If `must_be_proven` still holds after it, a current watch follows.
    void prove();

    /// The store's position up to which the data is complete.
    StorePosition position() const;

    /// Reads only current data for a while, and begins again with a watch that waits for recent
    /// data.
    void require_current_data();

    /// The store's era has changed: reads the list again if the data is of another one. Also while
    /// the watcher is paused.
    void enter_era();

private:
    using CallHandler = std::function<void(CallStatus, const HttpResponseMessage&)>;

    KindWatcher(EventLoop& loop, const KindWatcherOptions& options, KindWatcherHandlers handlers,
                Metrics& metrics);
    void read_list();
    void wait_for_changes();
    void restart_watch();
    /// Ends the call or pause in progress.
    void end_call();
    Duration next_watch_wait() const;
    /// A time after which the changes of the watch in progress were made, if one is known.
    std::optional<Time> changes_made_after() const;
    /// As of when the data was last known to be complete, if that is known.
    std::optional<Time> complete_until() const;
    void call(const std::string& path, Duration timeout, const CallHandler& on_end);
    Duration list_timeout() const;
    void on_page(CallStatus status, const HttpResponseMessage& response);
    void on_watch_end(CallStatus status, const HttpResponseMessage& response);
    void log_objects_without_name(const platform::ObjectPage& page) const;
    void on_success(Time complete_at);
    void report_position() const;
    /// Applies the era that a response states. False if the response is out of date.
    bool take_era(const HttpResponseMessage& response);
    bool is_of_known_era() const;
    /// Reads the list in the store's new era, after a delay.
    void begin_era();
    void on_failure(const std::string& reason);
    /// Watches ask for current data, whatever recent reads would show.
    bool reads_only_current() const;
    bool must_be_proven() const;
    platform::Freshness watch_freshness() const;
    Duration pause_after_failure() const;
    void retry_list();
    void run_later(Duration delay, void (KindWatcher::*next)());

    EventLoop& m_loop;
    KindWatcherOptions m_options;
    KindWatcherHandlers m_handlers;
    Counter& m_calls;
    Counter& m_failures;
    Counter& m_age_ms;
    /// Recent reads that were made to show that data is current, and current watches that were
    /// needed for it.
    Counter& m_proofs;
    Counter& m_current_proofs;
    std::shared_ptr<HttpChannel> m_channel;
    std::vector<platform::StoredObject> m_listed_objects;
    /// A time after which the changes were made that the list in progress shows.
    std::optional<Time> m_list_made_after;
    StorePosition m_position;
    /// The last era that could not be used, which is logged once.
    std::string m_ignored_era;
    std::int64_t m_consecutive_failures = 0;
    Time m_failing_since{};
    /// The call in progress was given up, as its time was over.
    bool m_timed_out = false;
    /// Consecutive lists that have timed out, up to a maximum.
    std::int64_t m_lists_timed_out = 0;
    /// Consecutive watches that ended because the store's history is gone.
    std::int64_t m_histories_gone = 0;
    Time m_reads_current_until{};
    /// Polled lists ask for current data until then, too.
    Time m_lists_current_until{};
    /// Distinguishes calls, so that a late timeout does not end another call.
    std::uint64_t m_call_number = 0;
    std::optional<TimerId> m_pause_timer;
    std::int64_t m_polls = 0;
    Time m_complete_at{};
    /// The call in progress or the last one, and for a list of several pages its first one: when it
    /// was made, its wait and whether it asked for current data.
    Time m_called_at{};
    Duration m_call_wait{};
    bool m_call_is_current = false;
    bool m_is_watching = false;
    /// The next watch asks for current data at once, as its revision comes from another source.
    bool m_next_watch_is_first = false;
    /// The next watch is a recent read that ends at once.
    bool m_next_watch_is_proof = false;
    bool m_paused = false;
    bool m_stopped = false;
};

}  // namespace ebonymount
