// Keeps one kind of the platform's objects up to date: a list, then watches that wait for changes.
//
// When the store does not answer, refuses or has lost the history, the watcher reads the list
// again. It tells whether the store was out of reach before, because entries may have lapsed then.
// Lists are read current. Watches allow recent data, which costs a tenth, except for a while after
// a failure: a store in trouble may serve recent data that is many seconds old.
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

namespace ebonymount {

/// How often a watcher calls the store; may change while it runs.
struct WatcherPace {
    /// Longest wait of one watch.
    Duration watch_wait{};
    /// Pause after a watch that brought changes. Changes come in bursts; those of a pause cost one
    /// call together.
    Duration pause_after_changes{};
    /// Pause between the calls of the probe to an absent store.
    Duration probe_pause = from_ms(200);

    friend bool operator==(const WatcherPace&, const WatcherPace&) = default;
};

/// How a kind is followed.
struct KindWatcherOptions {
    platform::Kind kind = platform::Kind::config;
    std::string store_address;
    WatcherPace pace;
    /// Above zero, lists are read at this interval instead of watches.
    Duration poll_interval{};
    /// True for the one watcher of a node that finds out when an absent store is back. The others
    /// wait for it, as calls to an absent store cost as much as others.
    bool is_probe = false;
    /// Makes no call before `resume`.
    bool is_paused = false;
};

/// Who is told of objects, on the loop's thread.
struct KindWatcherHandlers {
    /// A complete list, or the changes since what was told before.
    std::function<void(KindUpdate)> on_update;
    /// The store answers again after failures.
    std::function<void()> on_recovered;
};

class KindWatcher : public std::enable_shared_from_this<KindWatcher> {
public:
    static std::shared_ptr<KindWatcher> start(EventLoop& loop, const KindWatcherOptions& options,
                                              KindWatcherHandlers handlers, Metrics& metrics);

    /// Ends the calls; no handler is called any more.
    void stop();

    /// Reads the list now if the watcher waits after a failure.
    void retry_now();

    /// Makes no calls until `resume`, which goes on from a revision that is known from elsewhere;
    /// 0 begins with the list. `in_trouble` if the store had failed there a while ago.
    void pause();
    void resume(std::int64_t revision, bool in_trouble);
    platform::Kind kind() const;

    /// Takes effect with the next call.
    void set_pace(const WatcherPace& pace);

    /// When the store last answered this watcher.
    Time last_contact() const;

    /// True for a while after a failure, in which only current data is taken.
    bool is_in_trouble() const;

private:
    using CallHandler = std::function<void(CallStatus, const HttpResponseMessage&)>;

    KindWatcher(EventLoop& loop, const KindWatcherOptions& options, KindWatcherHandlers handlers,
                Metrics& metrics);
    void read_list();
    void wait_for_changes();
    void call(const std::string& path, Duration timeout, const CallHandler& on_end);
    void on_page(CallStatus end, const HttpResponseMessage& answer);
    void on_watch_end(CallStatus end, const HttpResponseMessage& answer);
    void on_success();
    void fail(const std::string& why);
    platform::Freshness watch_freshness() const;
    Duration pause_after_failure() const;
    void run_later(Duration delay, void (KindWatcher::*next)());

    EventLoop& m_loop;
    KindWatcherOptions m_options;
    KindWatcherHandlers m_handlers;
    Counter& m_calls;
    Counter& m_failures;
    std::shared_ptr<HttpChannel> m_channel;
    std::vector<platform::StoredObject> m_pages;
    std::int64_t m_revision = 0;
    std::int64_t m_consecutive_failures = 0;
    Time m_failing_since{};
    Time m_last_failure{};
    /// Distinguishes calls, so that a late timeout does not end another call.
    std::uint64_t m_call_number = 0;
    std::optional<TimerId> m_pause;
    std::int64_t m_polls = 0;
    Time m_last_contact{};
    /// The next watch must be current, as its revision is known from elsewhere.
    bool m_resumed = false;
    bool m_paused = false;
    bool m_stopped = false;
};

}  // namespace ebonymount
