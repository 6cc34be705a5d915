#include "node/node_state.h"

namespace ebonymount {
namespace {

/// Maximum number of ended epochs kept and included in gossip; the oldest are dropped first.
constexpr std::size_t MAX_ENDED_EPOCHS = 64;

}  // namespace

std::int64_t LeaseTable::usable_share(const std::string& group, Time now) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_leases.find(group);
    return found == m_leases.end() ? 0 : ebonymount::usable_share(found->second, now);
}

void LeaseTable::set(const std::string& group, const GroupLease& lease) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leases[group] = lease;
}

std::map<std::string, GroupLease> LeaseTable::held() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, GroupLease> held;
    for (const auto& [group, lease] : m_leases) {
        if (lease.epoch > 0 && !lease.lost) {
            held[group] = lease;
        }
    }
    return held;
}

NodeState::NodeState(const NodeSettings& settings, std::int64_t incarnation)
    : m_settings(settings), m_view(std::make_shared<const RoutingView>()) {
    m_self.host = settings.host;
    m_self.incarnation = incarnation;
    m_self.node = node_name(settings.host, incarnation);
    m_self.data_centre = settings.data_centre;
    m_self.address = settings.peer_address;
}

Peer NodeState::self_description(Time now) const {
    const std::lock_guard<std::mutex> lock(m_cluster_mutex);
    Peer self = m_self;
    self.reaches_platform = reaches_platform(m_cluster, m_settings.lease_duration, now);
    self.leaving = m_draining;
    return self;
}

void NodeState::record_platform_contact(Time now) {
    const std::lock_guard<std::mutex> lock(m_cluster_mutex);
    m_cluster.platform_last_contact = now;
}

std::shared_ptr<const RoutingView> NodeState::view() const {
    const std::lock_guard<std::mutex> lock(m_view_mutex);
    return m_view;
}

void NodeState::update_cluster(const std::function<bool(ClusterState&, QuarantineList&)>& change) {
    {
        const std::lock_guard<std::mutex> lock(m_cluster_mutex);
        if (!change(m_cluster, m_quarantine_list)) {
            return;
        }
        const std::lock_guard<std::mutex> view_lock(m_view_mutex);
        m_view = std::make_shared<const RoutingView>(make_view(m_cluster));
    }
    std::vector<std::function<void()>> listeners;
    {
        const std::lock_guard<std::mutex> lock(m_listener_mutex);
        listeners = m_listeners;
    }
    for (const std::function<void()>& listener : listeners) {
        listener();
    }
}

void NodeState::on_view_change(std::function<void()> listener) {
    const std::lock_guard<std::mutex> lock(m_listener_mutex);
    m_listeners.push_back(std::move(listener));
}

QuarantineState NodeState::quarantine_state(std::uint64_t fingerprint, Time now) const {
    const std::lock_guard<std::mutex> lock(m_cluster_mutex);
    return quarantine_state_of(m_quarantine_list, fingerprint, now);
}

void NodeState::set_quarantine_state(std::uint64_t fingerprint, QuarantineState quarantine_state,
                                     Duration ttl, Time now) {
    const std::lock_guard<std::mutex> lock(m_cluster_mutex);
    switch (quarantine_state) {
        case QuarantineState::clear:
            clear_suspect(m_quarantine_list, fingerprint);
            break;
        case QuarantineState::suspect:
            suspect(m_quarantine_list, fingerprint, ttl, now);
            break;
        case QuarantineState::quarantined:
            quarantine(m_quarantine_list, fingerprint, ttl, now);
            break;
    }
}

void NodeState::record_ended_epoch(const std::string& group, std::int64_t epoch) {
    const std::lock_guard<std::mutex> lock(m_ended_epochs_mutex);
    m_ended_epochs.push_back({group, epoch});
    if (m_ended_epochs.size() > MAX_ENDED_EPOCHS) {
        m_ended_epochs.erase(m_ended_epochs.begin());
    }
}

std::vector<EndedEpoch> NodeState::ended_epochs() const {
    const std::lock_guard<std::mutex> lock(m_ended_epochs_mutex);
    return m_ended_epochs;
}

bool NodeState::is_isolated(Time now) const {
    const std::lock_guard<std::mutex> lock(m_cluster_mutex);
    return ebonymount::is_isolated(m_cluster, m_self, m_settings.isolation_limit, now);
}

bool NodeState::is_ready(Time now) const {
    return !m_draining && view()->configuration.generation > 0 && !is_isolated(now);
}

void NodeState::set_draining() {
    m_draining = true;
}

bool NodeState::is_draining() const {
    return m_draining;
}

}  // namespace ebonymount
