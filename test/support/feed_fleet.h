// Nodes of one data centre that relay store updates to each other over loopback, with one store.
//
// Nodes and store share one event loop. A test gives steps, each with a condition to wait for, so
// that no check depends on elapsed time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "front/store_feed.h"
#include "loopback.h"
#include "platform_store.h"

namespace ebonymount {

/// Nodes of a `FeedFleet`, and how many of them follow others.
constexpr std::size_t NODES = 6;
constexpr std::size_t FOLLOWERS = NODES - READERS_PER_DATA_CENTRE;

class FeedFleet {
public:
    /// Starts all nodes except the last `late_nodes`.
    explicit FeedFleet(std::size_t late_nodes = 0);

    struct Node {
        Member self;
        /// The store's address for this node alone.
        std::string store_address;
        Metrics metrics;
        /// Latest content received of each object, by kind and name.
        std::map<std::pair<platform::Kind, std::string>, std::string> objects;
        std::unique_ptr<StoreFeed> feed;
    };

    void add_target(const std::string& name);

    std::size_t follower_count() const;

    /// True when the expected number of nodes has followed others for a number of sweeps.
    bool is_settled() const;

    /// True when every running node has received the target.
    bool all_have_target(const std::string& target) const;

    /// Running nodes for which the latest content of an object is not `spec`.
    std::vector<std::string> nodes_without(platform::Kind kind, const std::string& name,
                                           const nlohmann::json& spec) const;

    /// Runs the loop until each condition has held in turn; false if one never did.
    bool run_steps(std::vector<TestStep> steps);

    /// Starts a node, without any state.
    void start(Node& node);

    /// Running nodes that read the store themselves.
    std::vector<Node*> readers() const;

    /// Returns a node that reads the store itself, or the first node if there is none.
    Node& reader() const;

private:
    EventLoop m_loop;

public:
    standin::PlatformStore store;
    std::vector<std::unique_ptr<Node>> nodes;
    /// Called with each sweep of the nodes; may be empty.
    std::function<void()> on_sweep;
    /// Called with each update that a node receives, before it is applied; may be empty.
    std::function<void(const Node&, const KindUpdate&)> on_update;

private:
    void sweep();

    std::vector<TestStep> m_steps;
    /// Consecutive sweeps with the expected number of followers.
    std::size_t m_settled_sweeps = 0;
};

}  // namespace ebonymount
