// The immutable picture of the system that one request is routed by.
//
// Nodes publish a new view whenever configuration, placements or seats change; a request keeps the
// view it started with, except that take-outs are checked again by the relay before each send.
#pragma once

#include <map>
#include <set>
#include <string>

#include "policy/group_lease.h"
#include "policy/placement.h"
#include "policy/table.h"

namespace ebonymount {

/// Everything that routing needs, at one moment.
struct RoutingView {
    Configuration configuration;
    std::map<std::string, Placement> placements;
    /// Last known seat records by seat name; hints only, a relay answers truly.
    std::map<std::string, GroupLeaseRecord> groups;
    /// Take-outs that peers have spread while the platform could not store them.
    std::set<std::string> pending_out_of_service_data_centres;
    std::set<std::string> pending_out_of_service_hosts;
    /// Hosts that the platform's host list calls leaving.
    std::set<std::string> leaving_hosts;
};

/// True when operators have taken the data centre out, stored or still spreading.
bool is_data_centre_out_of_service(const RoutingView& view, const std::string& data_centre);

/// True when new work may be sent to the target.
bool accepts_new_work(const RoutingView& view, const Target& target);

/// The seat that owns the target under this view's configuration.
std::string owning_group(const RoutingView& view, const Target& target);

}  // namespace ebonymount
