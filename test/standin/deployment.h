// The deployments of the two users, at their present sizes, and the files from which stand-ins and
// nodes start.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fake_target.h"
#include "policy/placement.h"
#include "policy/table.h"

namespace standin {

/// One service of a deployment.
struct ServicePlan {
    std::string name;
    /// Shards with a replica in each data centre; 0 for a service without shards.
    int shards = 0;
    /// Targets of a service without shards, spread over the data centres.
    int targets = 0;
    /// Parameters of each target, see `FakeTargetParameters`.
    int slots = 2;
    int connections = 25;
    int open_ms = 6;
    double service_ms = 4.0;
    /// The service's row of the table.
    ebonymount::ServiceRow row;
};

/// A whole deployment.
struct Deployment {
    std::string name;
    std::vector<std::string> data_centres;
    /// One-way delays between the data centres with the indices 0-1, 0-2 and 1-2.
    std::vector<double> delays_ms;
    int nodes_per_data_centre = 2;
    std::vector<ServicePlan> services;
    /// The ports of the deployment are this one plus fixed offsets.
    int base_port = 20000;
    /// If false, nodes connect to each other directly, without stand-ins for the links.
    bool has_links = true;
    /// Id of the snapshot that all targets have at the start.
    std::string first_snapshot = "v1";
};

/// Lathe & Burr: tail latency has priority.
Deployment lathe();

/// Cooperativa Quiosques do Sul: coverage has priority.
Deployment quiosques();

/// Placement of a service. Its targets listen on consecutive ports from `first_port`.
ebonymount::Placement placement_of(const Deployment& deployment, const ServicePlan& service,
                                   int first_port);

/// A target with the service and the data centre that it belongs to.
struct PlannedTarget {
    std::string service;
    std::string data_centre;
    FakeTargetParameters parameters;
};

/// Targets of all services.
std::vector<PlannedTarget> targets_of(const Deployment& deployment);

/// The accepted configuration, generation 1.
ebonymount::Configuration configuration_of(const Deployment& deployment);

/// Writes the files from which stand-ins and nodes start: node-*.json, targets-*.json, links.json
/// and platform.json.
void write_files(const Deployment& deployment, const std::string& directory);

/// Names of the entry hosts, ordered by data centre.
std::vector<std::string> hosts_of(const Deployment& deployment);

/// Ports of the node with this index, counted over all data centres in order.
int caller_port(const Deployment& deployment, int node);
int admin_port(const Deployment& deployment, int node);
int peer_port(const Deployment& deployment, int node);
int platform_port(const Deployment& deployment);
/// Control port of the targets in the data centre with this index.
int target_control_port(const Deployment& deployment, int data_centre);
int link_control_port(const Deployment& deployment);

}  // namespace standin
