// State shared by the parts of a front node: the current view of the fleet and what the node has
// observed of its targets.
//
// Everything here belongs to the front's event loop and is used on its thread only, so nothing
// needs a lock.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/random.h"
#include "front/target_pool.h"
#include "io/event_loop.h"
#include "io/memory_budget.h"
#include "io/metrics.h"
#include "platform/call_headers.h"
#include "policy/crash_quarantine.h"
#include "policy/fleet_view.h"
#include "policy/quarantine_trial.h"
#include "policy/retry_budget.h"
#include "policy/store_source.h"
#include "policy/trial_vote.h"

namespace ebonymount {

/// Counters and histograms of the request path, looked up once.
struct FrontMetrics {
    explicit FrontMetrics(Metrics& metrics);

    Counter& requests;
    Counter& complete;
    Counter& partial;
    Counter& target_errors;
    Counter& not_run;
    Counter& failed;
    Counter& out_of_time;
    Counter& caller_gone;
    /// Requests that an exception has ended.
    Counter& internal_errors;
    Counter& unknown_route;
    Counter& not_ready;
    /// Requests that were ended because too much memory is held for callers.
    Counter& short_of_memory;
    Counter& quarantined;
    /// Trials of quarantined requests that this node has made.
    Counter& quarantine_trials;
    Counter& attempts;
    Counter& hedges;
    Counter& retries;
    Counter& attempts_without_token;
    Counter& parts_missing;
    /// Rate limits that targets have named or changed, and that have ended.
    Counter& limits_named;
    Counter& limits_ended;
    /// Responses that turned this node away for a time.
    Counter& turned_away;
    /// Targets that said that they are leaving.
    Counter& targets_leaving;
    /// Responses whose signature cannot be one.
    Counter& malformed_signatures;
    /// Responses that name no request; their connections are not used again.
    Counter& responses_without_id;
    /// Connections that broke while a request ran, by what became of them.
    Counter& crash_evidence_broken;
    Counter& crash_evidence_confirmed;
    Counter& crash_evidence_refuted;
    Counter& crash_evidence_unconfirmed;
    /// Crash reports to the store, by outcome.
    Counter& crash_reports_stored;
    Counter& crash_reports_failed;
    Counter& crash_reports_dropped;
    /// Reports that the store had lost, and that this node has queued again.
    Counter& crash_reports_rewritten;
    /// Gauge: version of the configuration that is in force at this node.
    Counter& config_version;
    Histogram& request_time;
    Histogram& attempt_time;
};

class RequestHandler;

/// State of one front node, used by all its requests.
struct FrontState {
    FrontState(EventLoop& loop, Metrics& metrics_registry);

    EventLoop& event_loop;
    Metrics& metrics;
    FrontMetrics counters;
    TargetTable targets;
    ServiceIndices services;
    /// Null until the configuration, the targets and the data centres out of service are known.
    std::shared_ptr<const FleetView> view;
    /// Generation of the target registry from which `view` was built; written to log lines.
    std::int64_t registry_generation = 0;
    /// When the last update about targets arrived, from the store or from a reader.
    Time targets_updated_at{};
    /// Source and age of the store's data, as of the last sweep.
    SourceReport store_source;
    Time store_source_at{};
    /// Retry budgets of the services, by service index.
    std::vector<RetryBudget> budgets;
    /// This node's share of the retry budget that the platform allows each service.
    RetryBudgetLimits retry_budget;
    /// Time that this node needs to process a part that arrives near the end of a request.
    Duration part_cpu_time{};
    /// A target's response with a longer signature is not used.
    std::size_t max_signature_bytes = platform::MAX_SIGNATURE_BYTES;
    CrashQuarantine quarantine;
    QuarantineTrials trials;
    /// Requests whose callers wait for a response.
    std::unordered_set<RequestHandler*> open_requests;
    /// Set when the node stops: when it answers the requests that are still open.
    std::optional<Time> answers_by;
    /// Budget of what is held for callers, by connections and by requests.
    std::shared_ptr<MemoryBudget> memory;
    TargetPool pool;
    Random random;
    /// Called when a target has crashed while running a request.
    std::function<void(const Crash&)> on_crash;
    /// Called when this node is to claim the trial of a quarantined request.
    std::function<void(const TrialClaim&)> on_trial_due;
    /// Called with the name of a crash report, or of the claim of a trial, when a target has
    /// answered the request.
    std::function<void(const std::string& report)> on_crash_refuted;
    /// Called when a target of the service has answered a request for which trials were claimed.
    std::function<void(const AnsweredRequest& answered)> on_trial_answered;
};

}  // namespace ebonymount
