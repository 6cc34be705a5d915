#include "scenario/lease_simulation.h"

#include <algorithm>

#include "base/check.h"

namespace ebonymount {
namespace {

const std::string GROUP = "dc/0";

constexpr Duration STEP_DURATION = from_ms(10);
constexpr Duration TICK_INTERVAL = from_ms(100);

void drop_finished(std::vector<Time>& ends, Time now) {
    std::erase_if(ends, [now](Time end) { return end <= now; });
}

std::string name_of(const SimulatedNode& node) {
    return node_name(node.host, node.incarnation);
}

}  // namespace

LeaseSimulation::LeaseSimulation(LeaseSimulationOptions options,
                                 const std::vector<std::string>& hosts, std::uint64_t seed)
    : m_options(options), m_random(seed), m_now(from_ms(1000)) {
    for (const std::string& host : hosts) {
        m_nodes[host].host = host;
    }
}

void LeaseSimulation::start(const std::string& host) {
    SimulatedNode& node = m_nodes.at(host);
    internal_check(!node.alive) << host << " is already running";
    const std::int64_t incarnation = node.incarnation + 1;
    node = SimulatedNode{};
    node.host = host;
    node.incarnation = incarnation;
    node.alive = true;
}

void LeaseSimulation::kill(const std::string& host) {
    SimulatedNode& node = m_nodes.at(host);
    node.alive = false;
    m_orphans.insert(m_orphans.end(), node.running.begin(), node.running.end());
    node.running.clear();
    node.incoming.clear();
}

void LeaseSimulation::stop(const std::string& host) {
    m_nodes.at(host).stopping = true;
}

void LeaseSimulation::pause(const std::string& host) {
    m_nodes.at(host).paused = true;
}

void LeaseSimulation::resume(const std::string& host) {
    m_nodes.at(host).paused = false;
}

void LeaseSimulation::cut(const std::string& host, bool is_cut) {
    m_nodes.at(host).cut = is_cut;
}

void LeaseSimulation::set_platform_down(bool down) {
    m_platform_down = down;
}

void LeaseSimulation::lose_confirmations(int count) {
    m_confirmations_to_lose = count;
}

std::optional<std::string> LeaseSimulation::run_for(Duration duration) {
    const Time end = m_now + duration;
    while (m_now < end) {
        m_now += STEP_DURATION;
        drop_finished(m_orphans, m_now);
        apply_writes();
        gossip();
        assign_holder();
        for (auto& [host, node] : m_nodes) {
            drop_finished(node.running, m_now);
            if (!node.alive || node.paused) {
                continue;
            }
            deliver(node);
            if (m_now.time_since_epoch() % TICK_INTERVAL == Duration::zero()) {
                tick(node);
            }
            send_requests(node);
        }
        if (running() > m_options.limit) {
            return std::to_string(running()) + " requests run at " +
                   std::to_string(m_now.time_since_epoch().count() / 1000) + " ms, the limit is " +
                   std::to_string(m_options.limit);
        }
    }
    return std::nullopt;
}

std::string LeaseSimulation::holder() const {
    return m_stored.released ? "" : host_of(m_stored.holder);
}

std::int64_t LeaseSimulation::share(const std::string& host) const {
    return usable_share(m_nodes.at(host).machine.lease, m_now);
}

std::int64_t LeaseSimulation::running() const {
    std::size_t count = m_orphans.size();
    for (const auto& [host, node] : m_nodes) {
        count += node.running.size();
    }
    return static_cast<std::int64_t>(count);
}

std::vector<std::string> LeaseSimulation::hosts() const {
    std::vector<std::string> hosts;
    for (const auto& [host, node] : m_nodes) {
        hosts.push_back(host);
    }
    return hosts;
}

void LeaseSimulation::tick(SimulatedNode& node) {
    if (node.draining && node.running.empty()) {
        node.draining = false;
        advance(node, GroupDrained{true});
    }
    advance(node, LeaseTick{});
    if (node.stopping && !is_held(node.machine) && node.running.empty()) {
        node.alive = false;
        node.incoming.clear();
    }
}

/// Applies the writes that reach the store now, even if their sender no longer runs.
void LeaseSimulation::apply_writes() {
    std::vector<PendingWrite> later;
    for (const PendingWrite& pending : m_pending) {
        if (pending.arrives_at > m_now) {
            later.push_back(pending);
            continue;
        }
        LeaseWritten written{StoreStatus::conflict, m_version};
        if (pending.write.version == m_version) {
            m_stored = pending.write.record;
            written = {StoreStatus::done, ++m_version};
        }
        SimulatedNode& node = m_nodes.at(pending.host);
        if (!node.alive) {
            continue;
        }
        if (m_confirmations_to_lose > 0) {
            --m_confirmations_to_lose;
            written.status = StoreStatus::unknown;
        }
        node.incoming.emplace_back(m_now + m_options.store_latency, written);
    }
    m_pending = std::move(later);
}

void LeaseSimulation::deliver(SimulatedNode& node) {
    while (!node.incoming.empty() && node.incoming.front().first <= m_now) {
        const LeaseEvent event = node.incoming.front().second;
        node.incoming.pop_front();
        advance(node, event);
    }
}

void LeaseSimulation::advance(SimulatedNode& node, const LeaseEvent& event) {
    for (const LeaseAction& action : step(node.machine, event, lease_context(node), m_now)) {
        execute(node, action);
    }
}

void LeaseSimulation::execute(SimulatedNode& node, const LeaseAction& action) {
    if (std::holds_alternative<ReadLease>(action)) {
        if (reaches_platform(node)) {
            node.incoming.emplace_back(m_now + m_options.store_latency * 2,
                                       LeaseRead{StoreStatus::done, m_version, m_stored});
        } else {
            node.incoming.emplace_back(m_now + m_options.store_timeout, LeaseRead{});
        }
    } else if (const WriteLease* write = std::get_if<WriteLease>(&action)) {
        if (reaches_platform(node)) {
            WriteLease sent = *write;
            if (!m_options.halve_share) {
                sent.record.share_64ths = WHOLE_SHARE;
                node.machine.proposed.share_64ths = WHOLE_SHARE;
            }
            m_pending.push_back({node.host, m_now + m_options.store_latency, sent});
        } else {
            node.incoming.emplace_back(m_now + m_options.store_timeout, LeaseWritten{});
        }
    } else if (std::holds_alternative<DrainGroup>(action)) {
        node.draining = true;
    } else if (const EndEpoch* ended = std::get_if<EndEpoch>(&action)) {
        node.ended_epochs.push_back({GROUP, ended->epoch});
    }
}

/// Starts as many requests as the lease allows, so that any excess over the limit is detected.
void LeaseSimulation::send_requests(SimulatedNode& node) {
    std::int64_t usable = usable_share(node.machine.lease, m_now);
    if (!m_options.check_lease && is_held(node.machine) && !node.draining) {
        usable = node.machine.lease.share_64ths;
    }
    const std::int64_t allowed = share_of(m_options.limit, usable);
    while (static_cast<std::int64_t>(node.running.size()) < allowed) {
        const double fraction = 0.05 + 0.95 * uniform(m_random);
        const double max_request_us = static_cast<double>(m_options.max_request_time.count());
        node.running.push_back(m_now +
                               Duration(static_cast<std::int64_t>(fraction * max_request_us)));
    }
}

/// Reports to each node which others are alive and which epochs they have ended.
void LeaseSimulation::gossip() {
    if (m_now < m_next_gossip) {
        return;
    }
    m_next_gossip = m_now + m_options.gossip_delay;
    for (auto& [host, node] : m_nodes) {
        for (const auto& [other_host, other] : m_nodes) {
            if (host == other_host || !other.alive || other.paused) {
                continue;
            }
            GossipMessage message;
            message.from.host = other_host;
            message.from.node = name_of(other);
            message.from.incarnation = other.incarnation;
            message.from.data_centre = "dc";
            message.ended_epochs = other.ended_epochs;
            QuarantineList quarantine_list;
            merge(node.cluster, quarantine_list, message, m_now);
        }
    }
}

/// Assigns the group to the first running host that reaches the platform. A holder that does not
/// reach the platform remains assigned, since it could not release its lease.
void LeaseSimulation::assign_holder() {
    bool found = false;
    for (auto& [host, node] : m_nodes) {
        const bool reaches = reaches_platform(node);
        const bool candidate = node.alive && !node.paused && !node.stopping && reaches;
        node.is_assigned = (candidate && !found) || !reaches;
        found = found || candidate;
    }
}

bool LeaseSimulation::reaches_platform(const SimulatedNode& node) const {
    return !m_platform_down && !node.cut;
}

LeaseContext LeaseSimulation::lease_context(SimulatedNode& node) {
    LeaseContext context;
    context.node = name_of(node);
    context.address = node.host;
    context.lease_duration = m_options.lease_duration;
    context.max_request_time = m_options.max_request_time;
    context.is_assigned = node.is_assigned;
    context.stopping = node.stopping;
    const std::vector<HolderEpoch> unresolved = unresolved_holders(node.machine);
    record_absent_nodes(node.cluster, unresolved, m_now);
    context.ended_holders =
        ended_holders(node.cluster, GROUP, unresolved, m_options.max_request_time, m_now);
    return context;
}

}  // namespace ebonymount
