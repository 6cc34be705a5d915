// The operators' routing configuration: which service serves a request, and within which limits.
//
// A table is immutable once decoded. Requests keep the table that they were matched against, so one
// request never mixes two versions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace ebonymount {

/// A service that serves a share of a route's requests.
struct WeightedService {
    std::string service;
    double weight = 1.0;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// One row: which requests it matches, by host and path prefix, and how they are served.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    bool idempotent = false;
    /// Maximum time that a caller waits.
    Duration timeout{};
    /// Time within which a response has its full value.
    Duration latency_objective{};
    /// Priority under overload; 0 is served first.
    std::int64_t priority = 0;
    /// Maximum number of targets of one service that may run one request.
    std::int64_t max_attempts = 1;
    /// Services that share the requests by weight; empty for a fan-out.
    std::vector<WeightedService> services;
    /// Services with one shard each; empty unless requests fan out.
    std::vector<std::string> shards;
    /// Number of records in the merged response of a fan-out.
    std::size_t top_k = 0;
    /// Minimum share of shards, 0 to 1, in a successful response of a fan-out.
    double min_coverage = 1.0;
    /// Regions whose targets may serve the route; empty means all.
    std::vector<std::string> allowed_regions;

    friend bool operator==(const Route&, const Route&) = default;
};

/// True for a route whose requests are sent to one target of each shard.
inline bool is_fan_out(const Route& route) {
    return !route.shards.empty();
}

/// Operators' settings for the targets of a service.
struct ServiceLimits {
    std::string name;
    std::string health_path;
    /// Number of connections that each target accepts from all clients together.
    std::int64_t max_connections = 0;
    /// How long a target stays cold after it starts.
    Duration cold_start{};
    /// Requests per second that a cold target can serve; 0 if cold targets are merely slow.
    double cold_per_second = 0.0;

    friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};

/// What a caller's connection may send and how long it may take.
struct CallerLimits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 1048576;
    Duration header_timeout = from_ms(10000);
    Duration idle_timeout = from_ms(60000);

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One accepted version of the whole table.
struct RouteTable {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    CallerLimits limits;

    friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// A table that the store offers, against the one in force.
enum class TableChange : std::uint8_t {
    newer,      ///< A later version, to be used.
    rewritten,  ///< The same version with another content, written after the store has lost the one
                ///< in force by its return from an older copy; to be used.
    same,       ///< The same version.
    older,      ///< An earlier version, which is not used: versions never go back.
};

/// Compares a table of the store's era `offered_era` with the one in force, which was last seen in
/// the store in `era_in_force`.
TableChange compare_tables(const RouteTable& in_force, std::int64_t era_in_force,
                           const RouteTable& offered, std::int64_t offered_era);

/// Index of the route whose host matches and whose prefix is the longest that begins the path of
/// `target` (path and query as sent); -1 without a match. A port in `host` is ignored.
std::int64_t match_route(const RouteTable& table, std::string_view host, std::string_view target);

/// Index of the service that serves a request of a route with weighted services; `point` is uniform
/// in [0, 1).
std::size_t choose_service(const Route& route, double point);

}  // namespace ebonymount
