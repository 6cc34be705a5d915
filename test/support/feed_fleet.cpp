#include "feed_fleet.h"

#include <algorithm>

#include "platform/names.h"

namespace ebonymount {
namespace {

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(30000);

/// Just after nodes have begun to follow, the readers' first watches may still be longer than the
/// age at which followers leave.
constexpr std::size_t SETTLED_SWEEPS = 50;

}  // namespace

FeedFleet::FeedFleet(std::size_t late_nodes)
    : m_loop(LoopThread::caller), store(m_loop, "127.0.0.1:0", 1) {
    for (const char* kind : {platform::names::CONFIG_KIND, platform::names::EVACUATIONS_KIND,
                             platform::names::QUARANTINE_KIND}) {
        store.put(kind, "any", nlohmann::json::object());
    }
    add_target("t0");
    for (std::size_t i = 0; i < NODES; ++i) {
        nodes.push_back(std::make_unique<Node>());
        nodes.back()->self = {"node-" + std::to_string(i), "east", free_address()};
        nodes.back()->store_address = store.open_address();
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

void FeedFleet::add_target(const std::string& name) {
    store.put(platform::names::TARGETS_KIND, name, {{"service", "s"}});
}

std::size_t FeedFleet::follower_count() const {
    std::size_t count = 0;
    for (const std::unique_ptr<Node>& node : nodes) {
        count += node->feed != nullptr && node->feed->is_following() ? 1 : 0;
    }
    return count;
}

bool FeedFleet::is_settled() const {
    return m_settled_sweeps >= SETTLED_SWEEPS;
}

bool FeedFleet::all_have_target(const std::string& target) const {
    return std::all_of(nodes.begin(), nodes.end(), [&target](const std::unique_ptr<Node>& node) {
        return node->feed == nullptr || node->objects.count({platform::Kind::targets, target}) > 0;
    });
}

std::vector<std::string> FeedFleet::nodes_without(platform::Kind kind, const std::string& name,
                                                  const nlohmann::json& spec) const {
    std::vector<std::string> without;
    for (const std::unique_ptr<Node>& node : nodes) {
        const auto found = node->objects.find({kind, name});
        const bool has_spec =
            found != node->objects.end() && nlohmann::json::parse(found->second) == spec;
        if (node->feed != nullptr && !has_spec) {
            without.push_back(node->self.node);
        }
    }
    return without;
}

bool FeedFleet::run_steps(std::vector<TestStep> steps) {
    m_steps = std::move(steps);
    m_loop.run();
    return m_steps.empty();
}

void FeedFleet::start(Node& node) {
    node.objects.clear();
    m_settled_sweeps = 0;
    StoreFeedOptions options;
    options.self = node.self;
    options.store_address = node.store_address;
    options.initial_peers = {"127.0.0.1:1", nodes.front()->self.address};
    options.config_apply = from_ms(1000);
    options.stable_window = from_ms(1500);
    node.feed = std::make_unique<StoreFeed>(
        m_loop, node.metrics, options, [this, &node](const KindUpdate& update) {
            if (on_update) {
                on_update(node, update);
            }
            if (update.is_list) {
                std::erase_if(node.objects, [&update](const auto& known) {
                    return known.first.first == update.kind;
                });
            }
            for (const platform::StoredObject& object : update.objects) {
                if (object.removed) {
                    node.objects.erase({update.kind, object.name});
                } else {
                    node.objects[{update.kind, object.name}] = object.spec;
                }
            }
        });
}

std::vector<FeedFleet::Node*> FeedFleet::readers() const {
    std::vector<Node*> found;
    for (const std::unique_ptr<Node>& node : nodes) {
        if (node->feed != nullptr && !node->feed->is_following()) {
            found.push_back(node.get());
        }
    }
    return found;
}

FeedFleet::Node& FeedFleet::reader() const {
    const std::vector<Node*> found = readers();
    return found.empty() ? *nodes.front() : *found.front();
}

void FeedFleet::sweep() {
    for (const std::unique_ptr<Node>& node : nodes) {
        if (node->feed != nullptr) {
            node->feed->sweep(monotonic_now());
        }
    }
    m_settled_sweeps = follower_count() == FOLLOWERS ? m_settled_sweeps + 1 : 0;
    if (on_sweep) {
        on_sweep();
    }
    if (advance_steps(m_steps)) {
        m_loop.stop();
        return;
    }
    m_loop.run_at(monotonic_now() + from_ms(20), [this] { sweep(); });
}

}  // namespace ebonymount
