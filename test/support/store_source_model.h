// All nodes of a fleet and a store, in virtual time without network, driven by the decisions of
// `policy/store_source`.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "policy/store_era.h"
#include "policy/store_source.h"

namespace ebonymount {

constexpr Duration TICK = from_ms(100);

/// Pause between two calls for the list of nodes.
constexpr Duration LIST_PAUSE = from_ms(600);
constexpr Duration CONFIG_APPLY = from_ms(6000);
constexpr Duration STABLE_WINDOW = from_ms(6000);

/// Nodes of `READERS_PER_DATA_CENTRE` and those that may take over reading for them.
constexpr std::size_t READING_NODES = 8;

/// A message on its way from a reader to a follower.
struct ModelMessage {
    Time arrives_at{};
    StatedAge stated;
    /// When the store last responded to the node from which the data comes. It is no part of the
    /// message.
    Time true_contact{};
    /// Of the sender's data, as its last list states it.
    StorePosition position;
    bool has_state = false;
    std::string origin;
};

/// A stream from a reader, with the messages that the follower has not processed yet.
struct ModelLink {
    ReaderLink link;
    std::vector<ModelMessage> waiting;
    Time next_heartbeat{};
};

struct ModelNode {
    Member self;
    StoreSource source;
    std::optional<ModelLink> upstream;
    std::optional<ModelLink> candidate;
    Time own_contact{};
    /// When the store last responded to the node from which this node's data comes.
    Time true_contact{};
    /// Of the node's data.
    StorePosition position;
    StoreEra era;
    /// Difference of the node's clock to that of the fleet.
    Duration clock_skew{};
    /// Processes nothing before this time; messages to it wait.
    Time paused_until{};
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
            nodes[i].clock_skew = from_ms(1000000 - 7000 * static_cast<std::int64_t>(i));
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
        node.true_contact = Time{};
        node.position = StorePosition{};
        node.era = StoreEra{};
        node.has_state = false;
        node.running = true;
        node.random = Random(seed);
        set_members(node.source, node.self, m_members, now);
    }

    /// Starts a node, without any state, which has read a list of nodes that names itself only.
    void restart_with_early_list(ModelNode& node, std::size_t seed) {
        restart(node, seed);
        node.source = StoreSource{};
        set_members(node.source, node.self, {node.self}, now);
    }

    /// All nodes have read a list that names them all.
    void complete_lists() {
        for (ModelNode& node : nodes) {
            set_members(node.source, node.self, m_members, now);
        }
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
            m_is_overloaded = reading() > store_capacity;
            for (ModelNode& node : nodes) {
                if (message_delay > Duration::zero()) {
                    send_heartbeat(node.upstream);
                    send_heartbeat(node.candidate);
                }
            }
            for (ModelNode& node : nodes) {
                if (is_active(node)) {
                    advance(node);
                    max_understatement = std::max(max_understatement, understatement(node));
                }
            }
        }
    }

    /// The store returns from a copy that lacks the changes since `revision`.
    void return_from_copy(std::int64_t revision) {
        m_position_before_return = store_position;
        store_position = {store_position.era + 1, revision};
    }

    /// True if the data of each running node that has the property is as new as the store's.
    bool all_up_to_date(const std::function<bool(const ModelNode&)>& has_property) const {
        return count([&](const ModelNode& node) {
                   return node.running && has_property(node) && node.position != store_position;
               }) == 0;
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

    /// Largest age of the data of a running node.
    Duration max_true_age(const std::function<bool(const ModelNode&)>& has_property) const {
        Duration age{};
        for (const ModelNode& node : nodes) {
            if (node.running && has_property(node)) {
                age = std::max(age, now - node.true_contact);
            }
        }
        return age;
    }

    /// Runs for a number of seconds, and returns the largest age, at the end of a second, of the
    /// data of a running node that can reach the store.
    Duration max_true_age_during(int seconds) {
        const auto reaches_store = [](const ModelNode& node) {
            return !node.cut_from_store;
        };
        Duration age{};
        for (int second = 0; second < seconds; ++second) {
            run_for(from_ms(1000));
            age = std::max(age, max_true_age(reaches_store));
        }
        return age;
    }

    /// Smallest age that a running node takes its data to have.
    Duration min_believed_age() const {
        Duration age = Duration::max();
        for (const ModelNode& node : nodes) {
            if (node.running) {
                age = std::min(age, now - node.source.last_contact);
            }
        }
        return age;
    }

    Time now = Time(from_ms(1000000));
    /// Time that a message between two nodes takes. If it is zero, a follower sees the state of its
    /// reader at any time; otherwise readers send heartbeats.
    Duration message_delay{};
    /// By how much a node has at most taken its data for newer than it was.
    Duration max_understatement{};
    bool store_is_up = true;
    StorePosition store_position{1, 1};
    /// Share of the calls that are answered from before the store's latest return.
    double earlier_era_share = 0.0;
    /// While more nodes than that read the store, it answers none of them in time.
    std::size_t store_capacity = std::numeric_limits<std::size_t>::max();
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

    bool is_active(const ModelNode& node) const {
        return node.running && now >= node.paused_until;
    }

    /// By how much a node takes its data for newer than it is.
    static Duration understatement(const ModelNode& node) {
        const bool has_data = node.true_contact != Time{};
        return has_data ? node.source.last_contact - node.true_contact : Duration::zero();
    }

    SourceInputs inputs_of(const ModelNode& node, bool reaches_store) const {
        return {node.self,
                m_initial_peers,
                m_timing,
                node.upstream.has_value() ? &node.upstream->link : nullptr,
                node.candidate.has_value() ? &node.candidate->link : nullptr,
                node.source.reading ? node.own_contact : Time{},
                node.source.reading && !reaches_store,
                node.has_state,
                now};
    }

    ModelMessage message_of(const ModelNode& sender) const {
        const StatedAge stated = {now - sender.source.last_contact,
                                  now.time_since_epoch() + sender.clock_skew};
        return {now + message_delay, stated,
                sender.true_contact, sender.position,
                sender.has_state,    data_origin(sender.source, inputs_of(sender, true))};
    }

    void send_heartbeat(std::optional<ModelLink>& stream) {
        if (!stream.has_value() || now < stream->next_heartbeat) {
            return;
        }
        const ModelNode* sender = find(stream->link.reader.node);
        if (sender != nullptr && is_active(*sender)) {
            stream->next_heartbeat = now + m_timing.heartbeat;
            stream->waiting.push_back(message_of(*sender));
        }
    }

    /// Takes data that an answer of the store or a message has. False if it is out of date.
    bool take_data(ModelNode& node, const StorePosition& position, bool is_current_read) {
        if (on_stated_era(node.era, position.era, is_current_read, now) == EraChange::earlier) {
            return false;
        }
        node.position = std::max(node.position, position);
        return true;
    }

    void process(const ModelMessage& message, ModelLink& stream, ModelNode& receiver) {
        if (message.has_state && !take_data(receiver, message.position, false)) {
            stream.link.ended = true;
            return;
        }
        on_stated_age(stream.link, message.stated, now);
        stream.link.origin = message.origin;
        receiver.true_contact = std::max(receiver.true_contact, message.true_contact);
        receiver.has_state = receiver.has_state || message.has_state;
        if (message.has_state && !receiver.source.members_known) {
            set_members(receiver.source, receiver.self, m_members, now);
        }
    }

    void receive(std::optional<ModelLink>& stream, ModelNode& receiver) {
        if (!stream.has_value()) {
            return;
        }
        const ModelNode* sender = find(stream->link.reader.node);
        if (sender == nullptr || !sender->running) {
            stream->link.ended = true;
            return;
        }
        if (message_delay == Duration::zero()) {
            process(message_of(*sender), *stream, receiver);
        }
        for (const ModelMessage& message : stream->waiting) {
            if (message.arrives_at <= now) {
                process(message, *stream, receiver);
            }
        }
        std::erase_if(stream->waiting,
                      [this](const ModelMessage& message) { return message.arrives_at <= now; });
    }

    void advance(ModelNode& node) {
        const bool is_lost = lost_share > 0.0 && uniform(node.random) < lost_share;
        const bool is_earlier = earlier_era_share > 0.0 && uniform(node.random) < earlier_era_share;
        bool reaches_store = store_is_up && !m_is_overloaded && !node.cut_from_store && !is_lost;
        if (node.source.reading && reaches_store) {
            reaches_store =
                take_data(node, is_earlier ? m_position_before_return : store_position, true);
        }
        if (node.source.reading && reaches_store) {
            node.own_contact = now;
            node.true_contact = now;
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
        const SourceInputs inputs = inputs_of(node, reaches_store);
        for (const SourceAction& action : decide(node.source, inputs, node.random)) {
            if (const OpenCandidate* open = std::get_if<OpenCandidate>(&action)) {
                node.candidate = ModelLink{{open->reader, now, std::nullopt, std::nullopt, false},
                                           {},
                                           now + message_delay};
                // A message that takes no time is read when the stream is opened.
                receive(node.candidate, node);
            } else if (std::holds_alternative<DropCandidate>(action)) {
                node.candidate.reset();
            } else if (std::holds_alternative<DropUpstream>(action)) {
                node.upstream.reset();
            } else if (std::holds_alternative<FollowCandidate>(action)) {
                node.upstream = node.candidate;
                node.candidate.reset();
                node.lists_nodes = node.lists_nodes && node.source.reading;
            } else if (const OfferData* offer = std::get_if<OfferData>(&action)) {
                ModelNode* const reader = find(offer->reader.node);
                if (reader != nullptr && reader->running) {
                    on_offer(reader->source, node.self);
                }
            } else if (std::holds_alternative<ProbeStore>(action)) {
                ++probes;
                on_probe_result(node.source, reaches_store, now);
            } else if (std::holds_alternative<StartReading>(action)) {
                ++reading_starts;
            }
        }
    }

    StorePosition m_position_before_return;
    bool m_is_overloaded = false;
    std::vector<Member> m_members;
    std::vector<std::string> m_initial_peers;
    StoreReadTiming m_timing = store_read_timing(CONFIG_APPLY, STABLE_WINDOW);
};

struct FleetSize {
    std::size_t data_centres;
    std::size_t nodes_per_data_centre;
};

}  // namespace ebonymount
