// Checks the promises of a soak run from what callers, targets and operators observe.
//
// The checker receives events with their times and records violations. It has no clock, socket or
// thread, so its unit tests can show for each check that it detects a violation.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace soak {

using ebonymount::Duration;
using ebonymount::Time;

/// Bounds to check against. The nodes under test get the same values in their settings, as far as
/// they have a setting for them.
struct SoakBounds {
    /// Maximum time from the acknowledgement of a configuration until all nodes use it.
    Duration config_apply = ebonymount::from_ms(3000);
    /// Maximum time from the acknowledged drain or removal of a target to its last request.
    Duration drain = ebonymount::from_ms(3000);
    /// Maximum time from taking a data centre out of service to the last request at its targets.
    Duration evacuate = ebonymount::from_ms(5000);
    /// The time bounds apply once node and store have been undisturbed for this long.
    Duration stable_window = ebonymount::from_ms(4000);
    /// Once a target has seen the effect of a version, requests sent later than this are handled by
    /// that version or a newer one. Eight times as long at a node that was disturbed.
    Duration downgrade_slack = ebonymount::from_ms(250);
    /// Time that a node has to finish after SIGTERM.
    Duration grace = ebonymount::from_ms(6000);
    /// A request that is cut off later than this after it was sent counts as read by the node.
    Duration loss_slack = ebonymount::from_ms(200);
    /// Maximum delay of the final response beyond the route's timeout.
    Duration timeout_slack = ebonymount::from_ms(500);
    /// Bound on retries and hedges: within a window, the arrivals of requests beyond their first
    /// are at most this ratio of the requests sent, plus the slack.
    double retry_ratio = 0.2;
    std::int64_t retry_slack = 40;
    Duration retry_window = ebonymount::from_ms(10000);
};

/// A request as a caller sends it.
struct SoakRequest {
    std::string id;
    std::string node;
    std::string route;
    std::string method;
    std::string path;
    std::string body;
    Time sent{};
};

/// One route of a configuration.
struct SoakRoute {
    /// The path prefix without its slashes; `book/x` lies under `book`.
    std::string name;
    bool idempotent = true;
    std::int64_t max_attempts = 2;
    Duration timeout = ebonymount::from_ms(1000);
    /// The shards of a fan-out route; a single service for any other route.
    std::vector<std::string> services;
    bool fan_out = false;
    std::size_t top_k = 0;
    double min_coverage = 1.0;
    /// Home regions, the only ones where its requests may run; all regions if empty.
    std::vector<std::string> regions{};
};

/// A configuration version and the time of its acknowledgement by the store.
struct SoakConfig {
    std::int64_t version = 0;
    std::map<std::string, SoakRoute> routes;
    Time acknowledged{};
};

/// A response as a caller received it. Status 0 means that the connection ended before a complete
/// response.
struct SoakResponse {
    int status = 0;
    /// The request id in the response, or empty.
    std::string request_id;
    std::string signature;
    std::vector<std::string> part_signatures;
    std::int64_t missing_parts = 0;
    std::string body;
};

/// Identity of the target that an event comes from.
struct SoakTarget {
    std::string id;
    std::string service;
    std::string data_centre;
    std::string region;
};

/// Counters for the report.
struct SoakTotals {
    std::int64_t requests = 0;
    /// Responses with a 2xx status; `complete` counts those without missing parts.
    std::int64_t served = 0;
    std::int64_t complete = 0;
    /// Responses whose status promises that the request has not run.
    std::int64_t rejected = 0;
    /// Responses with any other status.
    std::int64_t failed = 0;
    /// Connections that ended before a complete response.
    std::int64_t cut_off = 0;
    /// Arrivals of a request at a service beyond the first.
    std::int64_t extra_arrivals = 0;
};

class SoakChecker {
public:
    explicit SoakChecker(const SoakBounds& bounds);

    void on_config(const SoakConfig& config);
    void on_request(const SoakRequest& request);
    void on_response(const std::string& request, const SoakResponse& response, Time now);
    /// The caller received bytes that are not an HTTP response.
    void on_malformed(const std::string& request);
    /// True if a request was sent and its response is outstanding.
    bool is_open(const std::string& request) const;
    /// The caller closed its connection; the request needs no response any more.
    void on_caller_disconnected(const std::string& request, Time now);
    void on_arrival(const SoakTarget& target, const SoakRequest& seen, Time now);
    void on_run(const SoakTarget& target, const std::string& request, Time now);
    void on_target_response(const SoakTarget& target, const std::string& request,
                            const std::string& signature, const std::string& body, bool success);

    /// The store acknowledged that a target is draining or removed.
    void on_target_leaving(const std::string& target, Time now);
    /// The target names a limit, in requests a second of all nodes together, until it ends.
    void on_limit(const std::string& target, double per_second, Time now);
    void on_limit_ended(const std::string& target);
    void on_data_centre(const std::string& data_centre, bool in_service, Time now);

    /// Marks a component as disturbed by a fault until the given time: a node or one of its links;
    /// the store, or the host that runs the soak; the link of a target.
    void mark_node_disturbed(const std::string& node, Time until);
    void mark_store_disturbed(Time until);
    void mark_target_disturbed(const std::string& target, Time until);
    /// A new process of the node was started.
    void on_node_started(const std::string& node, Time now);
    /// A node was asked to shut down gracefully.
    void on_planned_stop(const std::string& node, Time now);
    /// A process ended without being stopped or killed by the plan, or its graceful stop failed.
    void on_unexpected_end(const std::string& node, int status);

    /// Runs the checks that need the whole run. Most requests sent after `calm_since` must be
    /// served.
    void finish(Time calm_since, Time now);

    const std::vector<std::string>& violations() const;
    const SoakTotals& totals() const;

private:
    /// The response of one target: the whole of a plain response, or a part of a fan-out response.
    struct Part {
        std::string request;
        std::string service;
        std::string body;
        bool success = false;
    };
    struct Entry {
        SoakRequest request;
        bool answered = false;
        bool caller_disconnected = false;
        Time disconnected_at{};
        Time responded_at{};
        int status = 0;
        std::int64_t runs = 0;
        std::map<std::string, std::int64_t> arrivals;
    };

    /// A limit that a target names, and the requests that count against it.
    struct Limit {
        double per_second = 0.0;
        Time since{};
        std::map<std::string, std::int64_t> arrivals_by_node;
        std::deque<Time> counted;
    };

    /// What targets have seen of the versions that a process of a node has in force.
    struct VersionsSeen {
        Time started{};
        /// A time and the position in `m_configs` of the oldest version that was seen to be in
        /// force from then on; both rise.
        std::vector<std::pair<Time, std::size_t>> since;
    };

    /// True if the route of the request in that version has the service.
    static bool allows(const SoakConfig& config, const Entry& entry, const std::string& service);
    /// A request was handled as only versions up to the given position allow.
    void check_regress(const Entry& entry, std::size_t newest, const std::string& what);
    void check_limit(const SoakTarget& target, const std::string& node, Time now);
    void add_violation(const std::string& rule, const std::string& message);
    /// True if neither the node nor the store was disturbed within the stable window before `now`.
    bool is_stable(const std::string& node, Time now) const;
    bool is_node_disturbed(const std::string& node, Time now) const;
    const SoakRoute* newest_route(const std::string& name) const;
    /// Every configuration version that may be in force when the request is sent.
    std::vector<const SoakConfig*> valid_configs(const Entry& entry) const;
    /// The request's route in each of these versions that has one.
    std::vector<const SoakRoute*> valid_routes(const Entry& entry) const;
    /// True if a version that may be in force has no route for the request.
    bool may_lack_route(const Entry& entry) const;
    void check_home(const Entry& entry, const SoakTarget& target);
    void check_service(const Entry& entry, const std::string& service, Time now);
    /// Checks a request that the node itself denied against the versions that were seen in force.
    void check_denied(const Entry& entry, int status);
    void check_fan_out(const Entry& entry, const SoakResponse& response);
    void check_plain(const Entry& entry, const SoakResponse& response);
    void check_cut_off(const Entry& entry, Time now);
    void check_extra_arrivals();

    SoakBounds m_bounds;
    std::vector<SoakConfig> m_configs;
    std::map<std::string, Entry> m_entries;
    /// By signature.
    std::map<std::string, Part> m_parts;
    std::map<std::string, Time> m_leaving;
    std::map<std::string, Limit> m_limits;
    std::map<std::string, Time> m_out_of_service;
    std::map<std::string, Time> m_node_disturbed_until;
    std::map<std::string, Time> m_target_disturbed_until;
    Time m_store_disturbed_until{};
    std::map<std::string, VersionsSeen> m_versions_seen;
    std::map<std::string, Time> m_planned_stops;
    /// Times by service: arrivals of a request beyond its first, and requests sent.
    std::map<std::string, std::vector<Time>> m_extra_arrivals;
    std::map<std::string, std::vector<Time>> m_sent_requests;
    /// Requests that started to run more than half a second after their caller had disconnected.
    std::vector<std::string> m_runs_after_disconnect;
    std::vector<std::string> m_violations;
    SoakTotals m_totals;
};

}  // namespace soak
