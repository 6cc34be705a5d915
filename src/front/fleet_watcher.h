// What a front hears from the platform's store: configuration, targets, data centres out of
// service, other nodes and requests that crash targets.
//
// Keeps the last it has heard while the store is away, and makes a new view of the fleet when
// something has changed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "front/front_state.h"
#include "front/store_feed.h"
#include "policy/target_registry.h"

namespace ebonymount {

/// Who follows, and whom.
struct FleetWatcherOptions {
    StoreFeedOptions feed;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
};

/// Who is told, on the loop's thread.
struct FleetWatcherHandlers {
    /// A newer table is in force.
    std::function<void(const RouteTable&)> on_table;
    /// So many nodes share the fleet's limits.
    std::function<void(std::int64_t nodes)> on_nodes;
};

class FleetWatcher {
public:
    /// Begins to read the store. The view and the quarantine in `state` are kept up to date.
    FleetWatcher(FrontState& state, FleetWatcherOptions options, FleetWatcherHandlers handlers);
    ~FleetWatcher();
    FleetWatcher(const FleetWatcher&) = delete;
    FleetWatcher& operator=(const FleetWatcher&) = delete;
    FleetWatcher(FleetWatcher&&) = delete;
    FleetWatcher& operator=(FleetWatcher&&) = delete;

    /// Forgets targets that did not come back and registers this node if that is still due.
    void sweep(Time now);

private:
    using Objects = std::vector<platform::StoredObject>;
    using CallHandler = std::function<void(CallStatus, const HttpResponseMessage&)>;

    void apply_update(const KindUpdate& update);
    void take_config(const Objects& objects);
    void take_target_list(const Objects& objects, bool after_outage);
    void take_target_changes(const Objects& objects);
    void take_evacuations(const Objects& objects, bool is_list);
    void take_nodes(const Objects& objects);
    void take_suspects(const Objects& objects);
    void report_crash(std::uint64_t request);
    /// Makes one call on a connection of its own; `body` may be empty.
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
    TargetRegistry m_registry;
    bool m_knows_targets = false;
    bool m_knows_evacuations = false;
    std::set<std::string> m_out_of_service;
    std::int64_t m_nodes = 0;
    bool m_registered = false;
    /// The store has an object of this node's name.
    bool m_name_is_taken = false;
    Time m_next_registration{};
    bool m_view_is_old = false;
    /// Reports of crashes that were counted, with the time until which they stay in the store.
    std::map<std::string, Time> m_known_reports;
    std::int64_t m_crash_reports = 0;
    /// Wall-clock milliseconds; tells the reports of this start from those of others.
    std::int64_t m_started_at_ms = 0;
    StoreFeed m_feed;
};

}  // namespace ebonymount
