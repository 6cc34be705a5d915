// A small deployment in one process: platform, targets and nodes with real sockets.
//
// Tests wait for conditions with `eventually`, never for fixed times.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "fake_target.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "node/node.h"
#include "object_store.h"

namespace ebonymount_test {

/// Polls until the condition holds. Returns false at a time limit that only a hanging test reaches.
bool eventually(const std::function<bool()>& condition);

/// A response as the caller sees it. The status is 0 when there was no response.
struct CallResult {
    int status = 0;
    ebonymount::Json body;
};

/// Sizes of a test deployment.
struct ClusterSize {
    int nodes_per_data_centre = 1;
    int shards = 4;
    int unsharded_targets = 4;
    int base_port = 0;
};

class TestCluster {
public:
    explicit TestCluster(const ClusterSize& size);
    ~TestCluster();
    TestCluster(const TestCluster&) = delete;
    TestCluster& operator=(const TestCluster&) = delete;
    TestCluster(TestCluster&&) = delete;
    TestCluster& operator=(TestCluster&&) = delete;

    void start_node(std::size_t node);
    /// Stops a node gracefully, as SIGTERM does.
    void stop_node(std::size_t node);
    /// Starts all nodes and waits until each of them sees a lease holder for every target group.
    void start_all();

    CallResult query(std::size_t node, const std::string& service, const std::string& body);
    CallResult submit(std::size_t node, const std::string& service, const std::string& key,
                      const std::string& body);
    CallResult admin(std::size_t node, const std::string& method, const std::string& path,
                     const std::string& body);
    ebonymount::Json status(std::size_t node);
    bool is_ready(std::size_t node);
    /// Sets a fault of the platform's stand-in, such as `down`; 0 clears it.
    void platform_fault(const std::string& name, int value);

    standin::FakeTarget& target(const std::string& id);
    std::vector<standin::FakeTarget*> targets_of(const std::string& service);
    std::size_t node_count() const {
        return m_nodes.size();
    }
    const standin::Deployment& deployment() const {
        return m_deployment;
    }
    standin::ObjectStore& store() {
        return m_store;
    }
    /// Writes an object to the platform's store, as operators' tools do.
    void put_object(const std::string& name, const ebonymount::Json& value);
    void put_hosts(const ebonymount::Json& hosts);

private:
    bool all_groups_held();

    standin::Deployment m_deployment;
    std::string m_directory;
    standin::ObjectStore m_store;
    std::unique_ptr<ebonymount::HttpServer> m_platform;
    std::vector<std::unique_ptr<standin::FakeTarget>> m_targets;
    std::vector<std::unique_ptr<ebonymount::Node>> m_nodes;
};

}  // namespace ebonymount_test
