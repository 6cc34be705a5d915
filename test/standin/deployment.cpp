#include "deployment.h"

#include <filesystem>
#include <fstream>

#include "io/documents.h"

namespace standin {

using ebonymount::Json;

namespace {

/// Offsets from the base port.
constexpr int PLATFORM_PORT_OFFSET = 8500;
constexpr int LINK_CONTROL_PORT_OFFSET = 8501;
constexpr int TARGET_CONTROL_PORT_OFFSET = 8510;
constexpr int FIRST_LINK_PORT_OFFSET = 2000;
constexpr int FIRST_TARGET_PORT_OFFSET = 1000;

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

void write_json(const std::string& directory, const std::string& file, const Json& document) {
    std::ofstream output(std::filesystem::path(directory) / file);
    output << document.dump(2) << "\n";
}

ServicePlan sharded(const std::string& name, int shards, int slots, int connections) {
    ServicePlan plan;
    plan.name = name;
    plan.shards = shards;
    plan.slots = slots;
    plan.connections = connections;
    plan.row.service = name;
    plan.row.slots = slots;
    plan.row.connections = connections;
    plan.row.cold_rate_per_s = 40;
    plan.row.ramp_successes = 30;
    return plan;
}

ServicePlan unsharded(const std::string& name, int targets, int slots, int connections) {
    ServicePlan plan = sharded(name, 0, slots, connections);
    plan.targets = targets;
    plan.open_ms = 1;
    plan.service_ms = 3.0;
    return plan;
}

void favour_latency(ServicePlan& plan) {
    plan.row.soft_deadline_ms = 45;
    plan.row.hard_deadline_ms = 250;
    plan.row.enough_coverage_permille = 900;
    plan.row.reasons["soft_deadline_ms"] = "judging on the floor from a late browse";
}

void favour_coverage(ServicePlan& plan) {
    plan.row.soft_deadline_ms = 400;
    plan.row.hard_deadline_ms = 1000;
    plan.row.enough_coverage_permille = 1000;
    plan.row.reasons["enough_coverage_permille"] =
        "holders from a fine paid twice over a missing record";
}

int node_count(const Deployment& deployment) {
    return static_cast<int>(deployment.data_centres.size()) * deployment.nodes_per_data_centre;
}

/// One-way delay between two different data centres. The sum of their indices minus 1 is the
/// position in `delays_ms`.
double delay_ms_between(const Deployment& deployment, int left, int right) {
    const int sum = left + right;
    return deployment.delays_ms.at(static_cast<std::size_t>(sum - 1));
}

/// Settings of a node. Appends a link to each node of another data centre and advances `link_port`.
Json node_settings(const Deployment& deployment, int node, int& link_port, Json& links) {
    const std::vector<std::string> hosts = hosts_of(deployment);
    const int own_data_centre = node / deployment.nodes_per_data_centre;
    Json settings = {
        {"host", hosts.at(static_cast<std::size_t>(node))},
        {"data_centre", deployment.data_centres.at(static_cast<std::size_t>(own_data_centre))},
        {"caller_address", loopback(caller_port(deployment, node))},
        {"admin_address", loopback(admin_port(deployment, node))},
        {"peer_address", loopback(peer_port(deployment, node))},
        {"platform_address", loopback(platform_port(deployment))},
        {"peer_routes", Json::object()}};
    for (int other = 0; other < node_count(deployment); ++other) {
        const int other_data_centre = other / deployment.nodes_per_data_centre;
        if (other_data_centre == own_data_centre || !deployment.has_links) {
            continue;
        }
        const std::string& host = hosts.at(static_cast<std::size_t>(other));
        links.push_back(
            {{"name", settings["host"].get<std::string>() + ">" + host},
             {"listen", loopback(link_port)},
             {"forward", loopback(peer_port(deployment, other))},
             {"delay_ms", delay_ms_between(deployment, own_data_centre, other_data_centre)},
             {"jitter_ms", 0.5}});
        settings["peer_routes"][host] = loopback(link_port);
        ++link_port;
    }
    return settings;
}

Json hosts_document(const Deployment& deployment) {
    Json hosts = Json::array();
    const std::vector<std::string> names = hosts_of(deployment);
    for (int node = 0; node < node_count(deployment); ++node) {
        const std::size_t own_data_centre =
            static_cast<std::size_t>(node / deployment.nodes_per_data_centre);
        hosts.push_back({{"host", names.at(static_cast<std::size_t>(node))},
                         {"data_centre", deployment.data_centres.at(own_data_centre)},
                         {"address", loopback(peer_port(deployment, node))}});
    }
    return {{"hosts", hosts}};
}

Json parameters_document(const PlannedTarget& target) {
    return {{"id", target.parameters.id},
            {"address", target.parameters.address},
            {"slots", target.parameters.slots},
            {"connections", target.parameters.connections},
            {"open_ms", target.parameters.open_ms},
            {"service_ms", target.parameters.service_ms},
            {"snapshots", target.parameters.snapshots}};
}

/// Port of the first target of a service; services have consecutive ranges of ports.
int first_port_of(const Deployment& deployment, const std::string& service) {
    int port = deployment.base_port + FIRST_TARGET_PORT_OFFSET;
    for (const ServicePlan& plan : deployment.services) {
        if (plan.name == service) {
            break;
        }
        port += plan.shards * static_cast<int>(deployment.data_centres.size()) + plan.targets;
    }
    return port;
}

}  // namespace

Deployment lathe() {
    Deployment deployment;
    deployment.name = "lathe";
    deployment.data_centres = {"east", "north", "west"};
    deployment.delays_ms = {4.0, 8.0, 8.0};
    deployment.services = {sharded("catalogue", 10, 2, 25), sharded("members", 15, 2, 25),
                           unsharded("booking", 20, 2, 100), unsharded("awards", 10, 2, 100)};
    for (ServicePlan& plan : deployment.services) {
        favour_latency(plan);
    }
    return deployment;
}

Deployment quiosques() {
    Deployment deployment;
    deployment.name = "quiosques";
    deployment.data_centres = {"parana", "catarina", "sul"};
    deployment.delays_ms = {3.0, 8.0, 8.0};
    deployment.services = {sharded("portal", 10, 3, 30), sharded("notices", 15, 3, 30),
                           unsharded("member-app", 15, 4, 45),
                           unsharded("reconciliation", 7, 4, 45)};
    for (ServicePlan& plan : deployment.services) {
        favour_coverage(plan);
    }
    return deployment;
}

ebonymount::Placement placement_of(const Deployment& deployment, const ServicePlan& service,
                                   int first_port) {
    ebonymount::Placement placement;
    placement.service = service.name;
    placement.version = 1;
    ebonymount::Snapshot snapshot;
    snapshot.id = deployment.first_snapshot;
    int port = first_port;
    const auto add_target = [&](const std::string& id, std::size_t data_centre) {
        const std::string& name = deployment.data_centres.at(data_centre);
        placement.targets.push_back(
            {id, name, name + "-targets-" + service.name, loopback(port++), false});
    };
    for (int number = 0; number < service.shards; ++number) {
        ebonymount::Shard shard;
        shard.id = "s" + std::to_string(number);
        // Unequal sizes, so that coverage by documents differs from coverage by shards.
        shard.documents = 1000 + 100 * number;
        shard.digest = digest_of(snapshot.id, shard.id);
        for (std::size_t replica = 0; replica < deployment.data_centres.size(); ++replica) {
            const std::string id = service.name + "-" + std::to_string(number) + "-" +
                                   deployment.data_centres[replica];
            add_target(id, replica);
            shard.replicas.push_back(id);
        }
        snapshot.shards.push_back(shard);
    }
    if (service.shards == 0) {
        ebonymount::Shard shard;
        shard.id = "all";
        shard.digest = digest_of(snapshot.id, shard.id);
        for (int number = 0; number < service.targets; ++number) {
            const std::string id = service.name + "-" + std::to_string(number);
            add_target(id, static_cast<std::size_t>(number) % deployment.data_centres.size());
            shard.replicas.push_back(id);
        }
        snapshot.shards.push_back(shard);
    }
    placement.snapshots.push_back(snapshot);
    return placement;
}

std::vector<PlannedTarget> targets_of(const Deployment& deployment) {
    std::vector<PlannedTarget> targets;
    for (const ServicePlan& service : deployment.services) {
        const ebonymount::Placement placement =
            placement_of(deployment, service, first_port_of(deployment, service.name));
        for (const ebonymount::Target& target : placement.targets) {
            PlannedTarget planned;
            planned.service = service.name;
            planned.data_centre = target.data_centre;
            planned.parameters.id = target.id;
            planned.parameters.address = target.address;
            planned.parameters.slots = service.slots;
            planned.parameters.connections = service.connections;
            planned.parameters.open_ms = service.open_ms;
            planned.parameters.service_ms = service.service_ms;
            planned.parameters.snapshots = {deployment.first_snapshot};
            targets.push_back(planned);
        }
    }
    return targets;
}

ebonymount::Configuration configuration_of(const Deployment& deployment) {
    ebonymount::Configuration configuration;
    configuration.generation = 1;
    configuration.groups_per_data_centre = deployment.nodes_per_data_centre;
    for (const ServicePlan& service : deployment.services) {
        configuration.rows.push_back(service.row);
    }
    return configuration;
}

void write_files(const Deployment& deployment, const std::string& directory) {
    std::filesystem::create_directories(directory);
    int link_port = deployment.base_port + FIRST_LINK_PORT_OFFSET;
    Json links = Json::array();
    const std::vector<std::string> hosts = hosts_of(deployment);
    for (int node = 0; node < node_count(deployment); ++node) {
        write_json(directory, "node-" + hosts.at(static_cast<std::size_t>(node)) + ".json",
                   node_settings(deployment, node, link_port, links));
    }
    write_json(directory, "links.json",
               {{"control", loopback(link_control_port(deployment))}, {"links", links}});
    for (std::size_t index = 0; index < deployment.data_centres.size(); ++index) {
        Json targets = Json::array();
        for (const PlannedTarget& target : targets_of(deployment)) {
            if (target.data_centre == deployment.data_centres[index]) {
                targets.push_back(parameters_document(target));
            }
        }
        write_json(directory, "targets-" + deployment.data_centres[index] + ".json",
                   {{"control", loopback(target_control_port(deployment, static_cast<int>(index)))},
                    {"targets", targets}});
    }
    Json objects = {{"config/table", ebonymount::to_document(configuration_of(deployment))}};
    for (const ServicePlan& service : deployment.services) {
        objects["config/placement/" + service.name] = ebonymount::to_document(
            placement_of(deployment, service, first_port_of(deployment, service.name)));
    }
    write_json(directory, "platform.json",
               {{"address", loopback(platform_port(deployment))},
                {"hosts", hosts_document(deployment)},
                {"objects", objects}});
}

std::vector<std::string> hosts_of(const Deployment& deployment) {
    std::vector<std::string> hosts;
    for (const std::string& data_centre : deployment.data_centres) {
        for (int number = 1; number <= deployment.nodes_per_data_centre; ++number) {
            hosts.push_back(data_centre + "-" + std::to_string(number));
        }
    }
    return hosts;
}

int caller_port(const Deployment& deployment, int node) {
    return deployment.base_port + 10 * node + 1;
}

int admin_port(const Deployment& deployment, int node) {
    return deployment.base_port + 10 * node + 2;
}

int peer_port(const Deployment& deployment, int node) {
    return deployment.base_port + 10 * node + 3;
}

int platform_port(const Deployment& deployment) {
    return deployment.base_port + PLATFORM_PORT_OFFSET;
}

int target_control_port(const Deployment& deployment, int data_centre) {
    return deployment.base_port + TARGET_CONTROL_PORT_OFFSET + data_centre;
}

int link_control_port(const Deployment& deployment) {
    return deployment.base_port + LINK_CONTROL_PORT_OFFSET;
}

}  // namespace standin
