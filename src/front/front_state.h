// What the parts of a front share: the current view of the fleet and what is learned about it.
//
// Everything here belongs to the front's event loop and is used on its thread only, so nothing
// needs a lock.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "front/target_pool.h"
#include "io/event_loop.h"
#include "io/metrics.h"
#include "policy/fleet_view.h"
#include "policy/quarantine.h"
#include "policy/retry_budget.h"

namespace ebonymount {

/// Counters and histograms of the request path, looked up once.
struct FrontMetrics {
    explicit FrontMetrics(Metrics& metrics);

    Counter& requests;
    Counter& complete;
    Counter& partial;
    Counter& passed_errors;
    Counter& not_run;
    Counter& failed;
    Counter& out_of_time;
    Counter& caller_gone;
    Counter& unknown_route;
    Counter& not_ready;
    Counter& quarantined;
    Counter& attempts;
    Counter& hedges;
    Counter& retries;
    Counter& budget_exhausted;
    Counter& parts_missing;
    Histogram& request_time;
    Histogram& attempt_time;
};

struct FrontState {
    FrontState(EventLoop& loop, Metrics& registry);

    EventLoop& event_loop;
    Metrics& metrics;
    FrontMetrics counters;
    TargetTable targets;
    ServiceIndices services;
    /// Empty until a configuration and the targets are known.
    std::shared_ptr<const FleetView> view;
    /// Counts changes of what is known about targets; logs name it.
    std::int64_t registry_generation = 0;
    /// When the store was last heard about targets.
    Time targets_updated_at{};
    /// Budgets for extra arrivals, at service indices.
    std::vector<RetryBudget> budgets;
    RetryBudgetLimits retry_budget;
    /// Processing that a late part of an answer takes on this host.
    Duration part_time{};
    Quarantine quarantine;
    TargetPool pool;
    Random random;
    /// Told when a target has crashed while it ran the request of that fingerprint.
    std::function<void(std::uint64_t)> on_crash;
};

}  // namespace ebonymount
