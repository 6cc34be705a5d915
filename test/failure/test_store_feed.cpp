// Nodes of one data centre that relay store updates to each other over loopback. Each case runs
// until a condition holds; no check depends on elapsed time.
#include <catch2/catch.hpp>

#include <set>

#include "front/store_feed.h"
#include "loopback.h"
#include "platform/names.h"
#include "platform_store.h"

namespace ebonymount {
namespace {

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(30000);

constexpr std::size_t NODES = 6;
constexpr std::size_t FOLLOWERS = NODES - READERS_PER_DATA_CENTRE;

/// Nodes with one store, all on one event loop.
class FeedFleet {
public:
    /// Starts all nodes except the last `late_nodes`.
    explicit FeedFleet(std::size_t late_nodes = 0)
        : m_loop(LoopThread::caller), store(m_loop, "127.0.0.1:0", 1) {
        for (const char* kind : {platform::names::CONFIG_KIND, platform::names::EVACUATIONS_KIND,
                                 platform::names::QUARANTINE_KIND}) {
            store.put(kind, "any", nlohmann::json::object());
        }
        add_target("t0");
        for (std::size_t i = 0; i < NODES; ++i) {
            nodes.push_back(std::make_unique<Node>());
            nodes.back()->self = {"node-" + std::to_string(i), "east", free_address()};
            const nlohmann::json registration = {{"data_centre", "east"},
                                                 {"address", nodes.back()->self.address}};
            store.put(platform::names::NODES_KIND, nodes.back()->self.node, registration);
        }
        for (std::size_t i = 0; i < NODES - late_nodes; ++i) {
            start(*nodes[i]);
        }
        m_loop.run_at(monotonic_now() + HANG_LIMIT, [this] { m_loop.stop(); });
        sweep();
    }

    struct Node {
        Member self;
        Metrics metrics;
        std::set<std::string> targets;
        std::unique_ptr<StoreFeed> feed;
    };

    void add_target(const std::string& name) {
        store.put(platform::names::TARGETS_KIND, name, {{"service", "s"}});
    }

    std::size_t follower_count() const {
        std::size_t count = 0;
        for (const std::unique_ptr<Node>& node : nodes) {
            count += node->feed != nullptr && node->feed->is_following() ? 1 : 0;
        }
        return count;
    }

    /// True when every running node has received the target.
    bool all_have_target(const std::string& target) const {
        for (const std::unique_ptr<Node>& node : nodes) {
            if (node->feed != nullptr && node->targets.count(target) == 0) {
                return false;
            }
        }
        return true;
    }

    /// Runs the loop until each condition has held in turn; false if one never did.
    bool run_steps(std::vector<TestStep> steps) {
        m_steps = std::move(steps);
        m_loop.run();
        return m_steps.empty();
    }

    void start(Node& node) {
        StoreFeedOptions options;
        options.self = node.self;
        options.store_address = store.address();
        options.initial_peers = {"127.0.0.1:1", nodes.front()->self.address};
        options.config_apply = from_ms(1000);
        options.stable_window = from_ms(1500);
        node.feed = std::make_unique<StoreFeed>(
            m_loop, node.metrics, options, [&node](const KindUpdate& update) {
                for (const platform::StoredObject& object : update.objects) {
                    if (update.kind == platform::Kind::targets) {
                        node.targets.insert(object.name);
                    }
                }
            });
    }

    /// Returns a node that reads the store itself, or the first node if there is none.
    Node& reader() {
        for (const std::unique_ptr<Node>& node : nodes) {
            if (node->feed != nullptr && !node->feed->is_following()) {
                return *node;
            }
        }
        return *nodes.front();
    }

private:
    EventLoop m_loop;

public:
    standin::PlatformStore store;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    void sweep() {
        for (const std::unique_ptr<Node>& node : nodes) {
            if (node->feed != nullptr) {
                node->feed->sweep(monotonic_now());
            }
        }
        if (advance_steps(m_steps)) {
            m_loop.stop();
            return;
        }
        m_loop.run_at(monotonic_now() + from_ms(20), [this] { sweep(); });
    }

    std::vector<TestStep> m_steps;
};

}  // namespace

TEST_CASE("two nodes read the store, and all nodes receive a change") {
    FeedFleet fleet;
    CHECK(fleet.run_steps(
        {{[&fleet] { return fleet.follower_count() == FOLLOWERS && fleet.all_have_target("t0"); },
          [&fleet] {
              fleet.add_target("t1");
          }},
         {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

TEST_CASE("followers of a reader that ends still receive changes") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                fleet.reader().feed.reset();
                                fleet.add_target("t1");
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

TEST_CASE("after an outage of the store all nodes receive changes and follow again") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                standin::PlatformFaults faults;
                                faults.outage = standin::Outage::reset;
                                fleet.store.set_faults(faults);
                            }},
                           // No node follows a reader whose data is too old.
                           {[&fleet] { return fleet.follower_count() == 0; },
                            [&fleet] {
                                fleet.store.set_faults(standin::PlatformFaults{});
                                fleet.add_target("t1");
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr},
                           {[&fleet] { return fleet.follower_count() == FOLLOWERS; }, nullptr}}));
}

TEST_CASE("a node that starts while the store is unavailable receives other nodes' state") {
    FeedFleet fleet(1);
    CHECK(fleet.run_steps({{[&fleet] { return fleet.all_have_target("t0"); },
                            [&fleet] {
                                standin::PlatformFaults faults;
                                faults.outage = standin::Outage::reset;
                                fleet.store.set_faults(faults);
                                fleet.start(*fleet.nodes.back());
                            }},
                           {[&fleet] { return fleet.all_have_target("t0"); }, nullptr}}));
}

TEST_CASE("no change is lost when the store's history is gone") {
    FeedFleet fleet;
    CHECK(fleet.run_steps({{[&fleet] { return fleet.follower_count() == FOLLOWERS; },
                            [&fleet] {
                                fleet.add_target("t1");
                                fleet.store.compact();
                            }},
                           {[&fleet] { return fleet.all_have_target("t1"); }, nullptr}}));
}

}  // namespace ebonymount
