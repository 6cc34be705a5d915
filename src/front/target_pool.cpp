#include "front/target_pool.h"

#include <algorithm>

namespace ebonymount {
namespace {

/// True if the next call can use the channel: it is idle, or still connecting without a call.
bool is_free(const HttpChannel& channel) {
    return channel.is_idle() || (channel.is_connecting() && !channel.has_call());
}

bool contains(const std::vector<PoolConnection>& connections,
              const std::shared_ptr<HttpChannel>& channel) {
    return std::any_of(
        connections.begin(), connections.end(),
        [&channel](const PoolConnection& connection) { return connection.lock() == channel; });
}

/// Idle connections to a target are closed after this time, except one if `may_keep_idle` allows
/// it: a node that loses power leaves its connections open at the target, where they count against
/// the connection limit.
constexpr Duration SPARE_IDLE_TIME = from_ms(1500);
constexpr Duration UNLIMITED_IDLE_TIME = Duration::max();

/// A connect that takes longer is abandoned; the network latency to the farthest region is about 20
/// ms.
constexpr Duration CONNECT_TIMEOUT = from_ms(400);

/// This part of the connections is for targets with fewer than `FEW_CONNECTIONS`.
constexpr std::size_t FEW_CONNECTIONS_DIVISOR = 8;
constexpr std::size_t FEW_CONNECTIONS = 2;

}  // namespace

TargetPool::TargetPool(EventLoop& loop, TargetTable& targets) : m_loop(loop), m_targets(targets) {}

PoolCallId TargetPool::start(PoolCall call) {
    const PoolCallId id = m_next_call++;
    const Time now = monotonic_now();
    Channel channel = find_idle(call.target, call.max_idle, call.excluded, now);
    if (channel == nullptr) {
        make_room_at_target(call.target, now);
        channel = open(call.target);
    }
    std::function<void(CallStatus, HttpResponseMessage)> on_end = std::move(call.call.on_end);
    if (channel == nullptr) {
        m_loop.post([on_end] { on_end(CallStatus::not_sent, HttpResponseMessage{}); });
        return id;
    }
    m_running_calls.emplace(id, RunningCall{call.target, channel, call.deadline});
    call.call.on_end = [this, id, on_end](CallStatus status, HttpResponseMessage response) {
        m_running_calls.erase(id);
        on_end(status, std::move(response));
    };
    channel->start(std::move(call.call));
    update_counts(call.target);
    return id;
}

PoolConnection TargetPool::connection_of(PoolCallId call) const {
    const auto found = m_running_calls.find(call);
    return found != m_running_calls.end() ? found->second.channel : PoolConnection();
}

bool TargetPool::withdraw(PoolCallId call) {
    const auto found = m_running_calls.find(call);
    if (found == m_running_calls.end() || !found->second.channel->withdraw()) {
        return false;
    }
    m_running_calls.erase(found);
    return true;
}

void TargetPool::abort(PoolCallId call) {
    const auto found = m_running_calls.find(call);
    if (found != m_running_calls.end()) {
        const Channel channel = found->second.channel;
        channel->close();
    }
}

void TargetPool::probe(TargetIndex target, std::function<void(ConnectResult)> on_end) {
    const Channel channel = open(target);
    if (channel == nullptr) {
        m_loop.post([on_end] { on_end(ConnectResult::no_response); });
        return;
    }
    m_probes.emplace(channel.get(), std::move(on_end));
    update_counts(target);
}

void TargetPool::end_probe(const HttpChannel& channel) {
    const auto found = m_probes.find(&channel);
    if (found == m_probes.end() || channel.is_connecting()) {
        return;
    }
    const std::function<void(ConnectResult)> on_end = std::move(found->second);
    m_probes.erase(found);
    on_end(channel.has_connected() ? ConnectResult::accepted
           : channel.was_refused() ? ConnectResult::refused
                                   : ConnectResult::no_response);
}

void TargetPool::sweep(Time now) {
    abort_overdue_calls(now);
    // Collected only now: calls that follow on aborted ones may have taken idle connections.
    for (const Channel& channel : unused_connections(now)) {
        if (!channel->has_call()) {
            channel->close();
        }
    }
}

void TargetPool::abort_overdue_calls(Time now) {
    std::vector<PoolCallId> overdue;
    for (const auto& [id, running] : m_running_calls) {
        const bool connect_timed_out = running.channel->is_connecting() &&
                                       now - running.channel->last_used() > CONNECT_TIMEOUT;
        if (connect_timed_out || now > running.deadline) {
            overdue.push_back(id);
        }
    }
    for (const PoolCallId id : overdue) {
        abort(id);
    }
}

std::vector<TargetPool::Channel> TargetPool::unused_connections(Time now) const {
    std::vector<Channel> unused;
    for (TargetIndex target = 0; target < m_channels.size(); ++target) {
        if (m_channels[target].empty()) {
            continue;
        }
        const Channel most_recent = find_idle(target, UNLIMITED_IDLE_TIME, {}, now);
        const bool may_keep_one = may_keep_idle(m_targets, m_targets.states[target]);
        for (const Channel& channel : m_channels[target]) {
            const bool is_spare = (channel != most_recent || !may_keep_one) &&
                                  now - channel->last_used() > SPARE_IDLE_TIME;
            const bool is_stale = now - channel->last_used() > channel->idle_limit() ||
                                  channel->address() != m_targets.states[target].entry.address;
            const bool connect_timed_out =
                channel->is_connecting() && now - channel->last_used() > CONNECT_TIMEOUT;
            if ((channel->is_idle() &&
                 (is_spare || is_stale || !m_targets.states[target].accepts_work)) ||
                (connect_timed_out && !channel->has_call())) {
                unused.push_back(channel);
            }
        }
    }
    return unused;
}

std::int64_t TargetPool::opened_connections() const {
    return m_opened_connections;
}

TargetPool::Channel TargetPool::find_idle(TargetIndex target, Duration max_idle,
                                          const std::vector<PoolConnection>& excluded,
                                          Time now) const {
    if (target >= m_channels.size()) {
        return nullptr;
    }
    Channel best;
    for (const Channel& channel : m_channels[target]) {
        const Duration idle = now - channel->last_used();
        const bool usable = is_free(*channel) && idle < channel->idle_limit() && idle < max_idle &&
                            channel->address() == m_targets.states[target].entry.address &&
                            !contains(excluded, channel);
        if (usable && (best == nullptr || channel->last_used() > best->last_used())) {
            best = channel;
        }
    }
    return best;
}

void TargetPool::make_room_at_target(TargetIndex target, Time now) {
    if (target >= m_channels.size() || may_connect(m_targets, m_targets.states[target], now)) {
        return;
    }
    const std::vector<Channel>& channels = m_channels[target];
    const auto idle = std::find_if(channels.begin(), channels.end(),
                                   [](const Channel& channel) { return channel->is_idle(); });
    if (idle != channels.end()) {
        // A copy, as the connection leaves `channels` when it closes.
        Channel(*idle)->close();
    }
}

void TargetPool::set_max_connections(std::size_t connections) {
    m_max_connections = connections;
}

std::size_t TargetPool::max_connections_for(TargetIndex target) const {
    const bool has_few = target >= m_channels.size() || m_channels[target].size() < FEW_CONNECTIONS;
    return has_few ? m_max_connections
                   : m_max_connections - m_max_connections / FEW_CONNECTIONS_DIVISOR;
}

bool TargetPool::is_full(TargetIndex target) const {
    return m_connections >= max_connections_for(target) && find_longest_idle() == nullptr;
}

std::size_t TargetPool::connections() const {
    return m_connections;
}

std::int64_t TargetPool::refused_connections() const {
    return m_refused_connections;
}

TargetPool::Channel TargetPool::find_longest_idle() const {
    Channel longest;
    for (const std::vector<Channel>& channels : m_channels) {
        for (const Channel& channel : channels) {
            if (channel->is_idle() &&
                (longest == nullptr || channel->last_used() < longest->last_used())) {
                longest = channel;
            }
        }
    }
    return longest;
}

TargetPool::Channel TargetPool::open(TargetIndex target) {
    if (m_connections >= max_connections_for(target)) {
        const Channel idle = find_longest_idle();
        if (idle == nullptr) {
            ++m_refused_connections;
            return nullptr;
        }
        idle->close();
    }
    const Channel channel = HttpChannel::open(
        m_loop, m_targets.states[target].entry.address,
        [this, target](HttpChannel& changed) { on_channel_change(target, changed); });
    if (channel == nullptr) {
        return nullptr;
    }
    ++m_opened_connections;
    ++m_connections;
    if (m_channels.size() <= target) {
        m_channels.resize(target + 1);
    }
    m_channels[target].push_back(channel);
    return channel;
}

void TargetPool::on_channel_change(TargetIndex target, HttpChannel& channel) {
    if (channel.is_closed()) {
        m_connections -= std::erase_if(
            m_channels[target], [&channel](const Channel& kept) { return kept.get() == &channel; });
    }
    update_counts(target);
    end_probe(channel);
}

void TargetPool::update_counts(TargetIndex target) {
    TargetState& state = m_targets.states[target];
    state.connections = static_cast<std::int64_t>(m_channels[target].size());
    state.idle_connections =
        std::count_if(m_channels[target].begin(), m_channels[target].end(),
                      [](const Channel& channel) { return is_free(*channel); });
}

}  // namespace ebonymount
