// The immutable view of the cluster state that one request is routed by.
//
// Nodes publish a new view whenever configuration, placements or group leases change. A request
// keeps the view it started with, except that the relay checks again before each send whether
// target, host or data centre was taken out of service.
#pragma once

#include <map>
#include <set>
#include <string>

#include "policy/group_lease.h"
#include "policy/placement.h"
#include "policy/table.h"

namespace ebonymount {

/// Everything that routing needs, at one point in time.
struct RoutingView {
    Configuration configuration;
    std::map<std::string, Placement> placements;
    /// Last known group leases by group name. They are hints; the relay checks the lease that it
    /// holds.
    std::map<std::string, GroupLeaseRecord> groups;
    /// Taken out of service by operators and spread by gossip, but not yet stored in the platform.
    std::set<std::string> pending_out_of_service_data_centres;
    std::set<std::string> pending_out_of_service_hosts;
    /// Hosts that are marked as leaving in the platform's host list.
    std::set<std::string> leaving_hosts;
};

/// True if operators have taken the data centre out of service, whether stored or spread by gossip.
bool is_data_centre_out_of_service(const RoutingView& view, const std::string& data_centre);

/// True if new requests may be sent to the target.
bool accepts_new_work(const RoutingView& view, const Target& target);

/// Name of the group that owns the target under this view's configuration.
std::string owning_group(const RoutingView& view, const Target& target);

}  // namespace ebonymount
