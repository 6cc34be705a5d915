#include "cluster/gossip.h"

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

/// A peer that has not been known to be alive for this long, by contact or by liveness reports, is
/// neither a watcher of the platform nor a candidate for leases. A peer without direct contact for
/// this long is dropped when the host list does not contain it.
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

void remove_stored_operations(ClusterState& cluster) {
    const std::vector<std::string>& applied = cluster.configuration.applied_operations;
    const auto is_stored = [&applied](const PendingOutOfService& pending_out) {
        return contains(applied, pending_out.operation);
    };
    std::erase_if(cluster.pending, is_stored);
}

bool is_newer(const GroupLeaseRecord& record, const GroupLeaseRecord& known) {
    if (record.epoch != known.epoch) {
        return record.epoch > known.epoch;
    }
    return record.renewal > known.renewal;
}

bool affects_routing(const GroupLeaseRecord& before, const GroupLeaseRecord& after) {
    return before.epoch != after.epoch || before.released != after.released;
}

bool has_recent_contact(const ClusterState& cluster, const std::string& host, Time now) {
    const auto found = cluster.last_contact.find(host);
    return found != cluster.last_contact.end() && now - found->second < PEER_TIMEOUT;
}

bool changed_recently(const ClusterState& cluster, const std::string& group, Time now) {
    const auto found = cluster.lease_changed_at.find(group);
    return found != cluster.lease_changed_at.end() && now - found->second < LEASE_PUSH_PERIOD;
}

std::string data_centre_of(const std::string& group) {
    return group.substr(0, group.find('/'));
}

std::map<std::string, std::uint64_t> group_digests(const ClusterState& cluster) {
    std::map<std::string, std::uint64_t> digests;
    for (const auto& [group, record] : cluster.groups) {
        std::uint64_t& digest = digests[data_centre_of(group)];
        const std::string state =
            group + " " + std::to_string(record.epoch) + (record.released ? " released" : " held");
        digest = stable_hash(std::to_string(digest) + state);
    }
    return digests;
}

GossipDetails details_of(const ClusterState& cluster) {
    GossipDetails details;
    for (const auto& [service, placement] : cluster.placements) {
        details.placement_versions[service] = placement.version;
    }
    details.group_digests = group_digests(cluster);
    return details;
}

std::uint64_t digest_of(const ClusterState& cluster) {
    const GossipDetails details = details_of(cluster);
    std::string text = std::to_string(cluster.configuration.generation);
    for (const auto& [service, version] : details.placement_versions) {
        text += " " + service + " " + std::to_string(version);
    }
    for (const auto& [data_centre, digest] : details.group_digests) {
        text += " " + data_centre + " " + std::to_string(digest);
    }
    return stable_hash(text);
}

/// Adds the lease records that changed recently, and all records of the data centres whose digest
/// differs from the other side's.
void add_lease_records(const ClusterState& cluster, const GossipMessage* peer_message, Time now,
                       GossipMessage& message) {
    const std::map<std::string, std::uint64_t> own = group_digests(cluster);
    for (const auto& [group, record] : cluster.groups) {
        bool differs = false;
        if (peer_message != nullptr && peer_message->details.has_value()) {
            const std::map<std::string, std::uint64_t>& theirs =
                peer_message->details->group_digests;
            const auto digest = theirs.find(data_centre_of(group));
            differs = digest == theirs.end() || digest->second != own.at(data_centre_of(group));
        }
        if (differs || changed_recently(cluster, group, now)) {
            message.groups.push_back({group, record});
        }
    }
}

void add_documents(const ClusterState& cluster, const GossipMessage& peer_message,
                   GossipMessage& message) {
    if (peer_message.generation < cluster.configuration.generation) {
        message.configuration = cluster.configuration;
    }
    if (!peer_message.details.has_value()) {
        return;
    }
    const std::map<std::string, std::int64_t>& versions = peer_message.details->placement_versions;
    for (const auto& [service, placement] : cluster.placements) {
        const auto theirs = versions.find(service);
        if (theirs == versions.end() || theirs->second < placement.version) {
            message.placements.push_back(placement);
        }
    }
}

/// True when the host's node is known to have been alive within `PEER_TIMEOUT`.
bool was_recently_alive(const ClusterState& cluster, const std::string& host, Time now) {
    const auto found = cluster.alive_at.find(host);
    return found != cluster.alive_at.end() && now - found->second < PEER_TIMEOUT;
}

/// The most recent liveness reports about nodes of this node's data centre.
std::vector<LivenessReport> liveness_reports(const ClusterState& cluster, const Peer& self,
                                             Time now) {
    std::vector<LivenessReport> reports;
    for (const auto& [host, peer] : cluster.peers) {
        const bool same_data_centre = peer.data_centre == self.data_centre && host != self.host;
        if (same_data_centre && !peer.node.empty() && was_recently_alive(cluster, host, now)) {
            const Duration age = now - cluster.alive_at.at(host);
            reports.push_back({host, peer.incarnation, age.count() / 1000, peer.reaches_platform});
        }
    }
    const auto is_more_recent = [](const LivenessReport& left, const LivenessReport& right) {
        return left.age_ms < right.age_ms;
    };
    std::sort(reports.begin(), reports.end(), is_more_recent);
    reports.resize(std::min(reports.size(), MAX_LIVENESS_REPORTS));
    return reports;
}

/// Applies a liveness report if it is more recent than the latest contact or report.
void apply_liveness_report(ClusterState& cluster, const std::string& data_centre,
                           const LivenessReport& report, Time now) {
    const Time alive_at = now - from_ms(report.age_ms);
    Peer& peer = cluster.peers[report.host];
    if (report.incarnation < peer.incarnation || alive_at <= cluster.alive_at[report.host]) {
        return;
    }
    cluster.alive_at[report.host] = alive_at;
    peer.host = report.host;
    peer.data_centre = data_centre;
    peer.incarnation = report.incarnation;
    peer.node = node_name(report.host, report.incarnation);
    peer.reaches_platform = report.reaches_platform;
}

/// Records contact with the sender, unless a later incarnation of it is already known.
void record_contact(ClusterState& cluster, const GossipMessage& message, Time now) {
    const Peer& from = message.from;
    Peer& known = cluster.peers[from.host];
    if (from.node.empty() || from.incarnation < known.incarnation) {
        return;
    }
    const bool leaving = known.leaving;
    known = from;
    known.leaving = known.leaving || leaving;
    cluster.last_contact[from.host] = now;
    cluster.alive_at[from.host] = now;
    cluster.ended_epochs[from.node] = message.ended_epochs;
}

bool has_lasted(const std::map<std::string, Time>& since, const std::string& node,
                Duration duration, Time now) {
    const auto found = since.find(node);
    return found != since.end() && now - found->second >= duration;
}

/// True when a later incarnation on the node's host is known. The old process has then ended,
/// because both would need the same address.
bool is_replaced(const ClusterState& cluster, const std::string& node) {
    const auto found = cluster.peers.find(host_of(node));
    return found != cluster.peers.end() && found->second.incarnation > incarnation_of(node);
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

bool adopt(ClusterState& cluster, const Configuration& configuration) {
    if (configuration.generation <= cluster.configuration.generation) {
        return false;
    }
    cluster.configuration = configuration;
    remove_stored_operations(cluster);
    return true;
}

bool adopt(ClusterState& cluster, const Placement& placement) {
    Placement& known = cluster.placements[placement.service];
    if (placement.version <= known.version) {
        return false;
    }
    known = placement;
    return true;
}

bool adopt(ClusterState& cluster, const std::string& group, const GroupLeaseRecord& record,
           Time now) {
    GroupLeaseRecord& known = cluster.groups[group];
    if (!is_newer(record, known)) {
        return false;
    }
    const bool changes_routing = affects_routing(known, record);
    known = record;
    if (changes_routing) {
        cluster.lease_changed_at[group] = now;
    }
    return changes_routing;
}

bool add_pending(ClusterState& cluster, const PendingOutOfService& pending_out) {
    if (contains(cluster.configuration.applied_operations, pending_out.operation) ||
        contains(cluster.pending, pending_out)) {
        return false;
    }
    cluster.pending.push_back(pending_out);
    return true;
}

void adopt_hosts(ClusterState& cluster, const std::vector<Peer>& hosts, Time now) {
    if (hosts.empty()) {
        return;
    }
    std::map<std::string, Peer> peers;
    cluster.leaving_hosts.clear();
    for (const Peer& listed : hosts) {
        if (listed.leaving) {
            cluster.leaving_hosts.insert(listed.host);
        }
        if (!listed.address.empty()) {
            const auto known = cluster.peers.find(listed.host);
            peers[listed.host] = known == cluster.peers.end() ? listed : known->second;
            peers[listed.host].leaving = listed.leaving;
        }
    }
    // The list is delayed, so a node with recent contact is kept even if it is not listed.
    for (const auto& [host, peer] : cluster.peers) {
        if (has_recent_contact(cluster, host, now)) {
            peers.try_emplace(host, peer);
        }
    }
    cluster.peers = std::move(peers);
}

bool merge(ClusterState& cluster, QuarantineList& quarantine_list, const GossipMessage& message,
           Time now) {
    bool affected = false;
    record_contact(cluster, message, now);
    for (const LivenessReport& report : message.liveness_reports) {
        apply_liveness_report(cluster, message.from.data_centre, report, now);
    }
    if (message.configuration.has_value()) {
        affected = adopt(cluster, *message.configuration) || affected;
    }
    for (const Placement& placement : message.placements) {
        affected = adopt(cluster, placement) || affected;
    }
    for (const GroupLeaseUpdate& update : message.groups) {
        affected = adopt(cluster, update.group, update.record, now) || affected;
    }
    for (const PendingOutOfService& pending_out : message.pending) {
        affected = add_pending(cluster, pending_out) || affected;
    }
    for (const QuarantineNotice& notice : message.quarantine_notices) {
        merge_notice(quarantine_list, notice, now);
    }
    return affected;
}

GossipMessage make_gossip(const ClusterState& cluster, const QuarantineList& quarantine_list,
                          const Peer& self, const std::vector<EndedEpoch>& ended_epochs,
                          const GossipMessage* peer_message, Time now) {
    GossipMessage message;
    message.from = self;
    message.generation = cluster.configuration.generation;
    message.digest = digest_of(cluster);
    message.liveness_reports = liveness_reports(cluster, self, now);
    message.ended_epochs = ended_epochs;
    message.pending = cluster.pending;
    message.quarantine_notices = notices(quarantine_list, MAX_QUARANTINE_NOTICES, now);
    add_lease_records(cluster, peer_message, now, message);
    if (peer_message != nullptr && peer_message->digest != message.digest) {
        message.details = details_of(cluster);
        add_documents(cluster, *peer_message, message);
    }
    return message;
}

bool needs_follow_up(const ClusterState& cluster, const GossipMessage& response) {
    return response.digest != digest_of(cluster) && response.details.has_value();
}

std::vector<Peer> choose_peers(const ClusterState& cluster, const Peer& self, std::size_t count,
                               Random& random) {
    std::vector<Peer> same_data_centre;
    std::vector<Peer> all;
    for (const auto& [host, peer] : cluster.peers) {
        if (host == self.host || peer.address.empty()) {
            continue;
        }
        all.push_back(peer);
        if (peer.data_centre == self.data_centre) {
            same_data_centre.push_back(peer);
        }
    }
    std::shuffle(same_data_centre.begin(), same_data_centre.end(), random);
    std::shuffle(all.begin(), all.end(), random);
    std::vector<Peer> chosen;
    if (!same_data_centre.empty()) {
        chosen.push_back(same_data_centre.front());
    }
    for (const Peer& peer : all) {
        if (chosen.size() < count && !contains(chosen, peer)) {
            chosen.push_back(peer);
        }
    }
    return chosen;
}

std::vector<std::string> live_nodes(const ClusterState& cluster, const Peer& self, Time now) {
    std::vector<std::string> nodes{self.node};
    for (const auto& [host, peer] : cluster.peers) {
        const bool candidate = peer.data_centre == self.data_centre && host != self.host &&
                               !peer.leaving && !peer.node.empty();
        if (candidate && was_recently_alive(cluster, host, now)) {
            nodes.push_back(peer.node);
        }
    }
    return nodes;
}

std::vector<std::string> lease_candidates(const ClusterState& cluster, const Peer& self, Time now) {
    const auto cannot_reach_platform = [&cluster, &self](const std::string& node) {
        const auto peer = cluster.peers.find(host_of(node));
        const bool own = node == self.node;
        const bool reaches = own ? self.reaches_platform
                                 : peer != cluster.peers.end() && peer->second.reaches_platform;
        return !reaches;
    };
    std::vector<std::string> nodes = live_nodes(cluster, self, now);
    std::erase_if(nodes, cannot_reach_platform);
    return nodes;
}

bool reaches_platform(const ClusterState& cluster, Duration window, Time now) {
    return cluster.platform_last_contact.has_value() &&
           now - *cluster.platform_last_contact < window;
}

bool is_platform_watcher(const ClusterState& cluster, const Peer& self, Time now) {
    const std::vector<std::string> order =
        rendezvous_order("watch", live_nodes(cluster, self, now));
    const auto found = std::find(order.begin(), order.end(), self.node);
    return static_cast<std::size_t>(found - order.begin()) < WATCHERS_PER_DATA_CENTRE;
}

bool is_isolated(const ClusterState& cluster, const Peer& self, Duration limit, Time now) {
    if (cluster.platform_last_contact.has_value() && now - *cluster.platform_last_contact < limit) {
        return false;
    }
    bool has_other_peer = false;
    for (const auto& [host, peer] : cluster.peers) {
        if (host == self.host) {
            continue;
        }
        has_other_peer = true;
        const auto contact = cluster.last_contact.find(host);
        if (contact != cluster.last_contact.end() && now - contact->second < limit) {
            return false;
        }
    }
    return has_other_peer;
}

void record_absent_nodes(ClusterState& cluster, const std::vector<HolderEpoch>& holders, Time now) {
    for (const HolderEpoch& holder : holders) {
        const std::string host = host_of(holder.node);
        const bool present =
            cluster.peers.count(host) > 0 || has_recent_contact(cluster, host, now);
        if (present) {
            cluster.absent_since.erase(holder.node);
        } else {
            cluster.absent_since.try_emplace(holder.node, now);
        }
        if (is_replaced(cluster, holder.node)) {
            cluster.replaced_since.try_emplace(holder.node, now);
        }
    }
}

std::vector<HolderEpoch> ended_holders(const ClusterState& cluster, const std::string& group,
                                       const std::vector<HolderEpoch>& holders,
                                       Duration max_request_time, Time now) {
    std::vector<HolderEpoch> ended;
    for (const HolderEpoch& holder : holders) {
        const bool absent_long_enough =
            has_lasted(cluster.absent_since, holder.node, MAX_HOST_LIST_DELAY, now);
        const bool replaced_long_enough =
            has_lasted(cluster.replaced_since, holder.node, max_request_time, now);
        const auto stated = cluster.ended_epochs.find(holder.node);
        const bool stated_as_ended = stated != cluster.ended_epochs.end() &&
                                     contains(stated->second, EndedEpoch{group, holder.epoch});
        if (absent_long_enough || stated_as_ended || replaced_long_enough) {
            ended.push_back(holder);
        }
    }
    return ended;
}

RoutingView make_view(const ClusterState& cluster) {
    RoutingView view;
    view.configuration = cluster.configuration;
    view.placements = cluster.placements;
    view.groups = cluster.groups;
    view.leaving_hosts = cluster.leaving_hosts;
    for (const PendingOutOfService& pending_out : cluster.pending) {
        if (pending_out.is_data_centre) {
            view.pending_out_of_service_data_centres.insert(pending_out.name);
        } else {
            view.pending_out_of_service_hosts.insert(pending_out.name);
        }
    }
    return view;
}

}  // namespace ebonymount
