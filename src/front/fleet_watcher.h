// Applies updates from the platform's store to a front node: configuration, targets, data centres
// out of service, other nodes and requests that crash targets.
//
// Keeps the last known state while the store is unavailable, and builds a new view of the fleet
// when something has changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "front/crash_reporter.h"
#include "front/front_state.h"
#include "front/state_inquiry.h"
#include "front/store_feed.h"
#include "front/trial_voting.h"
#include "policy/known_nodes.h"
#include "policy/lost_reports.h"
#include "policy/out_of_service.h"
#include "policy/target_registry.h"

namespace ebonymount {

/// Options of a `FleetWatcher`.
struct FleetWatcherOptions {
    StoreFeedOptions feed;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
};

/// Callbacks, called on the event loop's thread.
struct FleetWatcherHandlers {
    /// Receives each newer route table.
    std::function<void(const RouteTable&)> on_table;
    /// Receives the names of the nodes that share the fleet's limits, each time their list has
    /// changed.
    std::function<void(const std::vector<std::string>& names)> on_nodes;
};

class FleetWatcher {
public:
    /// Starts to read the store and keeps the view and the quarantine in `state` up to date.
    FleetWatcher(FrontState& state, FleetWatcherOptions options, FleetWatcherHandlers handlers);
    ~FleetWatcher();
    FleetWatcher(const FleetWatcher&) = delete;
    FleetWatcher& operator=(const FleetWatcher&) = delete;
    FleetWatcher(FleetWatcher&&) = delete;
    FleetWatcher& operator=(FleetWatcher&&) = delete;

    /// Sends crash reports, removes old ones and targets that did not register again in time, and
    /// registers this node if it is not registered yet. To be called several times a second.
    void sweep(Time now);

private:
    using CallHandler = std::function<void(CallStatus, const HttpResponseMessage&)>;

    /// The options with a handler of other nodes' calls.
    StoreFeedOptions feed_options(StoreFeedOptions options);
    void apply_update(const KindUpdate& update);
    /// Asks other nodes for state that the store has lost, before the first view is built.
    void begin_inquiry();
    void apply_inquired_state(const UnconfirmedState& state);
    /// True if this node knows what the store has lost by a return that others still deal with.
    bool knows_lost_state(Time now) const;
    /// The response to another node's inquiry; empty if the request cannot be read.
    std::optional<std::string> serve_inquiry(const std::string& body) const;
    UnconfirmedState unconfirmed_state(Time now) const;
    void apply_config(const KindUpdate& update);
    /// Uses a configuration that was read at that position, unless it is older than the one in
    /// force.
    void take_table(const std::string& spec, const StorePosition& position);
    void accept_table(RouteTable table, TableChange change, const StorePosition& position);
    void apply_target_list(const KindUpdate& list);
    void apply_target_changes(const KindUpdate& changes);
    /// Until when targets may be used that the update shows to be removed.
    Time latest_use_of(const KindUpdate& update) const;
    /// If the target has restarted, connections to it that broke before were crashes.
    void check_for_restart(const TargetEntry& entry);
    void apply_evacuations(const KindUpdate& update);
    /// Accepts what an older copy of the store says and nobody has written again.
    void accept_unconfirmed_state(Time now);
    void apply_nodes(const KindUpdate& list);
    void apply_crash_reports(const KindUpdate& update);
    /// The store has returned from an older copy and lists these reports and claims.
    void keep_lost_reports(const std::set<std::string>& listed);
    /// Writes lost reports and claims again that are due.
    void rewrite_lost_reports(Time now);
    void apply_trial_claim(const platform::StoredObject& object, const TrialClaim& claim);
    void forget_report(const std::string& name, std::uint64_t request);
    /// Reports of other nodes that are no longer in the store were withdrawn.
    void forget_unlisted_reports(const std::set<std::string>& listed);
    void report_crash(const Crash& crash);
    void claim_trial(const TrialClaim& claim);
    /// The store has not answered the claim: asks the other nodes for a trial.
    void ask_for_trial(const TrialClaim& claim);
    /// Makes one call to the store on a new connection; `body` may be empty.
    void call_store(const std::string& method, const std::string& path, const std::string& body,
                    CallHandler on_end);
    void remove_old_reports(Time now);
    void register_node();
    void rebuild_view();

    FrontState& m_state;
    EventLoop& m_loop;
    FleetWatcherOptions m_options;
    FleetWatcherHandlers m_handlers;
    std::optional<RouteTable> m_table;
    /// The table as operators wrote it.
    std::string m_table_spec;
    /// The store's era in which the table was last seen there.
    std::int64_t m_table_era = UNKNOWN_ERA;
    /// The latest era in which each kind was read.
    std::map<platform::Kind, std::int64_t> m_eras;
    TargetRegistry m_registry;
    bool m_has_targets = false;
    bool m_has_evacuations = false;
    OutOfService m_out_of_service;
    KnownNodes m_known_nodes;
    std::vector<std::string> m_node_names;
    bool m_registered = false;
    /// The store has an object with this node's name.
    bool m_name_is_taken = false;
    Time m_next_registration{};
    bool m_view_rebuild_pending = false;
    /// Names of the crash reports that were counted, with the time at which this node removes each
    /// from the store.
    std::map<std::string, Time> m_counted_reports;
    /// Reports and claims that the store has lost, and those that were withdrawn.
    LostReports m_lost_reports;
    /// Names of the claims that were granted to this node.
    std::set<std::string> m_own_claims;
    std::int64_t m_reported_crashes = 0;
    /// Wall-clock milliseconds; part of the names of crash reports, so that they differ from those
    /// of earlier starts.
    std::int64_t m_started_at_ms = 0;
    Random m_random{process_seed()};
    CrashReporter m_reporter;
    TrialVoting m_voting;
    StateInquiry m_inquiry;
    bool m_has_begun_inquiry = false;
    bool m_has_ended_inquiry = false;
    /// The inquiry was answered, or there was nothing to ask for.
    bool m_is_informed = false;
    Time m_started_at = monotonic_now();
    StoreFeed m_feed;
};

}  // namespace ebonymount
