// Load on the platform's store by fleets of 6 to 1,000 nodes, in virtual time without network.
//
// While the store is in trouble, each follower's updates become old at the same moment. The test
// guards against a thundering herd: the calls must grow with the data centres, not with the nodes,
// and a change must still be in force everywhere in time.
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <set>

#include "policy/store_source.h"

namespace ebonymount {
namespace {

constexpr Duration TICK = from_ms(100);

/// Pause between two calls for the list of nodes.
constexpr Duration LIST_PAUSE = from_ms(600);
constexpr Duration CONFIG_APPLY = from_ms(6000);
constexpr Duration STABLE_WINDOW = from_ms(6000);

/// Nodes of `READERS_PER_DATA_CENTRE` and those that may take over reading for them.
constexpr std::size_t READING_NODES = 8;

struct ModelNode {
    Member self;
    StoreSource source;
    std::optional<ReaderLink> upstream;
    std::optional<ReaderLink> candidate;
    Time own_contact{};
    bool has_state = false;
    bool running = true;
    bool cut_from_store = false;
    /// The node reads the list of nodes itself while it does not know the others; a node that
    /// follows another one has stopped to.
    bool lists_nodes = false;
    Time next_list_call{};
    Random random{1};
};

/// All nodes of a fleet, with a store that answers at once or not at all.
class ModelFleet {
public:
    ModelFleet(std::size_t data_centres, std::size_t nodes_per_data_centre) {
        for (std::size_t dc = 0; dc < data_centres; ++dc) {
            for (std::size_t i = 0; i < nodes_per_data_centre; ++i) {
                const std::string name = std::to_string(dc) + "-" + std::to_string(i);
                nodes.push_back({});
                nodes.back().self = {"node-" + name, "dc-" + std::to_string(dc), "peer-" + name};
                m_members.push_back(nodes.back().self);
            }
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            restart(nodes[i], i);
        }
        for (std::size_t i = 0; i < std::min<std::size_t>(3, nodes.size()); ++i) {
            m_initial_peers.push_back(
                nodes[i * (nodes.size() / 3 + 1) % nodes.size()].self.address);
        }
    }

    /// Starts a node, without any state, which knows the registered nodes at once.
    void restart(ModelNode& node, std::size_t seed) {
        node.source = StoreSource{};
        node.upstream.reset();
        node.candidate.reset();
        node.own_contact = Time{};
        node.has_state = false;
        node.running = true;
        node.random = Random(seed);
        set_members(node.source, node.self, m_members, now);
    }

    /// Starts a node, without any state, which knows a few addresses only.
    void restart_without_members(ModelNode& node, std::size_t seed) {
        restart(node, seed);
        node.source = StoreSource{};
        node.source.waits_until = now + from_ms(700);
        node.lists_nodes = true;
        node.next_list_call = now;
    }

    void run_for(Duration duration) {
        for (const Time end = now + duration; now < end; now += TICK) {
            for (ModelNode& node : nodes) {
                if (node.running) {
                    advance(node);
                }
            }
        }
    }

    std::size_t count(const std::function<bool(const ModelNode&)>& has_property) const {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), has_property));
    }

    std::size_t reading() const {
        return count([](const ModelNode& node) { return node.running && node.source.reading; });
    }

    /// True if each running node's state is at most that old.
    bool all_newer_than(Duration age) const {
        return count([this, age](const ModelNode& node) {
                   return node.running && now - node.source.last_contact > age;
               }) == 0;
    }

    Time now = Time(from_ms(1000000));
    bool store_is_up = true;
    /// Share of the calls whose answer is lost.
    double lost_share = 0.0;
    std::vector<ModelNode> nodes;
    std::size_t probes = 0;
    /// Times that a node began to read the store itself; each costs a call for each kind.
    std::size_t reading_starts = 0;
    /// Calls for the list of nodes by nodes that do not know the others.
    std::size_t list_calls = 0;

private:
    ModelNode* find(const std::string& name) {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [&name](const ModelNode& node) {
            return node.self.node == name || node.self.address == name;
        });
        return found == nodes.end() ? nullptr : &*found;
    }

    void receive(std::optional<ReaderLink>& link, ModelNode& receiver) {
        if (!link.has_value()) {
            return;
        }
        const ModelNode* sender = find(link->reader.node);
        if (sender == nullptr || !sender->running) {
            link->ended = true;
            return;
        }
        link->last_message = now;
        link->as_of = std::max(link->as_of.value_or(Time{}), sender->source.last_contact);
        receiver.has_state = receiver.has_state || sender->has_state;
        if (sender->has_state && !receiver.source.members_known) {
            set_members(receiver.source, receiver.self, m_members, now);
        }
    }

    void advance(ModelNode& node) {
        const bool is_lost = lost_share > 0.0 && uniform(node.random) < lost_share;
        const bool reaches_store = store_is_up && !node.cut_from_store && !is_lost;
        if (node.source.reading && reaches_store) {
            node.own_contact = now;
            node.has_state = true;
        }
        if (node.lists_nodes && !node.source.members_known && now >= node.next_list_call) {
            ++list_calls;
            node.next_list_call = now + LIST_PAUSE;
            if (reaches_store) {
                set_members(node.source, node.self, m_members, now);
            }
        }
        receive(node.upstream, node);
        receive(node.candidate, node);
        const SourceInputs inputs = {node.self,
                                     m_initial_peers,
                                     m_timing,
                                     node.upstream.has_value() ? &*node.upstream : nullptr,
                                     node.candidate.has_value() ? &*node.candidate : nullptr,
                                     node.source.reading ? node.own_contact : Time{},
                                     node.source.reading && !reaches_store,
                                     node.has_state,
                                     now};
        for (const SourceAction& action : decide(node.source, inputs, node.random)) {
            if (const OpenCandidate* open = std::get_if<OpenCandidate>(&action)) {
                node.candidate = ReaderLink{open->reader, now, std::nullopt, std::nullopt, false};
            } else if (std::holds_alternative<DropCandidate>(action)) {
                node.candidate.reset();
            } else if (std::holds_alternative<DropUpstream>(action)) {
                node.upstream.reset();
            } else if (std::holds_alternative<FollowCandidate>(action)) {
                node.upstream = node.candidate;
                node.candidate.reset();
                node.lists_nodes = node.lists_nodes && node.source.reading;
            } else if (std::holds_alternative<ProbeStore>(action)) {
                ++probes;
                on_probe_result(node.source, reaches_store, now);
            } else if (std::holds_alternative<StartReading>(action)) {
                ++reading_starts;
            }
        }
    }

    std::vector<Member> m_members;
    std::vector<std::string> m_initial_peers;
    StoreReadTiming m_timing = store_read_timing(CONFIG_APPLY, STABLE_WINDOW);
};

struct FleetSize {
    std::size_t data_centres;
    std::size_t nodes_per_data_centre;
};

const std::vector<FleetSize> SIZES = {{3, 2}, {6, 10}, {6, 49}, {13, 77}};

std::size_t steady_readers(const FleetSize& size) {
    return size.data_centres * std::min(size.nodes_per_data_centre, READERS_PER_DATA_CENTRE);
}

}  // namespace

TEST_CASE("at the start of all nodes only the readers read the store") {
    for (const FleetSize& size : SIZES) {
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        CHECK(fleet.reading_starts == steady_readers(size));
        CHECK(fleet.probes == 0);
        CHECK(fleet.all_newer_than(from_ms(300)));
    }
}

TEST_CASE("calls to a store that is down grow with data centres, not with nodes") {
    for (const FleetSize& size : SIZES) {
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        fleet.reading_starts = 0;
        fleet.store_is_up = false;
        constexpr std::int64_t OUTAGE_S = 20;
        fleet.run_for(from_ms(OUTAGE_S * 1000));
        CHECK(fleet.reading_starts == 0);
        CHECK(fleet.reading() == steady_readers(size));
        // A second has one probe of the many, and each of the few probes at most each half second
        // and four times on average before its pause is at the maximum.
        CHECK(fleet.probes <= size.data_centres * (2 * OUTAGE_S + READING_NODES * 8));
        fleet.store_is_up = true;
        fleet.run_for(from_ms(1000));
        CHECK(fleet.all_newer_than(from_ms(300)));
        fleet.run_for(from_ms(10000));
        CHECK(fleet.reading() == steady_readers(size));
        CHECK(fleet.reading_starts <= size.data_centres * READING_NODES);
    }
}

TEST_CASE("followers of readers that cannot reach the store get changes in time") {
    for (const FleetSize& size : SIZES) {
        if (size.nodes_per_data_centre < READING_NODES) {
            continue;
        }
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = node.source.reading;
        }
        fleet.run_for(CONFIG_APPLY);
        const auto too_old = [&fleet](const ModelNode& node) {
            return !node.cut_from_store && fleet.now - node.source.last_contact > CONFIG_APPLY / 2;
        };
        CHECK(fleet.count(too_old) == 0);
        CHECK(fleet.reading() <= size.data_centres * READING_NODES);
        for (int second = 0; second < 20; ++second) {
            fleet.run_for(from_ms(1000));
            CHECK(fleet.count(too_old) == 0);
        }
    }
}

TEST_CASE("a store that turns away a third of the nodes is read by few, and all get changes") {
    for (const FleetSize& size : SIZES) {
        if (size.nodes_per_data_centre < READING_NODES) {
            continue;
        }
        INFO("nodes per data centre: " << size.nodes_per_data_centre);
        ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
        fleet.run_for(from_ms(5000));
        Random random(7);
        for (ModelNode& node : fleet.nodes) {
            node.cut_from_store = uniform(random) < 0.33;
        }
        fleet.run_for(CONFIG_APPLY);
        CHECK(fleet.all_newer_than(CONFIG_APPLY / 2));
        CHECK(fleet.reading() <= size.data_centres * READING_NODES);
        CHECK(fleet.probes <= size.data_centres * READING_NODES * 2);
    }
}

TEST_CASE("when all nodes are killed at once few read, and all have their state soon") {
    for (const bool store_is_up : {true, false}) {
        for (const FleetSize& size : SIZES) {
            INFO("nodes per data centre: " << size.nodes_per_data_centre);
            ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
            fleet.run_for(from_ms(5000));
            fleet.reading_starts = 0;
            fleet.store_is_up = store_is_up;
            Random random(3);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                fleet.restart(fleet.nodes[i], i);
            }
            fleet.run_for(from_ms(10000));
            fleet.store_is_up = true;
            fleet.run_for(from_ms(1500));
            CHECK(fleet.all_newer_than(from_ms(300)));
            fleet.run_for(from_ms(10000));
            CHECK(fleet.reading() == steady_readers(size));
            CHECK(fleet.reading_starts <= size.data_centres * READING_NODES);
        }
    }
}

/// What the store does to nodes that start.
enum class StoreTrouble : std::uint8_t { down, loses_answers, turns_some_away };

void set_trouble(ModelFleet& fleet, StoreTrouble trouble, Random& random) {
    fleet.store_is_up = trouble != StoreTrouble::down;
    fleet.lost_share = trouble == StoreTrouble::loses_answers ? 0.8 : 0.0;
    for (ModelNode& node : fleet.nodes) {
        node.cut_from_store = trouble == StoreTrouble::turns_some_away && uniform(random) < 0.5;
    }
}

void end_trouble(ModelFleet& fleet) {
    fleet.store_is_up = true;
    fleet.lost_share = 0.0;
    for (ModelNode& node : fleet.nodes) {
        node.cut_from_store = false;
    }
}

/// True if a node of each data centre reads the store.
bool is_read_everywhere(const ModelFleet& fleet) {
    std::set<std::string> all;
    std::set<std::string> read;
    for (const ModelNode& node : fleet.nodes) {
        all.insert(node.self.data_centre);
        if (node.source.reading) {
            read.insert(node.self.data_centre);
        }
    }
    return all == read;
}

// Guards against the incident "no node reads the store": nodes without any state followed each
// other and stopped their own calls, so none noticed that the store was back.
TEST_CASE(
    "nodes that start together in trouble of the store all have their state once it is over") {
    const std::vector<FleetSize> sizes = {{1, 1}, {1, 2}, {3, 1}, {3, 2}, {3, 3}, {6, 10}, {5, 59}};
    for (const StoreTrouble trouble :
         {StoreTrouble::down, StoreTrouble::loses_answers, StoreTrouble::turns_some_away}) {
        for (const FleetSize& size : sizes) {
            for (const std::int64_t length_s : {0, 1, 2, 5, 20}) {
                for (std::size_t seed = 0; seed < 3; ++seed) {
                    CAPTURE(static_cast<int>(trouble), size.data_centres,
                            size.nodes_per_data_centre, length_s, seed);
                    ModelFleet fleet(size.data_centres, size.nodes_per_data_centre);
                    fleet.run_for(from_ms(5000));
                    Random random(seed);
                    set_trouble(fleet, trouble, random);
                    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                        // Starts are spread over half a second or so.
                        const bool pauses =
                            uniform(random) * static_cast<double>(fleet.nodes.size()) < 5.0;
                        fleet.run_for(pauses ? TICK : Duration::zero());
                        fleet.restart_without_members(fleet.nodes[i], 100 * seed + i);
                    }
                    fleet.run_for(from_ms(length_s * 1000));
                    end_trouble(fleet);
                    fleet.run_for(from_ms(2000));
                    CHECK(is_read_everywhere(fleet));
                    fleet.run_for(from_ms(1000));
                    CHECK(fleet.count([](const ModelNode& node) { return node.has_state; }) ==
                          fleet.nodes.size());
                    CHECK(fleet.all_newer_than(CONFIG_APPLY / 2));
                }
            }
        }
    }
}

TEST_CASE("followers of a reader that is killed or silent follow the other reader") {
    for (const bool is_killed : {true, false}) {
        ModelFleet fleet(6, 49);
        fleet.run_for(from_ms(5000));
        const std::size_t before = fleet.reading_starts;
        std::vector<std::string> lost;
        for (ModelNode& node : fleet.nodes) {
            const bool is_first =
                std::find(lost.begin(), lost.end(), node.self.data_centre) == lost.end();
            if (node.source.reading && is_first) {
                lost.push_back(node.self.data_centre);
                node.running = !is_killed;
                node.cut_from_store = true;
            }
        }
        fleet.run_for(CONFIG_APPLY / 2);
        const auto is_old = [&fleet](const ModelNode& node) {
            return node.running && !node.cut_from_store &&
                   fleet.now - node.source.last_contact > from_ms(300);
        };
        CHECK(fleet.count(is_old) == 0);
        CHECK(fleet.reading_starts == before);
        CHECK(fleet.probes == 0);
    }
}

}  // namespace ebonymount
