// Routes and targets, resolved to indices once per change, so that no lookups by name are needed
// while a request is served.
//
// A view is immutable; requests keep the view that they started with. State that changes
// with every request (service times, load, failures) is in `TargetTable`, under the same target
// indices. A target keeps its index even after it has gone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "policy/route_table.h"
#include "policy/target_registry.h"
#include "policy/target_state.h"

namespace ebonymount {

using ServiceIndex = std::uint32_t;

/// A service with its targets.
struct ServiceView {
    ServiceLimits limits;
    std::vector<TargetIndex> targets;
};

/// A route's services as indices, in the order of the table.
struct RouteView {
    /// Shards of a fan-out, or the services that share the requests by weight.
    std::vector<ServiceIndex> services;
};

/// Index of each service that any table version has named; a service keeps its index across
/// versions.
using ServiceIndices = std::map<std::string, ServiceIndex>;

/// One immutable view of routes, services and targets.
struct FleetView {
    RouteTable table;
    /// By service index; services that are no longer in the table have no targets.
    std::vector<ServiceView> services;
    /// Parallel to `table.routes`.
    std::vector<RouteView> routes;
    /// Region of each data centre.
    std::map<std::string, std::string> regions;
};

/// The inputs that a view is resolved from.
struct FleetInputs {
    const RouteTable& table;
    const TargetRegistry& registry;
    /// Data centres that were taken out of service by operators.
    const std::set<std::string>& out_of_service;
    const std::map<std::string, std::string>& regions;
};

/// Resolves the inputs, adds new services to `indices` and updates the target table from the
/// registry.
std::shared_ptr<const FleetView> make_view(const FleetInputs& inputs, ServiceIndices& indices,
                                           TargetTable& targets, Time now);

}  // namespace ebonymount
