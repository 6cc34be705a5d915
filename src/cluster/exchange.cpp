#include "cluster/exchange.h"

#include <algorithm>
#include <charconv>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Number of nodes in each data centre that watch the platform.
constexpr std::size_t WATCHERS_PER_DATA_CENTRE = 2;

/// A changed lease record is included in every gossip message for this long; after that only when
/// digests differ.
constexpr Duration LEASE_PUSH_PERIOD = from_ms(2000);

/// A peer without contact for this long no longer counts as alive, so neither as a watcher of the
/// platform nor as a candidate for leases.
constexpr Duration PEER_TIMEOUT = from_ms(10000);

/// Maximum delay of the platform's host list behind the actual hosts.
constexpr Duration MAX_HOST_LIST_DELAY = from_ms(60000);

constexpr std::size_t MAX_QUARANTINE_NOTICES = 64;

/// Maximum number of liveness reports in one gossip message.
constexpr std::size_t MAX_LIVENESS_REPORTS = 8;

template <typename T>
bool contains(const std::vector<T>& items, const T& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

void remove_stored_operations(ClusterKnowledge& knowledge) {
    const std::vector<std::string>& applied = knowledge.configuration.applied_operations;
    const auto is_stored = [&applied](const PendingTakeOut& take_out) {
        return contains(applied, take_out.operation);
    };
    std::erase_if(knowledge.pending, is_stored);
}

bool is_newer(const SeatRecord& record, const SeatRecord& known) {
    if (record.epoch != known.epoch) {
        return record.epoch > known.epoch;
    }
    return record.renewal > known.renewal;
}

bool affects_routing(const SeatRecord& before, const SeatRecord& after) {
    return before.epoch != after.epoch || before.released != after.released;
}

bool has_recent_contact(const ClusterKnowledge& knowledge, const std::string& host, Time now) {
    const auto found = knowledge.heard_from.find(host);
    return found != knowledge.heard_from.end() && now - found->second < PEER_TIMEOUT;
}

bool changed_recently(const ClusterKnowledge& knowledge, const std::string& seat, Time now) {
    const auto found = knowledge.seat_changed.find(seat);
    return found != knowledge.seat_changed.end() && now - found->second < LEASE_PUSH_PERIOD;
}

std::string data_centre_of(const std::string& seat) {
    return seat.substr(0, seat.find('/'));
}

std::map<std::string, std::uint64_t> seat_digests(const ClusterKnowledge& knowledge) {
    std::map<std::string, std::uint64_t> digests;
    for (const auto& [seat, record] : knowledge.seats) {
        std::uint64_t& digest = digests[data_centre_of(seat)];
        const std::string state =
            seat + " " + std::to_string(record.epoch) + (record.released ? " released" : " held");
        digest = stable_hash(std::to_string(digest) + state);
    }
    return digests;
}

ExchangeDetails details_of(const ClusterKnowledge& knowledge) {
    ExchangeDetails details;
    for (const auto& [service, placement] : knowledge.placements) {
        details.placement_versions[service] = placement.version;
    }
    details.seat_digests = seat_digests(knowledge);
    return details;
}

std::uint64_t digest_of(const ClusterKnowledge& knowledge) {
    const ExchangeDetails details = details_of(knowledge);
    std::string text = std::to_string(knowledge.configuration.generation);
    for (const auto& [service, version] : details.placement_versions) {
        text += " " + service + " " + std::to_string(version);
    }
    for (const auto& [data_centre, digest] : details.seat_digests) {
        text += " " + data_centre + " " + std::to_string(digest);
    }
    return stable_hash(text);
}

/// Adds the lease records that changed recently, and all records of the data centres whose digest
/// differs from the other side's.
void add_lease_records(const ClusterKnowledge& knowledge, const Exchange* other, Time now,
                       Exchange& exchange) {
    const std::map<std::string, std::uint64_t> own = seat_digests(knowledge);
    for (const auto& [seat, record] : knowledge.seats) {
        bool differs = false;
        if (other != nullptr && other->details.has_value()) {
            const std::map<std::string, std::uint64_t>& theirs = other->details->seat_digests;
            const auto digest = theirs.find(data_centre_of(seat));
            differs = digest == theirs.end() || digest->second != own.at(data_centre_of(seat));
        }
        if (differs || changed_recently(knowledge, seat, now)) {
            exchange.seats.push_back({seat, record});
        }
    }
}

void add_documents(const ClusterKnowledge& knowledge, const Exchange& other, Exchange& exchange) {
    if (other.generation < knowledge.configuration.generation) {
        exchange.configuration = knowledge.configuration;
    }
    if (!other.details.has_value()) {
        return;
    }
    const std::map<std::string, std::int64_t>& versions = other.details->placement_versions;
    for (const auto& [service, placement] : knowledge.placements) {
        const auto theirs = versions.find(service);
        if (theirs == versions.end() || theirs->second < placement.version) {
            exchange.placements.push_back(placement);
        }
    }
}

/// True when the host's node is known to have been alive within `PEER_TIMEOUT`.
bool was_recently_alive(const ClusterKnowledge& knowledge, const std::string& host, Time now) {
    const auto found = knowledge.alive_at.find(host);
    return found != knowledge.alive_at.end() && now - found->second < PEER_TIMEOUT;
}

/// The most recent liveness reports about nodes of this node's data centre.
std::vector<AliveNews> liveness_reports(const ClusterKnowledge& knowledge, const Peer& self,
                                        Time now) {
    std::vector<AliveNews> news;
    for (const auto& [host, peer] : knowledge.peers) {
        const bool near = peer.data_centre == self.data_centre && host != self.host;
        if (near && !peer.node.empty() && was_recently_alive(knowledge, host, now)) {
            const Duration age = now - knowledge.alive_at.at(host);
            news.push_back({host, peer.incarnation, age.count() / 1000, peer.reaches_platform});
        }
    }
    const auto fresher = [](const AliveNews& left, const AliveNews& right) {
        return left.age_ms < right.age_ms;
    };
    std::sort(news.begin(), news.end(), fresher);
    news.resize(std::min(news.size(), MAX_LIVENESS_REPORTS));
    return news;
}

/// Applies a liveness report if it is more recent than what is known.
void apply_liveness_report(ClusterKnowledge& knowledge, const std::string& data_centre,
                           const AliveNews& news, Time now) {
    const Time alive_at = now - from_ms(news.age_ms);
    Peer& peer = knowledge.peers[news.host];
    if (news.incarnation < peer.incarnation || alive_at <= knowledge.alive_at[news.host]) {
        return;
    }
    knowledge.alive_at[news.host] = alive_at;
    peer.host = news.host;
    peer.data_centre = data_centre;
    peer.incarnation = news.incarnation;
    peer.node = node_name(news.host, news.incarnation);
    peer.reaches_platform = news.reaches_platform;
}

/// Records contact with the sender, unless a later incarnation of it is already known.
void record_contact(ClusterKnowledge& knowledge, const Exchange& exchange, Time now) {
    const Peer& from = exchange.from;
    Peer& known = knowledge.peers[from.host];
    if (from.node.empty() || from.incarnation < known.incarnation) {
        return;
    }
    const bool leaving = known.leaving;
    known = from;
    known.leaving = known.leaving || leaving;
    knowledge.heard_from[from.host] = now;
    knowledge.alive_at[from.host] = now;
    knowledge.left_seats[from.node] = exchange.left_seats;
}

bool has_lasted(const std::map<std::string, Time>& since, const std::string& node,
                Duration duration, Time now) {
    const auto found = since.find(node);
    return found != since.end() && now - found->second >= duration;
}

/// True when a later incarnation on the node's host is known. The old process has then ended,
/// because both would need the same address.
bool is_replaced(const ClusterKnowledge& knowledge, const std::string& node) {
    const auto found = knowledge.peers.find(host_of(node));
    return found != knowledge.peers.end() && found->second.incarnation > incarnation_of(node);
}

}  // namespace

std::string node_name(const std::string& host, std::int64_t incarnation) {
    return host + "#" + std::to_string(incarnation);
}

std::string host_of(const std::string& node) {
    return node.substr(0, node.find('#'));
}

std::int64_t incarnation_of(const std::string& node) {
    const std::size_t mark = node.find('#');
    std::int64_t incarnation = 0;
    if (mark != std::string::npos) {
        std::from_chars(node.data() + mark + 1, node.data() + node.size(), incarnation);
    }
    return incarnation;
}

bool adopt(ClusterKnowledge& knowledge, const Configuration& configuration) {
    if (configuration.generation <= knowledge.configuration.generation) {
        return false;
    }
    knowledge.configuration = configuration;
    remove_stored_operations(knowledge);
    return true;
}

bool adopt(ClusterKnowledge& knowledge, const Placement& placement) {
    Placement& known = knowledge.placements[placement.service];
    if (placement.version <= known.version) {
        return false;
    }
    known = placement;
    return true;
}

bool adopt(ClusterKnowledge& knowledge, const std::string& seat, const SeatRecord& record,
           Time now) {
    SeatRecord& known = knowledge.seats[seat];
    if (!is_newer(record, known)) {
        return false;
    }
    const bool changes_routing = affects_routing(known, record);
    known = record;
    if (changes_routing) {
        knowledge.seat_changed[seat] = now;
    }
    return changes_routing;
}

bool add_pending(ClusterKnowledge& knowledge, const PendingTakeOut& take_out) {
    if (contains(knowledge.configuration.applied_operations, take_out.operation) ||
        contains(knowledge.pending, take_out)) {
        return false;
    }
    knowledge.pending.push_back(take_out);
    return true;
}

void adopt_hosts(ClusterKnowledge& knowledge, const std::vector<Peer>& hosts, Time now) {
    if (hosts.empty()) {
        return;
    }
    std::map<std::string, Peer> peers;
    knowledge.leaving_hosts.clear();
    for (const Peer& listed : hosts) {
        if (listed.leaving) {
            knowledge.leaving_hosts.insert(listed.host);
        }
        if (!listed.address.empty()) {
            const auto known = knowledge.peers.find(listed.host);
            peers[listed.host] = known == knowledge.peers.end() ? listed : known->second;
            peers[listed.host].leaving = listed.leaving;
        }
    }
    // The list is delayed, so a node with recent contact is kept even if it is not listed.
    for (const auto& [host, peer] : knowledge.peers) {
        if (has_recent_contact(knowledge, host, now)) {
            peers.try_emplace(host, peer);
        }
    }
    knowledge.peers = std::move(peers);
}

bool merge(ClusterKnowledge& knowledge, SuspicionList& suspicions, const Exchange& exchange,
           Time now) {
    bool affected = false;
    record_contact(knowledge, exchange, now);
    for (const AliveNews& news : exchange.alive) {
        apply_liveness_report(knowledge, exchange.from.data_centre, news, now);
    }
    if (exchange.configuration.has_value()) {
        affected = adopt(knowledge, *exchange.configuration) || affected;
    }
    for (const Placement& placement : exchange.placements) {
        affected = adopt(knowledge, placement) || affected;
    }
    for (const SeatNews& news : exchange.seats) {
        affected = adopt(knowledge, news.seat, news.record, now) || affected;
    }
    for (const PendingTakeOut& take_out : exchange.pending) {
        affected = add_pending(knowledge, take_out) || affected;
    }
    for (const SuspicionNotice& notice : exchange.suspicions) {
        merge_notice(suspicions, notice, now);
    }
    return affected;
}

Exchange make_exchange(const ClusterKnowledge& knowledge, const SuspicionList& suspicions,
                       const Peer& self, const std::vector<SeatLeft>& left_seats,
                       const Exchange* other, Time now) {
    Exchange exchange;
    exchange.from = self;
    exchange.generation = knowledge.configuration.generation;
    exchange.digest = digest_of(knowledge);
    exchange.alive = liveness_reports(knowledge, self, now);
    exchange.left_seats = left_seats;
    exchange.pending = knowledge.pending;
    exchange.suspicions = notices(suspicions, MAX_QUARANTINE_NOTICES, now);
    add_lease_records(knowledge, other, now, exchange);
    if (other != nullptr && other->digest != exchange.digest) {
        exchange.details = details_of(knowledge);
        add_documents(knowledge, *other, exchange);
    }
    return exchange;
}

bool needs_follow_up(const ClusterKnowledge& knowledge, const Exchange& answer) {
    return answer.digest != digest_of(knowledge) && answer.details.has_value();
}

std::vector<Peer> choose_peers(const ClusterKnowledge& knowledge, const Peer& self,
                               std::size_t count, Random& random) {
    std::vector<Peer> near;
    std::vector<Peer> all;
    for (const auto& [host, peer] : knowledge.peers) {
        if (host == self.host || peer.address.empty()) {
            continue;
        }
        all.push_back(peer);
        if (peer.data_centre == self.data_centre) {
            near.push_back(peer);
        }
    }
    std::shuffle(near.begin(), near.end(), random);
    std::shuffle(all.begin(), all.end(), random);
    std::vector<Peer> chosen;
    if (!near.empty()) {
        chosen.push_back(near.front());
    }
    for (const Peer& peer : all) {
        if (chosen.size() < count && !contains(chosen, peer)) {
            chosen.push_back(peer);
        }
    }
    return chosen;
}

std::vector<std::string> live_nodes(const ClusterKnowledge& knowledge, const Peer& self, Time now) {
    std::vector<std::string> nodes{self.node};
    for (const auto& [host, peer] : knowledge.peers) {
        const bool candidate = peer.data_centre == self.data_centre && host != self.host &&
                               !peer.leaving && !peer.node.empty();
        if (candidate && was_recently_alive(knowledge, host, now)) {
            nodes.push_back(peer.node);
        }
    }
    return nodes;
}

std::vector<std::string> seat_candidates(const ClusterKnowledge& knowledge, const Peer& self,
                                         Time now) {
    const auto cannot_reach_platform = [&knowledge, &self](const std::string& node) {
        const auto peer = knowledge.peers.find(host_of(node));
        const bool own = node == self.node;
        const bool reaches = own ? self.reaches_platform
                                 : peer != knowledge.peers.end() && peer->second.reaches_platform;
        return !reaches;
    };
    std::vector<std::string> nodes = live_nodes(knowledge, self, now);
    std::erase_if(nodes, cannot_reach_platform);
    return nodes;
}

bool reaches_platform(const ClusterKnowledge& knowledge, Duration window, Time now) {
    return knowledge.platform_heard.has_value() && now - *knowledge.platform_heard < window;
}

bool is_platform_watcher(const ClusterKnowledge& knowledge, const Peer& self, Time now) {
    const std::vector<std::string> order =
        rendezvous_order("watch", live_nodes(knowledge, self, now));
    const auto found = std::find(order.begin(), order.end(), self.node);
    return static_cast<std::size_t>(found - order.begin()) < WATCHERS_PER_DATA_CENTRE;
}

bool is_isolated(const ClusterKnowledge& knowledge, const Peer& self, Duration limit, Time now) {
    if (knowledge.platform_heard.has_value() && now - *knowledge.platform_heard < limit) {
        return false;
    }
    bool knows_peer = false;
    for (const auto& [host, peer] : knowledge.peers) {
        if (host == self.host) {
            continue;
        }
        knows_peer = true;
        const auto contact = knowledge.heard_from.find(host);
        if (contact != knowledge.heard_from.end() && now - contact->second < limit) {
            return false;
        }
    }
    return knows_peer;
}

void note_missing(ClusterKnowledge& knowledge, const std::vector<SeatUse>& uses, Time now) {
    for (const SeatUse& use : uses) {
        const std::string host = host_of(use.node);
        const bool present =
            knowledge.peers.count(host) > 0 || has_recent_contact(knowledge, host, now);
        if (present) {
            knowledge.missing_since.erase(use.node);
        } else {
            knowledge.missing_since.try_emplace(use.node, now);
        }
        if (is_replaced(knowledge, use.node)) {
            knowledge.replaced_since.try_emplace(use.node, now);
        }
    }
}

std::vector<SeatUse> known_gone(const ClusterKnowledge& knowledge, const std::string& seat,
                                const std::vector<SeatUse>& uses, Duration longest_request,
                                Time now) {
    std::vector<SeatUse> ended;
    for (const SeatUse& use : uses) {
        const bool long_missing =
            has_lasted(knowledge.missing_since, use.node, MAX_HOST_LIST_DELAY, now);
        const bool long_replaced =
            has_lasted(knowledge.replaced_since, use.node, longest_request, now);
        const auto left = knowledge.left_seats.find(use.node);
        const bool stated_end =
            left != knowledge.left_seats.end() && contains(left->second, SeatLeft{seat, use.epoch});
        if (long_missing || stated_end || long_replaced) {
            ended.push_back(use);
        }
    }
    return ended;
}

RoutingView make_view(const ClusterKnowledge& knowledge) {
    RoutingView view;
    view.configuration = knowledge.configuration;
    view.placements = knowledge.placements;
    view.seats = knowledge.seats;
    view.leaving_hosts = knowledge.leaving_hosts;
    for (const PendingTakeOut& take_out : knowledge.pending) {
        if (take_out.is_data_centre) {
            view.pending_out_data_centres.insert(take_out.name);
        } else {
            view.pending_out_hosts.insert(take_out.name);
        }
    }
    return view;
}

}  // namespace ebonymount
