// The promises that a soak checks, from what callers, targets and operators see.
//
// The ledger is told events with their times and keeps what breaks a promise. It has no clock,
// socket or thread, so its own tests show for each check that it can fail.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace soak {

using ebonymount::Duration;
using ebonymount::Time;

/// Bounds that the nodes under test are given in their settings.
struct SoakBounds {
    Duration config_apply = ebonymount::from_ms(3000);
    Duration drain = ebonymount::from_ms(3000);
    Duration evacuate = ebonymount::from_ms(5000);
    /// A node or store without trouble for this long must keep every bound.
    Duration stable_window = ebonymount::from_ms(4000);
    Duration grace = ebonymount::from_ms(6000);
    Duration loss_slack = ebonymount::from_ms(200);
    /// Latest final answer after the route's timeout.
    Duration timeout_slack = ebonymount::from_ms(500);
    double retry_ratio = 0.2;
    std::int64_t retry_slack = 40;
    Duration retry_window = ebonymount::from_ms(10000);
};

/// What a caller asks for.
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
    std::string name;
    bool idempotent = true;
    std::int64_t max_attempts = 2;
    Duration timeout = ebonymount::from_ms(1000);
    /// Shards of a fan-out route; else the one service.
    std::vector<std::string> services;
    bool fan_out = false;
    std::size_t top_k = 0;
    double min_coverage = 1.0;
};

struct SoakConfig {
    std::int64_t version = 0;
    std::map<std::string, SoakRoute> routes;
    Time acknowledged{};
};

/// What a caller got. A status of 0 means that the connection ended without a whole answer.
struct SoakAnswer {
    int status = 0;
    /// The request that the answer names, or empty.
    std::string request_id;
    std::string signature;
    std::vector<std::string> part_signatures;
    std::int64_t missing_parts = 0;
    std::string body;
};

/// A target as an arrival names it.
struct SoakTarget {
    std::string id;
    std::string service;
    std::string data_centre;
};

/// Counts for the report.
struct SoakTotals {
    std::int64_t requests = 0;
    std::int64_t served = 0;
    std::int64_t whole = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t cut = 0;
    std::int64_t extra_arrivals = 0;
};

class SoakChecker {
public:
    explicit SoakChecker(const SoakBounds& bounds);

    void on_config(const SoakConfig& config);
    void on_request(const SoakRequest& request);
    void on_answer(const std::string& request, const SoakAnswer& answer, Time now);
    /// Bytes that are no HTTP answer came.
    void on_malformed(const std::string& request);
    /// True while a request has been sent and not been answered.
    bool is_open(const std::string& request) const;
    /// The caller left; nothing is owed to it any more.
    void on_caller_left(const std::string& request, Time now);
    void on_arrival(const SoakTarget& target, const SoakRequest& seen, Time now);
    void on_run(const SoakTarget& target, const std::string& request, Time now);
    void on_target_answer(const SoakTarget& target, const std::string& request,
                          const std::string& signature, const std::string& body, bool success);

    /// The store acknowledged that a target drains or is gone.
    void on_target_leaving(const std::string& target, Time now);
    void on_data_centre(const std::string& data_centre, bool in_service, Time now);

    /// Trouble until then: of one node, its links included; of the store, or of the host that
    /// runs the soak; of one target's link.
    void disturb_node(const std::string& node, Time until);
    void disturb_store(Time until);
    void disturb_target(const std::string& target, Time until);
    /// A node was asked to stop in order.
    void on_planned_stop(const std::string& node, Time now);
    /// A process ended by itself.
    void on_unexpected_end(const std::string& node, int status);

    /// Checks what is only known at the end. Requests sent after `calm_since` must be served.
    void finish(Time calm_since, Time now);

    const std::vector<std::string>& violations() const;
    const SoakTotals& totals() const;

private:
    struct Part {
        std::string request;
        std::string service;
        std::string body;
        bool success = false;
    };
    struct Entry {
        SoakRequest request;
        bool answered = false;
        bool caller_left = false;
        Time left_at{};
        Time answered_at{};
        int status = 0;
        std::int64_t runs = 0;
        std::map<std::string, std::int64_t> arrivals;
    };

    void violate(const std::string& rule, const std::string& what);
    bool is_in_touch(const std::string& node, Time now) const;
    const SoakRoute* newest_route(const std::string& name) const;
    /// Routes of that name in versions that may be in force for a request sent at that time.
    std::vector<const SoakRoute*> valid_routes(const Entry& entry) const;
    void check_service(const Entry& entry, const std::string& service);
    void check_fan_out(const Entry& entry, const SoakAnswer& answer);
    void check_plain(const Entry& entry, const SoakAnswer& answer);
    void check_cut(const Entry& entry, Time now);
    void check_extra_arrivals();

    SoakBounds m_bounds;
    std::vector<SoakConfig> m_configs;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Part> m_parts;
    std::map<std::string, Time> m_leaving;
    std::map<std::string, Time> m_out_of_service;
    std::map<std::string, Time> m_node_trouble;
    std::map<std::string, Time> m_target_trouble;
    Time m_store_trouble{};
    std::map<std::string, Time> m_planned_stops;
    /// Arrivals beyond the first of each request, and requests sent, by service.
    std::map<std::string, std::vector<Time>> m_extra;
    std::map<std::string, std::vector<Time>> m_sent;
    /// Requests that began to run half a second after their caller had left.
    std::vector<std::string> m_runs_for_nobody;
    std::vector<std::string> m_violations;
    SoakTotals m_totals;
};

}  // namespace soak
