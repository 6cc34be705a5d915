#include "node/node_state.h"

namespace ebonymount {
namespace {

/// Maximum number of ended epochs that gossip still includes.
constexpr std::size_t MAX_ENDED_EPOCHS = 64;

}  // namespace

std::int64_t LeaseTable::usable_share(const std::string& seat, Time now) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_leases.find(seat);
    return found == m_leases.end() ? 0 : ebonymount::usable_share(found->second, now);
}

void LeaseTable::set(const std::string& seat, const SeatLease& lease) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leases[seat] = lease;
}

std::map<std::string, SeatLease> LeaseTable::all() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, SeatLease> held;
    for (const auto& [seat, lease] : m_leases) {
        if (lease.epoch > 0 && !lease.lost) {
            held[seat] = lease;
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

Peer NodeState::described_self(Time now) const {
    const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
    Peer self = m_self;
    self.reaches_platform = reaches_platform(m_knowledge, m_settings.lease, now);
    self.leaving = m_draining;
    return self;
}

void NodeState::hear_platform(Time now) {
    const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
    m_knowledge.platform_heard = now;
}

std::shared_ptr<const RoutingView> NodeState::view() const {
    const std::lock_guard<std::mutex> lock(m_view_mutex);
    return m_view;
}

void NodeState::change_knowledge(
    const std::function<bool(ClusterKnowledge&, SuspicionList&)>& change) {
    {
        const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
        if (!change(m_knowledge, m_suspicions)) {
            return;
        }
        const std::lock_guard<std::mutex> view_lock(m_view_mutex);
        m_view = std::make_shared<const RoutingView>(make_view(m_knowledge));
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

Standing NodeState::standing(std::uint64_t fingerprint, Time now) const {
    const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
    return standing_of(m_suspicions, fingerprint, now);
}

void NodeState::set_standing(std::uint64_t fingerprint, Standing standing, Duration ttl, Time now) {
    const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
    switch (standing) {
        case Standing::clear:
            clear_suspect(m_suspicions, fingerprint);
            break;
        case Standing::suspect:
            suspect(m_suspicions, fingerprint, ttl, now);
            break;
        case Standing::convicted:
            convict(m_suspicions, fingerprint, ttl, now);
            break;
    }
}

void NodeState::leave_seat(const std::string& seat, std::int64_t epoch) {
    const std::lock_guard<std::mutex> lock(m_ended_epochs_mutex);
    m_left_seats.push_back({seat, epoch});
    if (m_left_seats.size() > MAX_ENDED_EPOCHS) {
        m_left_seats.erase(m_left_seats.begin());
    }
}

std::vector<SeatLeft> NodeState::left_seats() const {
    const std::lock_guard<std::mutex> lock(m_ended_epochs_mutex);
    return m_left_seats;
}

bool NodeState::is_isolated(Time now) const {
    const std::lock_guard<std::mutex> lock(m_knowledge_mutex);
    return ebonymount::is_isolated(m_knowledge, m_self, m_settings.isolation_limit, now);
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
