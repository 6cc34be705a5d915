#include "test_cluster.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "base/check.h"
#include "base/hash.h"

namespace ebonymount_test {

using ebonymount::Json;

namespace {

/// Maximum wait of `eventually`; reached only by a test that hangs.
constexpr std::chrono::seconds MAX_WAIT(60);
constexpr std::chrono::milliseconds POLL_INTERVAL(10);

const ebonymount::Duration CALL_TIMEOUT = ebonymount::from_ms(20000);

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

standin::Deployment small_deployment(const ClusterSize& size) {
    standin::Deployment deployment = standin::lathe();
    deployment.name = "test";
    deployment.base_port = size.base_port;
    deployment.nodes_per_data_centre = size.nodes_per_data_centre;
    standin::ServicePlan sharded = deployment.services.at(0);
    sharded.shards = size.shards;
    standin::ServicePlan unsharded = deployment.services.at(2);
    unsharded.targets = size.unsharded_targets;
    for (standin::ServicePlan* plan : {&sharded, &unsharded}) {
        plan->row.soft_deadline_ms = 1000;
        plan->row.hard_deadline_ms = 5000;
        plan->row.enough_coverage_permille = 1000;
        plan->row.trace_permille = 1000;
    }
    deployment.services = {sharded, unsharded};
    return deployment;
}

CallResult call_result_from(const ebonymount::HttpResponse& response) {
    if (response.stage != ebonymount::ExchangeStage::answered) {
        return {0, Json::object()};
    }
    const Json body = Json::parse(response.body, nullptr, false);
    return {response.status, body.is_discarded() ? Json(response.body) : body};
}

}  // namespace

bool eventually(const std::function<bool()>& condition) {
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + MAX_WAIT;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    return false;
}

TestCluster::TestCluster(const ClusterSize& size)
    : m_deployment(small_deployment(size)),
      m_directory((std::filesystem::temp_directory_path() /
                   ("ebonymount-test-" + std::to_string(size.base_port)))
                      .string()) {
    standin::write_files(m_deployment, m_directory);
    std::ifstream input(m_directory + "/platform.json");
    const Json platform = Json::parse(input);
    for (const auto& [name, value] : platform.at("objects").items()) {
        put_object(name, value);
    }
    put_hosts(platform.at("hosts"));
    constexpr int PLATFORM_THREADS = 64;
    ebonymount::Result<std::unique_ptr<ebonymount::HttpServer>> server =
        ebonymount::HttpServer::start(
            {loopback(standin::platform_port(m_deployment)), PLATFORM_THREADS},
            [this](const ebonymount::HandlerRequest& call) { return m_store.handle(call); });
    internal_check(ebonymount::has_value(server))
        << ebonymount::describe(ebonymount::error_of(server));
    m_platform = std::move(std::get<std::unique_ptr<ebonymount::HttpServer>>(server));
    for (const standin::PlannedTarget& planned : standin::targets_of(m_deployment)) {
        m_targets.push_back(std::make_unique<standin::FakeTarget>(
            planned.parameters, true, ebonymount::stable_hash(planned.parameters.id)));
    }
    m_nodes.resize(standin::hosts_of(m_deployment).size());
}

TestCluster::~TestCluster() {
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_nodes[node].reset();
    }
    m_targets.clear();
    m_platform.reset();
    std::filesystem::remove_all(m_directory);
}

void TestCluster::start_node(std::size_t node) {
    const std::string host = standin::hosts_of(m_deployment).at(node);
    const ebonymount::Result<ebonymount::NodeSettings> read =
        ebonymount::read_settings(m_directory + "/node-" + host + ".json");
    internal_check(ebonymount::has_value(read)) << ebonymount::describe(ebonymount::error_of(read));
    ebonymount::NodeSettings settings = ebonymount::value_of(read);
    // The deployment's routes lead through simulated links; without them nodes connect directly.
    settings.peer_routes.clear();
    settings.lease_duration = ebonymount::from_ms(2000);
    settings.gossip_interval = ebonymount::from_ms(100);
    settings.drain = ebonymount::from_ms(50);
    settings.watch_wait = ebonymount::from_ms(100);
    settings.host_list_interval = ebonymount::from_ms(200);
    ebonymount::Result<std::unique_ptr<ebonymount::Node>> started =
        ebonymount::Node::start(settings);
    internal_check(ebonymount::has_value(started))
        << ebonymount::describe(ebonymount::error_of(started));
    m_nodes.at(node) = std::move(std::get<std::unique_ptr<ebonymount::Node>>(started));
}

void TestCluster::stop_node(std::size_t node) {
    m_nodes.at(node)->stop_gracefully();
    m_nodes.at(node).reset();
}

void TestCluster::start_all() {
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        start_node(node);
    }
    internal_check(eventually([this] { return all_groups_held(); }))
        << "not every target group got a lease holder in time";
}

bool TestCluster::all_groups_held() {
    const std::size_t group_count = m_deployment.data_centres.size() *
                                    static_cast<std::size_t>(m_deployment.nodes_per_data_centre);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node] == nullptr) {
            continue;
        }
        const Json records = status(node).value("seats", Json::object());
        std::size_t held = 0;
        for (const auto& [group, record] : records.items()) {
            held += !record.value("released", true) && !record.value("holder", "").empty() ? 1 : 0;
        }
        if (held < group_count) {
            return false;
        }
    }
    return true;
}

CallResult TestCluster::query(std::size_t node, const std::string& service,
                              const std::string& body) {
    const std::string address =
        loopback(standin::caller_port(m_deployment, static_cast<int>(node)));
    return call_result_from(ebonymount::exchange_once(
        address, {"POST", "/v1/services/" + service + "/query", {}, body}, CALL_TIMEOUT));
}

CallResult TestCluster::submit(std::size_t node, const std::string& service, const std::string& key,
                               const std::string& body) {
    const std::string address =
        loopback(standin::caller_port(m_deployment, static_cast<int>(node)));
    return call_result_from(ebonymount::exchange_once(
        address, {"POST", "/v1/services/" + service + "/submit", {{"Idempotency-Key", key}}, body},
        CALL_TIMEOUT));
}

CallResult TestCluster::admin(std::size_t node, const std::string& method, const std::string& path,
                              const std::string& body) {
    const std::string address = loopback(standin::admin_port(m_deployment, static_cast<int>(node)));
    return call_result_from(
        ebonymount::exchange_once(address, {method, "/admin/v1" + path, {}, body}, CALL_TIMEOUT));
}

Json TestCluster::status(std::size_t node) {
    return admin(node, "GET", "/status", "").body;
}

bool TestCluster::is_ready(std::size_t node) {
    const std::string address =
        loopback(standin::caller_port(m_deployment, static_cast<int>(node)));
    const ebonymount::HttpResponse response =
        ebonymount::exchange_once(address, {"GET", "/ready", {}, ""}, CALL_TIMEOUT);
    return response.status == 200;
}

void TestCluster::platform_fault(const std::string& name, int value) {
    ebonymount::HandlerRequest call;
    call.method = "POST";
    call.path = "/fault";
    call.query[name] = std::to_string(value);
    m_store.handle(call);
}

standin::FakeTarget& TestCluster::target(const std::string& id) {
    for (const std::unique_ptr<standin::FakeTarget>& target : m_targets) {
        if (target->parameters().id == id) {
            return *target;
        }
    }
    throw ebonymount::InternalFault("no target has the id " + id);
}

std::vector<standin::FakeTarget*> TestCluster::targets_of(const std::string& service) {
    std::vector<standin::FakeTarget*> found;
    for (const std::unique_ptr<standin::FakeTarget>& target : m_targets) {
        if (target->parameters().id.rfind(service + "-", 0) == 0) {
            found.push_back(target.get());
        }
    }
    return found;
}

void TestCluster::put_object(const std::string& name, const Json& value) {
    ebonymount::HandlerRequest call;
    call.method = "PUT";
    call.path = "/objects";
    call.query["name"] = name;
    call.body = value.dump();
    m_store.handle(call);
}

void TestCluster::put_hosts(const Json& hosts) {
    ebonymount::HandlerRequest call;
    call.method = "PUT";
    call.path = "/hosts";
    call.body = hosts.dump();
    m_store.handle(call);
}

}  // namespace ebonymount_test
